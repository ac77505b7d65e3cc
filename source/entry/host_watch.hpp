#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "membership/subset.hpp"
#include "membership/view.hpp"
#include "messages/channel.hpp"
#include "platform/hooks.hpp"

namespace reedramp::entry_program {

/// Reads the platform's list of hosts each second into the view of members.
class host_watch : public std::enable_shared_from_this<host_watch> {
public:
    struct hooks {
        platform::host_hooks list;
        common::clock_hook now;
        common::timer_hook timer;
        /// The live entries, this one included, after each reading.
        std::function<auto(std::vector<common::host_id> entries)->void> entries_changed;
    };

    host_watch(
        membership::location here,
        std::size_t tailer_count,
        hooks wanted,
        std::shared_ptr<membership::view> known);

    auto start() -> void;

    /// All other processes that can be asked for configuration.
    [[nodiscard]] auto peers() const -> std::vector<messages::rpc_address>;

    /// The other entries.
    [[nodiscard]] auto entries() const -> std::vector<membership::peer_view>;

    /// Address of an entry, by its host. Empty if it is not known.
    [[nodiscard]] auto address_of(const common::host_id& entry) const -> messages::rpc_address;

    /// Whether this process is one of the few of its data centre that read the log; true also
    /// while there is nobody else to ask.
    [[nodiscard]] auto is_tailer() const -> bool;

    /// This process's place, from 0, among the entries in the rendezvous order of `key`.
    [[nodiscard]] auto rank_of_self(std::string_view key) const -> std::uint32_t;

private:
    auto ask() -> void;
    auto take(std::vector<platform::host_entry> rows) -> void;

    const membership::location self;
    const std::size_t tailers;
    const hooks given;
    const std::shared_ptr<membership::view> members;
};

} // namespace reedramp::entry_program
