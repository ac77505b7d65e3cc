#include "operators/revision_watch.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <set>
#include <utility>

#include "operators/text_table.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::operators {

namespace json = boost::json;
using common::failure;
using common::result_code;

namespace {

/// Maximum number of pending processes that an error message lists; the table shows them all.
constexpr std::size_t max_named_processes = 10;
constexpr std::string_view offset_metric = "_configuration_offset ";

auto role_text(platform::host_role role) -> std::string
{
    return role == platform::host_role::entry ? "entry" : "agent";
}

auto names_of(const std::vector<watched_process>& items) -> std::string
{
    std::string result;
    for (std::size_t index = 0; index < std::min(items.size(), max_named_processes); ++index) {
        result += (index == 0 ? "" : ", ") + items[index].row.host.value();
    }
    if (items.size() > max_named_processes) {
        result += ", and " + std::to_string(items.size() - max_named_processes) + " more";
    }
    return result;
}

auto is_pending(const watched_process& item) -> bool
{
    return !item.in_force_at.has_value();
}

} // namespace

auto parse_revision(std::string_view word) -> common::result<common::log_offset>
{
    std::uint64_t value = 0;
    const auto* const end = word.data() + word.size();
    const auto read = std::from_chars(word.data(), end, value);
    if (word.empty() || read.ec != std::errc{} || read.ptr != end) {
        return failure(result_code::malformed_request, "invalid revision: " + std::string(word));
    }
    return common::log_offset{value};
}

auto parse_status_offset(std::string_view status) -> common::log_offset
{
    const auto answer = platform::parse_object(status).value_or(boost::json::object{});
    return common::log_offset{platform::count_field(answer, "offset").value_or(0)};
}

auto parse_configuration_offset(std::string_view metrics) -> std::optional<common::log_offset>
{
    while (!metrics.empty()) {
        const auto line = metrics.substr(0, metrics.find('\n'));
        metrics.remove_prefix(std::min(line.size() + 1, metrics.size()));
        const auto position = line.find(offset_metric);
        if (line.starts_with('#') || position == std::string_view::npos) {
            continue;
        }
        const auto number = line.substr(position + offset_metric.size());
        double value = 0; // Prometheus text holds floating-point numbers.
        const auto read = std::from_chars(number.data(), number.data() + number.size(), value);
        if (read.ec == std::errc{} && value >= 0) {
            return common::log_offset{static_cast<std::uint64_t>(value)};
        }
    }
    return std::nullopt;
}

revision_watch::revision_watch(common::log_offset wanted, common::time_point now)
    : revision(wanted), begin(now)
{
}

auto revision_watch::update_hosts(const std::vector<platform::host_entry>& rows) -> void
{
    std::set<common::host_id> live;
    for (const auto& row : rows) {
        if (row.state != platform::host_state::live || row.http.empty()) {
            continue;
        }
        live.insert(row.host);
        auto& item = this->processes[row.host];
        const auto is_replaced = item.row.http != row.http;
        if (is_replaced) {
            item = {};
        }
        item.row = row;
    }
    std::erase_if(
        this->processes, [&live](const auto& item) { return !live.contains(item.first); });
}

auto revision_watch::apply_metrics(
    const common::host_id& host, const common::result<std::string>& metrics, common::time_point now)
    -> void
{
    const auto found = this->processes.find(host);
    if (found == this->processes.end()) {
        return;
    }
    auto& item = found->second;
    if (!metrics) {
        item.problem = metrics.error().detail.empty() ? "no answer" : metrics.error().detail;
        return;
    }
    item.problem.clear();
    item.offset = parse_configuration_offset(*metrics);
    if (!item.offset) {
        item.problem = "its metrics contain no configuration offset";
    }
    else if (*item.offset >= this->revision && is_pending(item)) {
        item.in_force_at = now;
    }
}

auto revision_watch::pending_processes() const -> std::vector<watched_process>
{
    std::vector<watched_process> result;
    for (const auto& [host, item] : this->processes) {
        if (is_pending(item)) {
            result.push_back(item);
        }
    }
    return result;
}

auto revision_watch::in_force_count() const -> std::size_t
{
    return this->processes.size() - this->pending_processes().size();
}

auto revision_watch::complete() const -> bool
{
    return !this->processes.empty() && this->pending_processes().empty();
}

auto revision_watch::outcome() const -> common::result<void>
{
    if (this->complete()) {
        return {};
    }
    const auto pending = this->pending_processes();
    if (pending.empty()) {
        return failure(result_code::peer_unavailable, "the host list contains no live process");
    }
    const auto all_failed =
        std::ranges::none_of(pending, &std::string::empty, &watched_process::problem);
    const auto code = all_failed ? result_code::peer_unavailable : result_code::stale_configuration;
    return failure(
        code,
        "revision " + std::to_string(this->revision.value()) + " is not in force on " +
            names_of(pending));
}

auto revision_watch::progress_text() const -> std::string
{
    return "revision " + std::to_string(this->revision.value()) + " in force on " +
           std::to_string(this->in_force_count()) + " of " + std::to_string(this->size()) +
           " processes";
}

auto revision_watch::slowest_first() const -> std::vector<watched_process>
{
    std::vector<watched_process> result;
    for (const auto& [host, item] : this->processes) {
        result.push_back(item);
    }
    std::ranges::stable_sort(result, [](const auto& left, const auto& right) {
        const auto left_at = left.in_force_at.value_or(common::never);
        return left_at > right.in_force_at.value_or(common::never);
    });
    return result;
}

auto revision_watch::milliseconds_since_begin(common::time_point when) const -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(when - this->begin).count();
}

auto revision_watch::text() const -> std::string
{
    text_table table({"host", "role", "data centre", "offset", "in force after ms", "problem"});
    for (const auto& item : this->slowest_first()) {
        table.add(
            {item.row.host.value(),
             role_text(item.row.role),
             item.row.data_centre.value(),
             item.offset ? std::to_string(item.offset->value()) : "",
             item.in_force_at ? std::to_string(this->milliseconds_since_begin(*item.in_force_at))
                              : "",
             item.problem});
    }
    return table.text() + this->progress_text() + "\n";
}

auto revision_watch::json() const -> std::string
{
    json::array rows;
    for (const auto& item : this->slowest_first()) {
        json::object row{
            {"host", item.row.host.value()},
            {"role", role_text(item.row.role)},
            {"data_centre", item.row.data_centre.value()},
            {"problem", item.problem}};
        if (item.offset) {
            row["offset"] = item.offset->value();
        }
        if (item.in_force_at) {
            row["in_force_after_ms"] = this->milliseconds_since_begin(*item.in_force_at);
        }
        rows.push_back(std::move(row));
    }
    return json::serialize(json::object{
        {"revision", this->revision.value()},
        {"in_force", this->in_force_count()},
        {"processes", std::move(rows)},
        {"complete", this->complete()}});
}

} // namespace reedramp::operators
