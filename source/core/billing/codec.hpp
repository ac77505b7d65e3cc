#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "messages/peer.hpp"

namespace reedramp::billing {

/// One record of the stream `bills`. A collector recognises its own record by the id when it reads
/// it back.
struct batch {
    common::request_id id;
    std::vector<messages::bill> bills;
};

/// Formats the record as JSON text.
auto serialise(const batch& content) -> std::string;

/// Parses a record. The error is `invalid_record`; every reader skips such a record.
auto parse(std::string_view record) -> common::result<batch>;

/// Bytes that a bill counts towards the collector's limit: at least its size in memory and its size
/// as text.
auto size_of(const messages::bill& item) -> std::size_t;

} // namespace reedramp::billing
