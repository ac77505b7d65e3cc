#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "http/message.hpp"
#include "inventory/record.hpp"

namespace reedramp::operators {

/// The entries that a publication may go to, and how to reach them.
struct publishing {
    std::size_t entries = 0;
    /// Asks one entry and waits for its answer; errors as of `body_of`.
    std::function<auto(std::size_t entry, http::request asked)->common::result<std::string>> ask;
    /// Waits a little before all entries are asked again.
    std::function<auto()->void> pause;
    int rounds = 3;
};

/// Publishes at the first entry that decides.
///
/// The connection may be lost after the record has reached the log. From then on each entry is
/// first asked for the record's id, and gets the same record only if it does not know it; should
/// both copies land, the id makes the second a no-op. So the operator sees one change, or its
/// refusal.
///
/// Errors: those of the entry that decides; `append_unknown` if a copy may be in the log and no
/// entry says what became of it; else the last reason why no entry took it.
auto publish(const publishing& by, const inventory::record& item)
    -> common::result<common::log_offset>;

} // namespace reedramp::operators
