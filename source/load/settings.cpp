#include "settings.hpp"

#include <array>
#include <limits>
#include <utility>

#include "object_reader.hpp"

namespace reedramp::load {

namespace {

using standin::object_reader;

constexpr std::uint64_t max_number = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_long_number = std::numeric_limits<std::int64_t>::max();
constexpr std::uint64_t whole_permille = 1000;
constexpr double max_rate_per_second = 1e6;

auto read_endpoints(object_reader& from, std::string_view key, std::vector<http::endpoint>& into)
    -> void
{
    std::vector<std::string> texts;
    from.texts(key, texts);
    for (const auto& text : texts) {
        const auto endpoint = http::parse_endpoint(text);
        if (!endpoint) {
            from.problem(key, "must be a list of addresses such as 127.0.0.1:8080");
            return;
        }
        into.push_back(*endpoint);
    }
}

auto read_kind(object_reader& from, work_kind& into) -> void
{
    std::string name = "chat";
    from.text("kind", name);
    if (name == "session") {
        into = work_kind::session;
    }
    else if (name == "service") {
        into = work_kind::service;
    }
    else if (name != "chat") {
        from.problem("kind", "must be chat, session or service");
    }
}

auto read_organisation(object_reader& from, organisation_settings& into) -> void
{
    from.text("id", into.id);
    from.text("api_key", into.api_key);
    from.number("weight", into.weight, 1, max_number);
}

auto read_mix(object_reader& from, mix_settings& into) -> void
{
    read_kind(from, into.kind);
    from.text("name", into.name);
    from.number("weight", into.weight, 1, max_number);
    from.text("task", into.task);
    from.text("model", into.model);
    from.flag("stream", into.stream);
    from.number("tokens", into.tokens, 1, max_number);
    from.number("prompt_words", into.prompt_words, 0, max_number);
    from.number("prefix_words", into.prefix_words, 0, max_number);
    from.number("turns", into.turns, 1, max_number);
    from.number("think_ms", into.think_ms, 0, max_number);
    from.text("service", into.service);
    from.text("method", into.method);
    from.text("path", into.path);
    from.flag("keyed", into.keyed);
    from.flag("at_most_once", into.at_most_once);
    if (into.name.empty()) {
        into.name = into.kind == work_kind::service ? into.service : into.task;
    }
    if (into.kind == work_kind::service && into.service.empty()) {
        from.problem("service", "is required");
    }
}

auto read_checks(object_reader& from, check_settings& into) -> void
{
    from.number("smallest_answered_permille", into.smallest_answered_permille, 0, whole_permille);
    from.number("allowed_broken", into.allowed_broken, 0, max_number);
    from.number("allowed_lost", into.allowed_lost, 0, max_number);
    from.number("largest_p99_ms", into.largest_p99_ms, 0, max_number);
}

auto read_settings(object_reader& top, load_settings& into) -> void
{
    read_endpoints(top, "targets", into.targets);
    top.objects("organisations", [&into](object_reader& inner) {
        read_organisation(inner, into.organisations.emplace_back());
    });
    top.objects("mix", [&into](object_reader& inner) { read_mix(inner, into.mix.emplace_back()); });
    top.real("rate_per_second", into.rate_per_second, 0.001, max_rate_per_second);
    top.number("requests", into.requests, 0, max_long_number);
    top.number("duration_ms", into.duration_ms, 0, max_number);
    top.number("seed", into.seed, 0, max_long_number);
    top.number("deadline_ms", into.deadline_ms, 1, max_number);
    top.number("tries", into.tries, 1, 100);
    top.flag("follow_retry_after", into.follow_retry_after);
    read_endpoints(top, "service_runs", into.service_runs);
    top.number("bill_wait_ms", into.bill_wait_ms, 0, max_number);
    top.text("report", into.report);
    top.object("checks", [&into](object_reader& inner) { read_checks(inner, into.checks); });
    std::string log;
    top.text("log", log);
    into.log = http::parse_endpoint(log);
    if (!log.empty() && !into.log) {
        top.problem("log", "must be an address such as 127.0.0.1:8080");
    }
}

auto check_required_settings(object_reader& top, const load_settings& run_settings) -> void
{
    if (run_settings.targets.empty()) {
        top.problem("targets", "must contain at least one entry");
    }
    if (run_settings.organisations.empty()) {
        top.problem("organisations", "must contain at least one organisation");
    }
    if (run_settings.mix.empty()) {
        top.problem("mix", "must contain at least one kind of request");
    }
    if (run_settings.requests == 0 && run_settings.duration_ms == 0) {
        top.problem("requests", "or duration_ms is required");
    }
}

} // namespace

auto parse_settings(std::string_view json_text)
    -> tl::expected<load_settings, std::vector<settings::problem>>
{
    std::vector<settings::problem> problems;
    boost::system::error_code failed;
    const auto parsed = boost::json::parse({json_text.data(), json_text.size()}, failed);
    if (failed || !parsed.is_object()) {
        problems.push_back({"$", "must be a JSON object"});
        return tl::unexpected(std::move(problems));
    }
    load_settings result;
    object_reader top(parsed.get_object(), "$", problems);
    read_settings(top, result);
    top.finish();
    check_required_settings(top, result);
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return result;
}

} // namespace reedramp::load
