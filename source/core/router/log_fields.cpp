#include "router/log_fields.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace reedramp::router {

namespace {

auto two_decimals(double value) -> std::string
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.2f", value);
    return text.data();
}

} // namespace

auto owner_fields(const routing::organisation* owner, std::optional<unsigned> rank) -> std::string
{
    std::string fields;
    if (owner != nullptr) {
        auto name = owner->name.value();
        constexpr unsigned char space = 0x20;
        std::ranges::replace_if(
            name, [](unsigned char letter) { return letter <= space; }, '_');
        fields += " organisation=" + name;
    }
    if (rank) {
        fields += " rank=" + std::to_string(*rank);
    }
    return fields;
}

auto pressure_field(double pressure) -> std::string
{
    return " pressure=" + two_decimals(pressure);
}

auto excess_field(double excess) -> std::string
{
    return excess > 1.0 ? " excess=" + two_decimals(excess) : std::string{};
}

auto load_field(const std::optional<routing::stated_load>& load) -> std::string
{
    if (!load) {
        return {};
    }
    return " load=" + std::to_string(load->running) + "/" + std::to_string(load->waiting) + "/" +
           std::to_string(load->slots);
}

auto retry_budget_fields(const placement::retry_budget_state& state) -> std::string
{
    return " first=" + std::to_string(state.first_attempts) +
           " granted=" + std::to_string(state.granted) + " earned=" + two_decimals(state.earned) +
           " shared=" + two_decimals(state.shared) + " entries=" + std::to_string(state.entries) +
           " in_window=" + std::to_string(state.in_window) +
           " window_limit=" + two_decimals(state.window_limit);
}

auto barred_text(routing::request_fingerprint fingerprint, const routing::barred_parts& what)
    -> std::string
{
    return what.parts.empty() ? "request barred print=" + to_string(fingerprint)
                              : "prompt parts barred print=" + to_string(fingerprint) +
                                    " parts=" + to_string(what.parts);
}

} // namespace reedramp::router
