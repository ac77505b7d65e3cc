#pragma once

#include <functional>
#include <string>
#include <string_view>

namespace reedramp::common {

enum class log_level { debug, info, warning, error };

/// Which part speaks; each has a fixed prefix, so that one part's lines are found by one search.
enum class log_part {
    entry,
    agent,
    config,
    session,
    claims,
    bills,
    members,
    policy,
    place,
    limits,
    rollout,
    orders,
    http,
    wire,
    platform,
    ctl,
    load,
    standin
};

/// The fixed prefix of a part, without brackets: "entry", "place".
auto prefix(log_part part) -> std::string_view;

using log_sink = std::function<auto(log_level level, std::string_view line)->void>;

/// Sets where lines go; a daemon sets glog here. Call it before threads start. The default drops
/// all lines, so that tests stay quiet.
auto set_log_sink(log_sink sink) -> void;

/// Writes "<prefix>: <sentence>". Keep the sentence short; put data as key=value.
auto log(log_part part, log_level level, std::string_view sentence) -> void;

} // namespace reedramp::common
