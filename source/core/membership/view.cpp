#include "membership/view.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace reedramp::membership {

namespace {

using common::incarnation_id;
using common::result_code;
using platform::host_entry;
using platform::host_state;

/// Maximum number of earlier and of leaving incarnations kept for a server. Enough to recognise
/// late answers: a host is replaced a few times a day at most, and an answer is late by seconds.
constexpr std::size_t max_incarnations = 8;

/// Maximum number of servers kept after their removal from the inventory.
constexpr std::ptrdiff_t max_removed_servers = 4096;

/// Number of doublings after which a suspension is always at its maximum.
constexpr std::uint32_t max_doublings = 16;

auto contains(const std::vector<incarnation_id>& list, incarnation_id wanted) -> bool
{
    return std::ranges::find(list, wanted) != list.end();
}

auto add_incarnation(std::vector<incarnation_id>& list, incarnation_id added) -> void
{
    if (contains(list, added)) {
        return;
    }
    if (list.size() >= max_incarnations) {
        list.erase(list.begin());
    }
    list.push_back(added);
}

auto log_server(const common::server_id& server, std::string_view text, common::log_level level)
    -> void
{
    common::log(
        common::log_part::members, level, "server=" + server.value() + " " + std::string{text});
}

} // namespace

auto to_string(availability value) -> std::string_view
{
    switch (value) {
    case availability::usable:
        return "usable";
    case availability::suspended:
        return "suspended";
    case availability::leaving:
        return "leaving";
    case availability::absent:
        return "absent";
    }
    return "absent";
}

auto view::update_hosts(std::vector<host_entry> rows) -> void
{
    const std::lock_guard guard(this->lock);
    if (rows.empty() && !this->hosts.empty()) {
        common::log(
            common::log_part::members,
            common::log_level::warning,
            "empty list of hosts ignored known=" + std::to_string(this->hosts.size()));
        return;
    }
    std::map<common::host_id, host_entry> listed;
    for (auto& row : rows) {
        auto host = row.host;
        listed.insert_or_assign(std::move(host), std::move(row));
    }
    this->hosts = std::move(listed);
    this->list_was_read = true;
    ++this->changes;
}

auto view::update_servers(std::vector<server_row> rows) -> void
{
    const std::lock_guard guard(this->lock);
    for (auto& [id, server] : this->servers) {
        server.in_inventory = false;
    }
    for (auto& row : rows) {
        auto& server = this->servers[row.server];
        server.row = std::move(row);
        server.in_inventory = true;
    }
    this->purge_removed_servers();
    ++this->changes;
}

auto view::on_probe_answer(const messages::probe_answer& answer) -> void
{
    const std::lock_guard guard(this->lock);
    const auto found = this->servers.find(answer.server);
    if (found == this->servers.end()) {
        return;
    }
    auto& server = found->second;
    if (contains(server.earlier, answer.incarnation)) {
        return;
    }
    if (server.incarnation != answer.incarnation) {
        if (server.incarnation.value() != 0) {
            add_incarnation(server.earlier, server.incarnation);
        }
        server.incarnation = answer.incarnation;
        log_server(
            answer.server,
            "has a new incarnation=" + std::to_string(answer.incarnation.value()),
            common::log_level::info);
        ++this->changes;
    }
    if (server.failures != 0) {
        server.failures = 0;
        server.suspended_until = {};
        log_server(answer.server, "responds again", common::log_level::info);
        ++this->changes;
    }
    if (answer.leaving) {
        this->mark_leaving(server, answer.incarnation);
    }
}

auto view::on_failure(const common::server_id& server_name, common::time_point now) -> void
{
    const std::lock_guard guard(this->lock);
    const auto found = this->servers.find(server_name);
    if (found == this->servers.end()) {
        return;
    }
    auto& server = found->second;
    // All calls to a lost server fail at the same time; they count as one failure.
    if (server.failures != 0 && now < server.suspended_until) {
        return;
    }
    const auto doublings = std::min(server.failures, max_doublings);
    const auto wanted = this->config.first_suspension * (std::int64_t{1} << doublings);
    server.suspended_until = now + std::min(wanted, this->config.max_suspension);
    ++server.failures;
    ++this->changes;
    log_server(
        server_name,
        "is suspended failures=" + std::to_string(server.failures),
        common::log_level::warning);
}

auto view::on_refusal(
    const common::server_id& server_name, incarnation_id incarnation, result_code code) -> void
{
    const std::lock_guard guard(this->lock);
    const auto found = this->servers.find(server_name);
    if (found == this->servers.end()) {
        return;
    }
    if (code == result_code::server_leaving || code == result_code::shutting_down) {
        this->mark_leaving(found->second, incarnation);
    }
}

