#include "report.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

#include <boost/json.hpp>

namespace reedramp::load {

namespace {

constexpr double us_per_ms = 1000.0;
constexpr double whole_permille = 1000.0;
constexpr metrics::histogram_range latency_range{1.0, 1e9, 40};
constexpr std::array quantiles{0.5, 0.9, 0.99, 0.999};
constexpr std::array<const char*, 4> quantile_names{"p50_ms", "p90_ms", "p99_ms", "p999_ms"};

auto to_us(common::duration span) -> double
{
    return std::chrono::duration<double, std::micro>(span).count();
}

auto state_name(answer_state state) -> std::string
{
    switch (state) {
    case answer_state::answered:
        return "answered";
    case answer_state::refused:
        return "refused";
    case answer_state::broken:
        return "broken";
    case answer_state::wrong:
        return "wrong";
    case answer_state::lost:
        return "lost";
    }
    return "lost";
}

/// Name of a result in the report, such as "answered", "refused no_capacity (not_run)" or
/// "wrong foreign_answer".
auto result_name(const answer_verdict& verdict) -> std::string
{
    auto name = state_name(verdict.state);
    if (!verdict.reason.empty()) {
        name += " " + verdict.reason;
    }
    if (!verdict.execution.empty()) {
        name += " (" + verdict.execution + ")";
    }
    return name;
}

auto quantiles_json(const metrics::histogram& from) -> boost::json::object
{
    const auto read = from.read();
    boost::json::object result{{"count", read.count}};
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
        result[quantile_names[index]] = read.quantile(quantiles[index]) / us_per_ms;
    }
    return result;
}

auto counts_json(const std::map<std::string, std::uint64_t>& counts) -> boost::json::object
{
    boost::json::object result;
    for (const auto& [name, count] : counts) {
        result[name] = count;
    }
    return result;
}

/// Formats one aligned line of the table.
template <typename... Values>
auto format_line(const char* format, Values... values) -> std::string
{
    constexpr std::size_t max_line_bytes = 256;
    std::array<char, max_line_bytes> line{};
    std::snprintf(line.data(), line.size(), format, values...);
    return line.data();
}

auto latency_line(const std::string& name, const metrics::histogram& from) -> std::string
{
    const auto read = from.read();
    return format_line(
        "  %-34s %8llu %10.2f %10.2f %10.2f\n",
        name.c_str(),
        static_cast<unsigned long long>(read.count),
        read.quantile(quantiles[0]) / us_per_ms,
        read.quantile(quantiles[1]) / us_per_ms,
        read.quantile(quantiles[2]) / us_per_ms);
}

} // namespace

auto report::add(const request_outcome& outcome) -> void
{
    const auto& verdict = outcome.verdict;
    const auto name = result_name(verdict);
    auto& summary = this->summary_for(outcome.kind);
    ++this->requests;
    ++this->results[name];
    ++this->states[verdict.state];
    ++summary.results[name];
    this->add_version(outcome);
    this->add_at_most_once_body(outcome);
    if (verdict.state != answer_state::answered) {
        return;
    }
    summary.total_us->record(to_us(outcome.total));
    if (outcome.first_token > common::duration::zero()) {
        summary.first_us->record(to_us(outcome.first_token));
    }
    if (!outcome.request_id.empty()) {
        this->answered[outcome.request_id] = verdict.completion_tokens.value_or(0);
    }
}

auto report::add_version(const request_outcome& outcome) -> void
{
    if (outcome.verdict.version.empty()) {
        return;
    }
    const auto [position, is_new] = this->versions.try_emplace(outcome.verdict.version);
    auto& summary = position->second;
    ++summary.answers;
    summary.bad += outcome.verdict.is_from_faulty_engine ? 1 : 0;
    summary.first_started =
        is_new ? outcome.started : std::min(summary.first_started, outcome.started);
    summary.last_started = std::max(summary.last_started, outcome.started);
}

auto report::add_at_most_once_body(const request_outcome& outcome) -> void
{
    if (outcome.at_most_once_body.empty()) {
        return;
    }
    this->at_most_once_bodies.insert(outcome.at_most_once_body);
    if (outcome.verdict.state == answer_state::answered) {
        this->answered_bodies.insert(outcome.at_most_once_body);
    }
    // Only for a first attempt: the refusal of a retry does not exclude that an earlier attempt
    // ran.
    if (outcome.verdict.execution == "not_run" && outcome.tries == 1) {
        this->not_run_bodies.insert(outcome.at_most_once_body);
    }
}

auto report::add_service_runs(const run_counts& runs) -> void
{
    this->has_run_counts = true;
    const auto count_of = [&runs](const std::string& body) {
        const auto found = runs.find(body);
        return found == runs.end() ? 0 : found->second;
    };
    for (const auto& body : this->at_most_once_bodies) {
        this->repeated_runs += count_of(body) > 1 ? 1 : 0;
    }
    for (const auto& body : this->not_run_bodies) {
        this->false_not_run += count_of(body) > 0 ? 1 : 0;
    }
    for (const auto& body : this->answered_bodies) {
        this->answered_without_run += count_of(body) == 0 ? 1 : 0;
    }
}

auto report::add_bills(const bill_comparison& comparison) -> void
{
    this->bills = comparison;
}

auto report::summary_for(const std::string& kind) -> kind_summary&
{
    auto& summary = this->kinds[kind];
    if (!summary.total_us) {
        summary.total_us = std::make_unique<metrics::histogram>(latency_range);
        summary.first_us = std::make_unique<metrics::histogram>(latency_range);
    }
    return summary;
}

auto report::count_state(answer_state state) const -> std::uint64_t
{
    const auto found = this->states.find(state);
    return found == this->states.end() ? 0 : found->second;
}

