#include "router/response_judgement.hpp"

#include <string>

#include "router/status_codes.hpp"

namespace reedramp::router {

namespace {

auto has_header(const http::response& head, const std::string& name) -> bool
{
    return http::find_header(head.headers, name).has_value();
}

auto find_echo(const http::response& head, const header_names& names, std::string_view attempt)
    -> echoed_attempt
{
    const auto echoed = http::find_header(head.headers, names.attempt);
    if (!echoed) {
        return echoed_attempt::none;
    }
    return *echoed == attempt ? echoed_attempt::own : echoed_attempt::other;
}

auto claims_no_execution(const http::response& head, const header_names& names) -> bool
{
    return has_header(head, names.not_executed) || head.status == status::misdirected;
}

} // namespace

auto to_string(echoed_attempt echoed) -> std::string_view
{
    switch (echoed) {
    case echoed_attempt::own:
        return "own";
    case echoed_attempt::other:
        return "other";
    case echoed_attempt::none:
        return "none";
    }
    return "none";
}

auto judge_head(const http::response& head, const header_names& names, std::string_view attempt)
    -> response_judgement
{
    response_judgement found;
    found.echoed = find_echo(head, names, attempt);
    found.is_signed = has_header(head, names.signature);
    const auto distrust = [&found](std::string_view why) {
        found.what = verdict::untrusted;
        found.distrust = why;
        return found;
    };
    if (found.echoed != echoed_attempt::own) {
        return distrust(found.echoed == echoed_attempt::other ? "other_attempt" : "no_attempt");
    }
    if (claims_no_execution(head, names)) {
        if (!status::is_refusal(head.status)) {
            return distrust("contradictory");
        }
        found.what = verdict::not_executed;
        return found;
    }
    if (has_header(head, "Content-Encoding")) {
        // No encoding was requested, so these are not the server's bytes.
        return distrust("encoded");
    }
    if (!found.is_signed) {
        return distrust("unsigned");
    }
    found.what = status::is_success(head.status) ? verdict::success : verdict::server_failure;
    return found;
}

} // namespace reedramp::router
