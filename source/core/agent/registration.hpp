#pragma once

#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "common/units.hpp"
#include "platform/hooks.hpp"

namespace reedramp::agent {

/// Set in a random incarnation, so that it never equals a log offset.
inline constexpr std::uint64_t random_incarnation_bit = std::uint64_t{1} << 63U;

struct registration_record {
    common::server_id server;
    common::host_id host;
    /// "IP:port" of the RPC listener.
    std::string rpc;
    common::wall_time_ms at;
};

/// Serialises the record as {"server":...,"host":...,"rpc":...,"at":...}.
auto format_registration(const registration_record& record) -> std::string;

struct registration_hooks {
    platform::log_hooks log;
    common::timer_hook timer;
    common::clock_hook now;
    common::random_hook random;
};

/// Determines this process's incarnation: the offset of its own record in the stream
/// `registrations` or, if no append is answered before `deadline`, a random number.
///
/// An append without an answer is repeated. A second record of the same process is harmless, since
/// only an offset from an answer is used. `done` is called once.
auto register_agent(
    registration_hooks hooks,
    const registration_record& record,
    common::time_point deadline,
    std::function<auto(common::incarnation_id incarnation)->void> done) -> void;

} // namespace reedramp::agent
