#pragma once

#include <cstddef>
#include <memory>
#include <mutex>
#include <vector>

#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "messages/channel.hpp"
#include "platform/hooks.hpp"

namespace reedramp::agent_program {

/// Reads the platform's list of hosts each second: whom to ask for configuration, and whether this
/// process is one of the few that read the log themselves.
class host_watch : public std::enable_shared_from_this<host_watch> {
public:
    struct place {
        common::host_id host;
        common::data_centre_id data_centre;
        /// How many processes of a data centre read the log.
        std::size_t tailers = 2;
    };

    struct hooks {
        platform::host_hooks list;
        common::clock_hook now;
        common::timer_hook timer;
    };

    host_watch(place self, hooks given);

    auto start() -> void;

    [[nodiscard]] auto peers() const -> std::vector<messages::rpc_address>;

    /// True also while no list was read, since the log may then be the only source.
    [[nodiscard]] auto is_tailer() const -> bool;

private:
    auto ask() -> void;
    auto take(const std::vector<platform::host_entry>& rows) -> void;

    const place self;
    const hooks given;
    mutable std::mutex lock;
    std::vector<messages::rpc_address> addresses;
    bool reads_log = true;
};

} // namespace reedramp::agent_program
