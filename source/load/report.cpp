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

/// "answered", "refused no_capacity (not_run)", "wrong foreign_answer".
auto result_name(const answer_verdict& verdict) -> std::string
{
    auto name = state_name(verdict.state);
    if (!verdict.why.empty()) {
        name += " " + verdict.why;
    }
    if (!verdict.execution.empty()) {
        name += " (" + verdict.execution + ")";
    }
    return name;
}

auto quantiles_of(const metrics::histogram& from) -> boost::json::object
{
    const auto read = from.read();
    boost::json::object made{{"count", read.count}};
    for (std::size_t index = 0; index < quantiles.size(); ++index) {
        made[quantile_names[index]] = read.quantile(quantiles[index]) / us_per_ms;
    }
    return made;
}

auto counts_of(const std::map<std::string, std::uint64_t>& counts) -> boost::json::object
{
    boost::json::object made;
    for (const auto& [name, count] : counts) {
        made[name] = count;
    }
    return made;
}

/// One aligned line of the table.
template <typename... Values>
auto format_line(const char* format, Values... values) -> std::string
{
    constexpr std::size_t longest_line = 256;
    std::array<char, longest_line> line{};
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
    auto& summary = this->summary_of(outcome.kind);
    ++this->requests;
    ++this->results[name];
    ++this->states[verdict.state];
    ++summary.results[name];
    this->add_version(outcome);
    this->add_once(outcome);
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
    const auto [place, is_new] = this->versions.try_emplace(outcome.verdict.version);
    auto& summary = place->second;
    ++summary.answers;
    summary.bad += outcome.verdict.is_bad ? 1 : 0;
    summary.first_started =
        is_new ? outcome.started : std::min(summary.first_started, outcome.started);
    summary.last_started = std::max(summary.last_started, outcome.started);
}

auto report::add_once(const request_outcome& outcome) -> void
{
    if (outcome.once_body.empty()) {
        return;
    }
    this->once_bodies.insert(outcome.once_body);
    if (outcome.verdict.state == answer_state::answered) {
        this->answered_bodies.insert(outcome.once_body);
    }
    // Only of a first try: a later one says nothing about what an earlier one, lost, has done.
    if (outcome.verdict.execution == "not_run" && outcome.tries == 1) {
        this->not_run_bodies.insert(outcome.once_body);
    }
}

auto report::add_service_runs(const run_counts& runs) -> void
{
    this->has_runs = true;
    const auto count_of = [&runs](const std::string& body) {
        const auto found = runs.find(body);
        return found == runs.end() ? 0 : found->second;
    };
    for (const auto& body : this->once_bodies) {
        this->doubled_runs += count_of(body) > 1 ? 1 : 0;
    }
    for (const auto& body : this->not_run_bodies) {
        this->false_not_run += count_of(body) > 0 ? 1 : 0;
    }
    for (const auto& body : this->answered_bodies) {
        this->answered_without_run += count_of(body) == 0 ? 1 : 0;
    }
}

auto report::add_bills(const bill_comparison& compared) -> void
{
    this->bills = compared;
}

auto report::summary_of(const std::string& kind) -> kind_summary&
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
    const auto& wanted = this->settings.checks;
    std::vector<check_result> made;
    const auto answers = this->count_state(answer_state::answered);
    const auto broken = this->count_state(answer_state::broken);
    const auto lost = this->count_state(answer_state::lost);
    const auto wrong = this->count_state(answer_state::wrong);
    const auto share = this->requests == 0 ? 0.0
                                           : whole_permille * static_cast<double>(answers) /
                                                 static_cast<double>(this->requests);
    made.push_back({"no wrong answer", wrong == 0, std::to_string(wrong)});
    made.push_back({"broken streams", broken <= wanted.allowed_broken, std::to_string(broken)});
    made.push_back({"lost requests", lost <= wanted.allowed_lost, std::to_string(lost)});
    made.push_back(
        {"answered permille",
         share >= wanted.smallest_answered_permille,
         format_line("%.1f", share)});
    if (wanted.largest_p99_ms != 0) {
        double worst = 0.0;
        for (const auto& [name, summary] : this->kinds) {
            worst = std::max(worst, summary.total_us->read().quantile(0.99) / us_per_ms);
        }
        made.push_back(
            {"worst p99 ms", worst <= wanted.largest_p99_ms, format_line("%.1f", worst)});
    }
    if (this->has_runs) {
        made.push_back({"no call run twice", doubled_runs == 0, std::to_string(doubled_runs)});
        made.push_back({"not_run is true", false_not_run == 0, std::to_string(false_not_run)});
        made.push_back(
            {"answered calls ran",
             answered_without_run == 0,
             std::to_string(answered_without_run)});
    }
    this->add_bill_checks(made);
    return made;
}

auto report::add_bill_checks(std::vector<check_result>& made) const -> void
{
    if (!this->bills) {
        return;
    }
    const auto& compared = *this->bills;
    made.push_back(
        {"each answer billed",
         compared.missing == 0,
         std::to_string(compared.missing) + " missing"});
    made.push_back(
        {"billed tokens right", compared.wrong_tokens == 0, std::to_string(compared.wrong_tokens)});
}

auto report::holds() const -> bool
{
    const auto made = this->checks();
    return std::ranges::all_of(made, &check_result::holds);
}

auto report::to_json() const -> std::string
{
    boost::json::object kinds_json;
    for (const auto& [name, summary] : this->kinds) {
        kinds_json[name] = boost::json::object{
            {"results", counts_of(summary.results)},
            {"total", quantiles_of(*summary.total_us)},
            {"first_token", quantiles_of(*summary.first_us)},
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
    boost::json::object made{
        {"requests", this->requests},
        {"results", counts_of(this->results)},
        {"retries", counts_of(this->retries)},
        {"kinds", std::move(kinds_json)},
        {"versions", std::move(versions_json)},
        {"checks", std::move(checks_json)},
        {"holds", this->holds()},
    };
    if (this->bills) {
        made["bills"] = boost::json::object{
            {"answered", this->bills->answered},
            {"bills", this->bills->bills},
            {"missing", this->bills->missing},
            {"wrong_tokens", this->bills->wrong_tokens},
            {"without_answer", this->bills->without_answer},
            {"cost_micro", this->bills->cost_micro},
        };
    }
    return boost::json::serialize(made);
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