auto report::checks() const -> std::vector<check_result>
{
    const auto& run_settings = this->settings.checks;
    std::vector<check_result> result;
    const auto answers = this->count_state(answer_state::answered);
    const auto broken = this->count_state(answer_state::broken);
    const auto lost = this->count_state(answer_state::lost);
    const auto wrong = this->count_state(answer_state::wrong);
    const auto share = this->requests == 0 ? 0.0
                                           : whole_permille * static_cast<double>(answers) /
                                                 static_cast<double>(this->requests);
    result.push_back({"no wrong answer", wrong == 0, std::to_string(wrong)});
    result.push_back(
        {"broken streams", broken <= run_settings.allowed_broken, std::to_string(broken)});
    result.push_back({"lost requests", lost <= run_settings.allowed_lost, std::to_string(lost)});
    result.push_back(
        {"answered permille",
         share >= run_settings.smallest_answered_permille,
         format_line("%.1f", share)});
    if (run_settings.largest_p99_ms != 0) {
        double worst = 0.0;
        for (const auto& [name, summary] : this->kinds) {
            worst = std::max(worst, summary.total_us->read().quantile(0.99) / us_per_ms);
        }
        result.push_back(
            {"worst p99 ms", worst <= run_settings.largest_p99_ms, format_line("%.1f", worst)});
    }
    if (this->has_run_counts) {
        result.push_back({"no call run twice", repeated_runs == 0, std::to_string(repeated_runs)});
        result.push_back({"not_run is true", false_not_run == 0, std::to_string(false_not_run)});
        result.push_back(
            {"answered calls ran",
             answered_without_run == 0,
             std::to_string(answered_without_run)});
    }
    this->add_bill_checks(result);
    return result;
}

auto report::add_bill_checks(std::vector<check_result>& result) const -> void
{
    if (!this->bills) {
        return;
    }
    const auto& comparison = *this->bills;
    result.push_back(
        {"each answer billed",
         comparison.missing == 0,
         std::to_string(comparison.missing) + " missing"});
    result.push_back(
        {"billed tokens right",
         comparison.wrong_tokens == 0,
         std::to_string(comparison.wrong_tokens)});
}

auto report::all_checks_hold() const -> bool
{
    const auto result = this->checks();
    return std::ranges::all_of(result, &check_result::holds);
}

auto report::to_json() const -> std::string
{
    boost::json::object kinds_json;
    for (const auto& [name, summary] : this->kinds) {
        kinds_json[name] = boost::json::object{
            {"results", counts_json(summary.results)},
            {"total", quantiles_json(*summary.total_us)},
            {"first_token", quantiles_json(*summary.first_us)},
        };
    }
    boost::json::object versions_json;
    for (const auto& [name, summary] : this->versions) {
        versions_json[name] = boost::json::object{
            {"answers", summary.answers},
            {"bad", summary.bad},
            {"first_started_wall_ms", summary.first_started.value()},
            {"last_started_wall_ms", summary.last_started.value()},
        };
    }
    boost::json::array checks_json;
    for (const auto& check : this->checks()) {
        checks_json.emplace_back(boost::json::object{
            {"name", check.name}, {"holds", check.holds}, {"detail", check.detail}});
    }
    boost::json::object result{
        {"requests", this->requests},
        {"results", counts_json(this->results)},
        {"retries", counts_json(this->retries)},
        {"kinds", std::move(kinds_json)},
        {"versions", std::move(versions_json)},
        {"checks", std::move(checks_json)},
        {"holds", this->all_checks_hold()},
    };
    if (this->bills) {
        result["bills"] = boost::json::object{
            {"answered", this->bills->answered},
            {"bills", this->bills->bills},
            {"missing", this->bills->missing},
            {"wrong_tokens", this->bills->wrong_tokens},
            {"without_answer", this->bills->without_answer},
            {"cost_micro", this->bills->cost_micro},
        };
    }
    return boost::json::serialize(result);
}

auto report::to_table() const -> std::string
{
    const auto number = [](std::uint64_t count) {
        return static_cast<unsigned long long>(count);
    };
    auto table = format_line("requests %llu\n", number(this->requests));
    for (const auto& [name, count] : this->results) {
        table += format_line("  %-34s %8llu\n", name.c_str(), number(count));
    }
    for (const auto& [name, count] : this->retries) {
        table += format_line("  tried again after %-26s %8llu\n", name.c_str(), number(count));
    }
    table +=
        format_line("  %-34s %8s %10s %10s %10s\n", "latency in ms", "count", "p50", "p90", "p99");
    for (const auto& [name, summary] : this->kinds) {
        table += latency_line(name, *summary.total_us);
        if (summary.first_us->read().count != 0) {
            table += latency_line(name + " first token", *summary.first_us);
        }
    }
    table += format_line("  %-34s %8s %10s\n", "version", "answers", "bad");
    for (const auto& [name, summary] : this->versions) {
        table += format_line(
            "  %-34s %8llu %10llu\n", name.c_str(), number(summary.answers), number(summary.bad));
    }
    if (this->bills) {
        table += format_line(
            "bills %llu of %llu answers, cost %.6f, without answer %llu\n",
            number(this->bills->bills),
            number(this->bills->answered),
            static_cast<double>(this->bills->cost_micro) / 1e6,
            number(this->bills->without_answer));
    }
    for (const auto& check : this->checks()) {
        table += format_line(
            "check %-30s %-5s %s\n",
            check.name.c_str(),
            check.holds ? "ok" : "FAILS",
            check.detail.c_str());
    }
    return table;
}

} // namespace reedramp::load