auto view::servers_for(const common::version_id& version, common::time_point now) const
    -> std::vector<server_view>
{
    return this->select(
        [&version](const server_row& row) {
            return std::ranges::find(row.versions, version) != row.versions.end();
        },
        now);
}

auto view::servers_for(const common::service_name& service, common::time_point now) const
    -> std::vector<server_view>
{
    return this->select(
        [&service](const server_row& row) {
            return std::ranges::find(row.services, service) != row.services.end();
        },
        now);
}

auto view::find(const common::server_id& server) const -> std::optional<server_view>
{
    const std::lock_guard guard(this->lock);
    const auto found = this->servers.find(server);
    if (found == this->servers.end() || this->host_of(found->second) == nullptr) {
        return std::nullopt;
    }
    return this->describe(found->second);
}

auto view::statuses(common::time_point now) const -> std::vector<server_status>
{
    const std::lock_guard guard(this->lock);
    std::vector<server_status> all;
    all.reserve(this->servers.size());
    for (const auto& [id, server] : this->servers) {
        if (!server.in_inventory) {
            continue;
        }
        all.push_back(
            {this->describe(server),
             this->state_of(server, now),
             server.failures,
             server.suspended_until});
    }
    return all;
}

auto view::coverage() const -> server_coverage
{
    const std::lock_guard guard(this->lock);
    server_coverage result;
    result.list_was_read = this->list_was_read;
    for (const auto& [id, server] : this->servers) {
        if (!server.in_inventory) {
            continue;
        }
        ++result.servers;
        result.listed += this->host_of(server) != nullptr ? 1U : 0U;
    }
    return result;
}

auto view::peers(platform::host_role role) const -> std::vector<peer_view>
{
    const std::lock_guard guard(this->lock);
    std::vector<peer_view> found;
    for (const auto& [id, host] : this->hosts) {
        if (host.role == role && host.state == host_state::live) {
            found.push_back(
                {host.host,
                 host.data_centre,
                 host.region,
                 host.role,
                 messages::rpc_address{host.rpc},
                 host.http});
        }
    }
    return found;
}

auto view::generation() const -> std::uint64_t
{
    const std::lock_guard guard(this->lock);
    return this->changes;
}

auto view::state_of(const server_state& server, common::time_point now) const -> availability
{
    const auto* host = this->host_of(server);
    if (host == nullptr || !server.in_inventory) {
        return availability::absent;
    }
    // The list can't make a server usable again: a leaving incarnation is leaving even if the list
    // says "live".
    if (host->state == host_state::leaving || contains(server.leaving, server.incarnation)) {
        return availability::leaving;
    }
    if (server.failures != 0 && now < server.suspended_until) {
        return availability::suspended;
    }
    return availability::usable;
}

auto view::describe(const server_state& server) const -> server_view
{
    const auto* host = this->host_of(server);
    return {
        server.row.server,
        server.row.host,
        server.row.data_centre,
        server.row.region,
        messages::rpc_address{host == nullptr ? std::string{} : host->rpc},
        server.incarnation};
}

auto view::host_of(const server_state& server) const -> const host_entry*
{
    const auto found = this->hosts.find(server.row.host);
    return found == this->hosts.end() ? nullptr : &found->second;
}

auto view::mark_leaving(server_state& server, incarnation_id incarnation) -> void
{
    if (contains(server.leaving, incarnation)) {
        return;
    }
    add_incarnation(server.leaving, incarnation);
    ++this->changes;
    log_server(
        server.row.server,
        "is leaving incarnation=" + std::to_string(incarnation.value()),
        common::log_level::info);
}

auto view::purge_removed_servers() -> void
{
    const auto is_removed = [](const auto& item) {
        return !item.second.in_inventory;
    };
    // A server that is removed from the inventory and added again while it is leaving must not get
    // work. Its announcement is therefore kept after the removal, up to a limit.
    std::erase_if(this->servers, [&is_removed](const auto& item) {
        return is_removed(item) && item.second.leaving.empty();
    });
    if (std::ranges::count_if(this->servers, is_removed) > max_removed_servers) {
        std::erase_if(this->servers, is_removed);
    }
}

template <typename Matches>
auto view::select(Matches matches, common::time_point now) const -> std::vector<server_view>
{
    const std::lock_guard guard(this->lock);
    std::vector<server_view> found;
    for (const auto& [id, server] : this->servers) {
        if (matches(server.row) && this->state_of(server, now) == availability::usable) {
            found.push_back(this->describe(server));
        }
    }
    return found;
}

} // namespace reedramp::membership
