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
    /// For the arbiters of request keys; `stream` is ignored.
    claim_arbiter_config requests = {};
    /// For the arbiters of session names; `stream` is ignored. A named session may live for at most
    /// 15/16 of the window, and the log must retain these streams for two windows.
    claim_arbiter_config names = defaults_for_names();

    static auto defaults_for_names() -> claim_arbiter_config;
};

/// The claim arbiters that one entry runs: those of the partitions for which it ranks first or
/// second among the entries, and any for which a peer sends a claim. The second one replays the
/// window in advance, so that it can serve soon after the first fails. Thread-safe.
class claim_arbiter_set {
public:
    claim_arbiter_set(claim_arbiter_set_config config, claim_arbiter_hooks hooks);

    /// Sets the entries that are alive, including this one.
    auto update_entries(std::vector<common::host_id> entries) -> void;

    /// Entries to which `claim` is sent, in order of preference; at most `limit`.
    [[nodiscard]] auto
    ranked_entries(const messages::claim_request& claim, std::size_t limit = 3) const
        -> std::vector<common::host_id>;

    /// Decides a claim from any entry; an implementation of `messages::peer_service::claim`.
    auto claim(messages::claim_request request, messages::answer_hook<messages::claim_answer> done)
        -> void;

    /// Refuses all further claims; called at the end of a graceful shutdown.
    auto stop() -> void;

    /// Sums over the arbiters without the retired ones; `state` is the worst of their states.
    [[nodiscard]] auto counters() const -> claim_arbiter_counters;

private:
    using arbiter_ptr = std::shared_ptr<claim_arbiter>;

    [[nodiscard]] auto should_serve(partition_id partition) const -> bool;
    auto get_or_create(partition_id partition) -> arbiter_ptr;

    claim_arbiter_set_config config;
    claim_arbiter_hooks hooks;
    mutable std::mutex lock;
    std::array<arbiter_ptr, partition_count> arbiters;
    /// Arbiters of partitions that other entries now serve, kept until their claims are decided.
    std::vector<arbiter_ptr> retired;
    std::vector<common::host_id> entries;
    bool stopped = false;
};

} // namespace reedramp::claims
