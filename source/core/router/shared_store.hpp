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
#include "routing/barred_parts.hpp"
#include "routing/configuration.hpp"
#include "routing/evacuation_registry.hpp"
#include "routing/request_fingerprint.hpp"
#include "routing/rollout.hpp"
#include "routing/server_table.hpp"
#include "routing/stream_position.hpp"

namespace reedramp::router {

using routing::stream_position;

/// A configuration and its source text, which is passed to peers.
struct published_rules {
    routing::configuration rules;
    std::string text;
    /// Position of its record in the operators' stream; 0 if unknown, as from a neighbour.
    stream_position at{};
};

using rules_document =
    std::variant<published_rules, routing::rollout_order, routing::evacuation_order>;

/// Result of reading a stream.
template <typename Document>
struct stream_reading {
    std::vector<Document> documents;
    /// Position from which to continue.
    stream_position end;
    /// The documents are the complete contents instead of only the new ones.
    bool is_whole = false;
    /// Unreadable records that no earlier reading has counted.
    std::size_t skipped = 0;
};

template <typename Answer>
using answer_hook = std::function<auto(common::result<Answer> answer)->void>;

/// Record of an entry in the store, by which entries find each other.
struct entry_record {
    common::host_id host;
    /// "IP:port" for peers.
    std::string address;

    auto operator==(const entry_record&) const -> bool = default;
};

/// Record of a barred request, or of barred parts, for entries that all restart at once.
struct barred_record {
    routing::request_fingerprint fingerprint;
    /// When it was barred, in milliseconds since 1970 by the clock of the writer's host.
    std::uint64_t unix_ms = 0;
    /// Without parts if the request itself is barred.
    routing::barred_parts what = {};

    auto operator==(const barred_record&) const -> bool = default;
};

/// Documents that entries write for each other. They share one stream, so that a starting entry
/// needs one read.
using entry_document = std::variant<entry_record, barred_record>;

/// The platform's store: operators' documents, the server list, and three small streams of this
/// product. Each hook calls `done` once, on the program's thread.
///
/// Errors of reads: `log_trimmed` (read from the start again), `log_unavailable`. Errors of writes:
/// `conflict` (another writer was first; read again), `log_unavailable` (not done),
/// `append_unknown` (may have been done).
struct shared_store {
    /// Reads configurations, roll-outs and evacuations after `from`, waiting up to `wait` for new
    /// ones. Without `from` it returns the newest.
    std::function<auto(
                      std::optional<stream_position> from,
                      std::chrono::milliseconds wait,
                      answer_hook<stream_reading<rules_document>> done)
                      ->void>
        read_rules;

    /// Reads registrations of backend servers after `from`, or all without `from`.
    std::function<auto(
                      std::optional<stream_position> from,
                      answer_hook<stream_reading<routing::registration_change>> done)
                      ->void>
        read_servers;

    /// Reads all states of roll-outs and the stream's end position.
    std::function<auto(answer_hook<stream_reading<routing::rollout_status>> done)->void>
        read_rollout_states;

    /// Writes a state if nothing was written since `at`. Returns the position after it.
    std::function<
        auto(routing::rollout_status status, stream_position at, answer_hook<stream_position> done)
            ->void>
        write_rollout_state;

    std::function<auto(answer_hook<stream_reading<entry_document>> done)->void> read_entries;
    std::function<auto(entry_record self, answer_hook<stream_position> done)->void> write_entry;
    std::function<auto(barred_record one, answer_hook<stream_position> done)->void> write_barred;
    /// Deletes the record.
    std::function<
        auto(routing::request_fingerprint fingerprint, answer_hook<stream_position> done)->void>
        drop_barred;

    /// Decodes a configuration from the text received from a peer.
    std::function<auto(const std::string& text)->common::result<published_rules>> decode_rules;
};

} // namespace reedramp::router
