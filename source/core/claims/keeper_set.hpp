#pragma once

#include <array>
#include <functional>
#include <memory>
#include <mutex>
#include <span>
#include <vector>

#include "claims/fingerprint.hpp"
#include "claims/keeper.hpp"
#include "common/ids.hpp"
#include "messages/channel.hpp"
#include "messages/peer.hpp"

namespace reedramp::claims {

struct keeper_set_config {
    common::host_id self;
    /// For each keeper of requests' keys, but for its stream.
    keeper_config requests = {};
    /// For each keeper of session names, but for its stream. 15/16 of the window is the longest
    /// life that a named session may have; the log has to keep these streams for two windows.
    keeper_config names = defaults_for_names();

    static auto defaults_for_names() -> keeper_config;
};

/// The keepers that one entry runs: those of the partitions for which it ranks first or second
/// among the entries, and any that a peer asks for. Second ones read the window early, so that they
/// serve soon after the first is lost. Thread-safe.
class keeper_set {
public:
    keeper_set(keeper_set_config config, keeper_hooks hooks);

    /// Takes the entries that are live, this one included.
    auto update_entries(std::vector<common::host_id> entries) -> void;

    /// Entries to ask to decide `claim`, best first, at most `limit`.
    [[nodiscard]] auto order_for(const messages::claim_request& claim, std::size_t limit = 3) const
        -> std::vector<common::host_id>;

    /// Serves a claim of any entry; an implementation of `messages::peer_service::claim`.
    auto claim(messages::claim_request request, messages::answer_hook<messages::claim_answer> done)
        -> void;

    /// Refuses all claims from now on, for the end of a graceful shutdown.
    auto stop() -> void;

    /// Sums over the keepers; the state is the worst one of those that run.
    [[nodiscard]] auto counters() const -> keeper_counters;

private:
    using keeper_ptr = std::shared_ptr<keeper>;

    [[nodiscard]] auto wants(partition_id partition) const -> bool;
    auto obtain(partition_id partition) -> keeper_ptr;

    keeper_set_config config;
    keeper_hooks hooks;
    mutable std::mutex lock;
    std::array<keeper_ptr, partition_count> keepers;
    /// Keepers that lost their place but have claims under way.
    std::vector<keeper_ptr> retired;
    std::vector<common::host_id> entries;
    bool stopped = false;
};

} // namespace reedramp::claims
