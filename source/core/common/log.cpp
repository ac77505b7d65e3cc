#include "common/log.hpp"

#include <utility>

namespace reedramp::common {

namespace {

auto current_sink() -> log_sink&
{
    static log_sink sink;
    return sink;
}

} // namespace

auto prefix(log_part part) -> std::string_view
{
    switch (part) {
    case log_part::entry:
        return "entry";
    case log_part::agent:
        return "agent";
    case log_part::config:
        return "config";
    case log_part::session:
        return "session";
    case log_part::claims:
        return "claims";
    case log_part::bills:
        return "bills";
    case log_part::members:
        return "members";
    case log_part::policy:
        return "policy";
    case log_part::place:
        return "place";
    case log_part::limits:
        return "limits";
    case log_part::rollout:
        return "rollout";
    case log_part::orders:
        return "orders";
    case log_part::http:
        return "http";
    case log_part::wire:
        return "wire";
    case log_part::platform:
        return "platform";
    case log_part::ctl:
        return "ctl";
    case log_part::load:
        return "load";
    case log_part::standin:
        return "standin";
    }
    return "unknown";
}

auto set_log_sink(log_sink sink) -> void
{
    current_sink() = std::move(sink);
}

auto log(log_part part, log_level level, std::string_view sentence) -> void
{
    const auto& sink = current_sink();
    if (!sink) {
        return;
    }
    std::string line{prefix(part)};
    line += ": ";
    line += sentence;
    sink(level, line);
}

} // namespace reedramp::common
