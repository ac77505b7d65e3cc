#include "agent/decision_log.hpp"

#include "common/log.hpp"

namespace reedramp::agent {

auto log_decision(const char* what, const messages::run_request& request, const std::string& rest)
    -> void
{
    const auto& target =
        request.version.value().empty() ? request.service.value() : request.version.value();
    common::log(
        common::log_part::agent,
        common::log_level::info,
        std::string(what) + " request=" + to_string(request.key.request) +
            " attempt=" + std::to_string(request.key.attempt.value()) +
            " organisation=" + request.organisation.value() + " target=" + target + rest);
}

auto error_fields(const common::error& why) -> std::string
{
    auto text = " code=" + std::string(common::row_of(why.code).name);
    if (!why.detail.empty()) {
        text += " why=\"" + why.detail + "\"";
    }
    return text;
}

} // namespace reedramp::agent
