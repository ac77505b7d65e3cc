#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "http/message.hpp"
#include "inventory/record.hpp"

namespace reedramp::operators {

/// Access to the entries that accept a publication.
struct publish_transport {
    std::size_t entry_count = 0;
    /// Sends a request to one entry and waits for its answer. Errors: as `response_body`.
    std::function<auto(std::size_t entry, http::request request)->common::result<std::string>> send;
    /// Blocks for a short time before all entries are tried again.
    std::function<auto()->void> wait_before_retry;
    int max_rounds = 3;
};

/// Publishes a record through the first entry that accepts or refuses it.
///
/// A connection may be lost after the record has reached the log. From then on the record's id is
/// looked up in the history of each entry first, and the record is sent again only if it is not
/// listed. If two copies still reach the log, the second has no effect because it has the same id.
///
/// Errors: the refusal of an entry; `append_unknown` if a copy may be in the log and no entry
/// reports its outcome; else the last error of an entry that did not accept the record.
auto publish(const publish_transport& transport, const inventory::record& item)
    -> common::result<common::log_offset>;

} // namespace reedramp::operators
