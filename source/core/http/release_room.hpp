#pragma once

#include <cstddef>
#include <string>

namespace reedramp::http {

/// Empties a buffer, and gives its room back if that is more than `kept` bytes. Neither `clear` nor
/// assigning an empty string does: a connection would keep the room of its largest message.
inline auto release_room(std::string& buffer, std::size_t kept = 0) -> void
{
    if (buffer.capacity() > kept) {
        std::string{}.swap(buffer);
    }
    buffer.clear();
}

} // namespace reedramp::http
