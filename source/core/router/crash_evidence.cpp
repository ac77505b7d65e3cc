#include "common/log.hpp"
#include "router/log_fields.hpp"
#include "router/relay.hpp"

/// Part of `router_core` that concerns requests which crash servers.
namespace reedramp::router {

auto router_core::fingerprint_of(const http::request& request, const caller_request& caller) const
    -> routing::request_fingerprint
{
    const auto* owner = this->rules_in_force->owner_of(caller.key);
    return routing::fingerprint_of(
        {owner == nullptr ? std::string_view{} : owner->name.value(),
         request.method,
         http::find_header(request.headers, "Host").value_or(""),
         request.target,
         request.body});
}

auto router_core::apply_barred_report(
    const routing::barred_report& report, const std::string& source) -> void
{
    if (this->crashes.apply_barred(report, this->hooks.clock())) {
        common::log(
            common::log_part::place,
            common::log_level::warning,
            barred_text(report.fingerprint, report.what) + " told_by=" + source);
        this->withdraw_barred();
    }
}

auto router_core::note_lost(const run_evidence& run) -> void
{
    auto prompt = run.prompt;
    if (run.is_harmless) {
        prompt.parts.clear();
    }
    this->crashes.note_lost(run.fingerprint, run.server, run.sent, this->hooks.clock(), prompt);
}

auto router_core::note_served(const run_evidence& run) -> void
{
    const auto now = this->hooks.clock();
    this->crashes.note_served(run.fingerprint, run.server, now);
    this->crashes.note_parts_served(run.prompt, run.sent, now);
}

auto router_core::withdraw_barred() -> void
{
    for (const auto& one : this->copy_open_requests()) {
        one->on_barred();
    }
}

auto router_core::fingerprint_if_needed(const http::request& request, const caller_request& caller)
    const -> std::optional<routing::request_fingerprint>
{
    return this->crashes.has_barred() ? std::optional{this->fingerprint_of(request, caller)}
                                      : std::nullopt;
}

} // namespace reedramp::router
