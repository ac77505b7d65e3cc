#include "operators/views.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <utility>

#include "operators/answers.hpp"
#include "operators/text_table.hpp"
#include "platform/http_hosts.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::operators {

namespace json = boost::json;
using platform::bool_field;
using platform::count_field;
using platform::number_field;
using platform::object_field;
using platform::string_field;

namespace {

using counts = std::map<std::string, std::uint64_t>;

auto parse_status(const entry_status& report) -> json::object
{
    if (!report.status) {
        return {};
    }
    return platform::parse_object(*report.status).value_or(json::object{});
}

auto add_counts(const json::object& from, const char* member, counts& into) -> void
{
    const auto* found = object_field(from, member);
    if (found == nullptr) {
        return;
    }
    for (const auto& item : *found) {
        const std::string name(item.key().data(), item.key().size());
        into[name] += count_field(*found, name).value_or(0);
    }
}

/// Sums the counts in `member` over all entries that answered.
auto sum_counts(const system_status& report, const char* member) -> counts
{
    counts result;
    for (const auto& entry : report.entries) {
        add_counts(parse_status(entry), member, result);
    }
    return result;
}

auto freshness_text(const json::object& status) -> std::string
{
    const auto left = number_field(status, "current_for_ms");
    if (!left) {
        return "";
    }
    return *left > 0 ? std::to_string(static_cast<std::int64_t>(*left)) + " ms" : "STALE";
}

auto entries_table(const system_status& report) -> std::string
{
    text_table table(
        {"entry", "host", "ready", "revision", "fresh for", "in flight", "answered", "retries"});
    for (const auto& entry : report.entries) {
        if (!entry.status) {
            const auto name = std::string(common::row_of(entry.status.error().code).name);
            table.add({entry.entry, "", name});
            continue;
        }
        const auto status = parse_status(entry);
        const auto count = [&status](const char* name) {
            return std::to_string(count_field(status, name).value_or(0));
        };
        table.add(
            {entry.entry,
             string_field(status, "host").value_or(""),
             bool_field(status, "ready").value_or(false) ? "yes" : "NO",
             count("offset"),
             freshness_text(status),
             count("in_flight"),
             count("answered"),
             count("retries")});
    }
    return table.text();
}

auto hosts_table(const std::vector<host_status>& hosts) -> std::string
{
    text_table table({"host", "role", "data centre", "region", "listed", "says", "http"});
    for (const auto& [row, health] : hosts) {
        table.add(
            {row.host.value(),
             row.role == platform::host_role::entry ? "entry" : "server",
             row.data_centre.value(),
             row.region.value(),
             row.state == platform::host_state::live ? "live" : "LEAVING",
             health,
             row.http});
    }
    return table.text();
}

/// Share of a version in all answers since the entries started, in permille.
auto share_permille(const counts& answers, const std::string& version) -> std::uint64_t
{
    constexpr std::uint64_t whole = 1000;
    std::uint64_t total = 0;
    for (const auto& [name, count] : answers) {
        total += count;
    }
    const auto found = answers.find(version);
    return found == answers.end() || total == 0 ? 0 : found->second * whole / total;
}

/// Versions that at least one entry treats as withdrawn, even if the log does not contain the
/// withdrawal yet.
auto withdrawn_at_any_entry(const system_status& report) -> std::set<std::string>
{
    std::set<std::string> result;
    for (const auto& entry : report.entries) {
        const auto status = parse_status(entry);
        const auto* names = platform::array_field(status, "withdrawn");
        if (names == nullptr) {
            continue;
        }
        for (const auto& name : *names) {
            if (const auto* text = name.if_string()) {
                result.emplace(text->data(), text->size());
            }
        }
    }
    return result;
}

/// Answers by version, including versions of the inventory that have no answers yet.
auto versions_table(const system_status& report) -> std::string
{
    const auto answers = sum_counts(report, "versions");
    auto listed = answers;
    auto withdrawn = withdrawn_at_any_entry(report);
    inventory::state empty_state;
    const auto& current = report.state ? *report.state : empty_state;
    for (const auto& [id, item] : current.versions) {
        listed.try_emplace(id.value(), 0);
    }
    text_table table({"version", "model", "stage", "answers", "share"});
    for (const auto& [name, count] : listed) {
        const auto found = current.versions.find(common::version_id(name));
        std::string model;
        std::string stage;
        if (found != current.versions.end()) {
            const auto is_new = found->second.stage == inventory::version_stage::rollout;
            model = found->second.model.value();
            stage = is_new ? "rollout" : "stable";
        }
        if (withdrawn.contains(name) || current.is_withdrawn(common::version_id(name))) {
            stage = "WITHDRAWN";
        }
        table.add(
            {name,
             model,
             stage,
             std::to_string(count),
             percent_text(share_permille(answers, name))});
    }
    return table.text();
}

auto refusals_table(const system_status& report) -> std::string
{
    text_table table({"refusal", "count"});
    for (const auto& [name, count] : sum_counts(report, "refusals")) {
        table.add({name, std::to_string(count)});
    }
    return table.text();
}

auto organisations_table(const std::string& bills) -> std::string
{
    constexpr std::size_t max_rows = 10;

    struct row {
        std::string name;
        std::uint64_t cost = 0;
        std::uint64_t requests = 0;
    };

    const auto answer = platform::parse_object(bills).value_or(json::object{});
    const auto* sums = object_field(answer, "organisations");
    if (sums == nullptr) {
        return {};
    }
    std::vector<row> rows;
    for (const auto& item : *sums) {
        if (const auto* sum = item.value().if_object()) {
            rows.push_back(
                {std::string(item.key().data(), item.key().size()),
                 count_field(*sum, "cost_micro").value_or(0),
                 count_field(*sum, "requests").value_or(0)});
        }
    }
    std::ranges::stable_sort(rows, std::greater<>(), &row::cost);
    rows.resize(std::min(rows.size(), max_rows));
    text_table table({"organisation", "requests", "money"});
    for (const auto& item : rows) {
        const auto cost = static_cast<std::int64_t>(item.cost);
        table.add({item.name, std::to_string(item.requests), money_text(cost)});
    }
    return table.text();
}

auto append_section(std::string& into, const std::string& part) -> void
{
    if (!part.empty()) {
        into += (into.empty() ? "" : "\n") + part;
    }
}

} // namespace

