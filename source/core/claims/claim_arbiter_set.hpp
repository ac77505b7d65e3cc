#pragma once

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "claims/claim_arbiter.hpp"
#include "claims/fingerprint.hpp"
#include "common/ids.hpp"
#include "messages/channel.hpp"
#include "messages/peer.hpp"

namespace reedramp::claims {

struct claim_arbiter_set_config {
    common::host_id self;
    /// For each keeper of requests' keys, but for its stream.
    claim_arbiter_config requests = {};
    /// For each keeper of session names, but for its stream. 15/16 of the window is the longest
    /// life that a named session may have; the log has to keep these streams for two windows.
    claim_arbiter_config names = defaults_for_names();

    static auto defaults_for_names() -> claim_arbiter_config;
};

/// The keepers that one entry runs: those of the partitions for which it ranks first or second
/// among the entries, and any that a peer asks for. Second ones read the window early, so that they
/// serve soon after the first is lost. Thread-safe.
class claim_arbiter_set {
public:
    claim_arbiter_set(claim_arbiter_set_config config, claim_arbiter_hooks hooks);

    /// Takes the entries that are live, this one included.
    auto update_entries(std::vector<common::host_id> entries) -> void;

    /// Entries to ask to decide `claim`, best first, at most `limit`.
    [[nodiscard]] auto
    ranked_entries(const messages::claim_request& claim, std::size_t limit = 3) const
        -> std::vector<common::host_id>;

    /// Serves a claim of any entry; an implementation of `messages::peer_service::claim`.
    auto claim(messages::claim_request request, messages::answer_hook<messages::claim_answer> done)
        -> void;

    /// Refuses all claims from now on, for the end of a graceful shutdown.
    auto stop() -> void;

    /// Sums over the keepers; the state is the worst one of those that run.
    [[nodiscard]] auto counters() const -> claim_arbiter_counters;

private:
    using arbiter_ptr = std::shared_ptr<claim_arbiter>;

    [[nodiscard]] auto wants(partition_id partition) const -> bool;
    auto obtain(partition_id partition) -> arbiter_ptr;

    claim_arbiter_set_config config;
    claim_arbiter_hooks hooks;
    mutable std::mutex lock;
    std::array<arbiter_ptr, partition_count> arbiters;
    /// Keepers that lost their place but have claims under way.
    std::vector<arbiter_ptr> retired;
    std::vector<common::host_id> entries;
    bool stopped = false;
};

} // namespace reedramp::claims
