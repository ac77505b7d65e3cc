#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "common/result.hpp"
#include "routing/configuration.hpp"
#include "routing/evacuation_registry.hpp"
#include "routing/request_fingerprint.hpp"
#include "routing/rollout.hpp"
#include "routing/server_table.hpp"
#include "routing/stream_position.hpp"

namespace reedramp::router {

using routing::stream_position;

/// A configuration and the text that it was read from, which peers hand on.
struct published_rules {
    routing::configuration rules;
    std::string text;
};

using rules_document =
    std::variant<published_rules, routing::rollout_order, routing::evacuation_order>;

/// What a reading of a stream gives.
template <typename Document>
struct stream_reading {
    std::vector<Document> documents;
    /// Where to read on.
    stream_position end;
    /// The documents are all that there are, not only what is new.
    bool is_whole = false;
    /// Records that are no documents, and that no earlier reading had.
    std::size_t skipped = 0;
};

template <typename Answer>
using answer_hook = std::function<auto(common::result<Answer> answer)->void>;

/// An entry's own record in the store, by which entries find each other.
struct entry_record {
    common::host_id host;
    /// "IP:port" for peers.
    std::string address;

    auto operator==(const entry_record&) const -> bool = default;
};

/// A request that ends servers, in the store for entries that all start anew.
struct barred_record {
    routing::request_fingerprint fingerprint;
    /// When it was barred, in milliseconds since 1970 by the writer's host.
    std::uint64_t unix_ms = 0;

    auto operator==(const barred_record&) const -> bool = default;
};

/// What entries write for each other; one stream, so that a start reads it with one call.
using entry_document = std::variant<entry_record, barred_record>;

/// The platform's store as the product sees it: what operators publish, the servers' list, and
/// three small streams of the product's own. Hooks answer once, on the program's thread.
///
/// Errors of readings: `log_trimmed` (read from the start again), `log_unavailable`. Errors of
/// writes: `conflict` (another writer was first; read again), `log_unavailable` (not done),
/// `append_unknown` (may have been done).
struct shared_store {
    /// Configurations, roll-outs and evacuations after `from`, waiting up to `wait`; without `from`
    /// the newest.
    std::function<auto(
                      std::optional<stream_position> from,
                      std::chrono::milliseconds wait,
                      answer_hook<stream_reading<rules_document>> done)
                      ->void>
        read_rules;

    /// Registrations of backend servers after `from`; without it all.
    std::function<auto(
                      std::optional<stream_position> from,
                      answer_hook<stream_reading<routing::registration_change>> done)
                      ->void>
        read_servers;

    /// All states of roll-outs, and where they end.
    std::function<auto(answer_hook<stream_reading<routing::rollout_status>> done)->void>
        read_outcomes;

    /// Writes a state if nothing was written since `at`. Gives the position after it.
    std::function<
        auto(routing::rollout_status status, stream_position at, answer_hook<stream_position> done)
            ->void>
        write_outcome;

    std::function<auto(answer_hook<stream_reading<entry_document>> done)->void> read_entries;
    std::function<auto(entry_record self, answer_hook<stream_position> done)->void> write_entry;
    std::function<auto(barred_record one, answer_hook<stream_position> done)->void> write_barred;
    /// Takes the record out.
    std::function<
        auto(routing::request_fingerprint fingerprint, answer_hook<stream_position> done)->void>
        drop_barred;

    /// Reads a configuration from the text that a peer handed on.
    std::function<auto(const std::string& text)->common::result<published_rules>> decode_rules;
};

} // namespace reedramp::router