auto status_text(const system_status& report) -> std::string
{
    std::string result;
    append_section(result, entries_table(report));
    if (report.hosts) {
        append_section(result, hosts_table(*report.hosts));
    }
    if (report.state) {
        append_section(result, state_text(*report.state, "server").value_or(""));
    }
    append_section(result, versions_table(report));
    if (report.state) {
        append_section(result, state_text(*report.state, "rollout").value_or(""));
    }
    append_section(result, refusals_table(report));
    if (report.bills) {
        append_section(result, organisations_table(*report.bills));
    }
    return result;
}

auto status_json(const system_status& report) -> std::string
{
    json::array entries;
    for (const auto& entry : report.entries) {
        json::object row{{"entry", entry.entry}};
        if (entry.status) {
            row["status"] = parse_status(entry);
        }
        else {
            row["error"] = json::parse(error_json(entry.status.error())).at("error");
        }
        entries.push_back(std::move(row));
    }
    json::object result{{"entries", std::move(entries)}};
    if (report.hosts) {
        json::array hosts;
        for (const auto& [row, health] : *report.hosts) {
            auto host = platform::parse_object(platform::format_host(row)).value_or(json::object{});
            host["says"] = health;
            hosts.push_back(std::move(host));
        }
        result["hosts"] = std::move(hosts);
    }
    if (report.bills) {
        result["bills"] = platform::parse_object(*report.bills).value_or(json::object{});
    }
    return json::serialize(result);
}

} // namespace reedramp::operators
