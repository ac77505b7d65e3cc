#pragma once

#include <kj/exception.h>
#include <kj/string.h>

namespace reedramp::wire {

/// Throws unless `holds`. Cap'n Proto turns the exception into the failure of the call that is
/// being served or answered, and of no other.
inline auto require(bool holds, const char* what) -> void
{
    if (!holds) {
        kj::throwFatalException(
            kj::Exception(kj::Exception::Type::FAILED, __FILE__, __LINE__, kj::str(what)));
    }
}

} // namespace reedramp::wire
