#include <algorithm>
#include <chrono>
#include <iostream>
#include <thread>

#include <boost/json.hpp>

#include "commands.hpp"
#include "daemon/clock.hpp"
#include "operators/requests.hpp"
#include "operators/revision_watch.hpp"

namespace reedramp::ctl {

using common::failure;
using common::result_code;

namespace {

constexpr std::chrono::milliseconds watch_period{50};

auto agent_of(
    const std::vector<platform::host_entry>& rows, const inventory::backend_server& server)
    -> common::result<http::endpoint>
{
    const auto found = std::ranges::find(rows, server.host, &platform::host_entry::host);
    if (found == rows.end()) {
        return failure(result_code::not_found, "the host list has no host " + server.host.value());
    }
    const auto where = http::parse_endpoint(found->http);
    if (!where || found->role != platform::host_role::server) {
        return failure(
            result_code::not_found, "host " + server.host.value() + " has no agent's address");
    }
    return *where;
}

/// The newest one that an entry has folded; publications are answered only after that.
auto newest_of_entries(caller& by, const options& given) -> common::result<common::log_offset>
{
    const auto entries = entries_of(by, given);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    std::vector<addressed_request> questions;
    for (const auto& where : *entries) {
        questions.push_back({where, operators::read_request("status")});
    }
    auto found = common::result<common::log_offset>(
        failure(result_code::peer_unavailable, "no entry answers"));
    for (const auto& answer : by.ask_all(questions, true)) {
        if (answer) {
            const auto offset = operators::parse_status_offset(*answer);
            found = std::max(found.value_or(offset), offset);
        }
        else if (!found) {
            found = tl::unexpected(answer.error());
        }
    }
    return found;
}

auto wanted_revision(caller& by, const options& given) -> common::result<common::log_offset>
{
    const auto& word = given.words.front();
    return word == operators::latest_revision_keyword ? newest_of_entries(by, given)
                                                      : operators::parse_revision(word);
}

/// Asks all processes that lack the revision, and shows progress when there is some.
auto look(caller& by, operators::revision_watch& progress, bool shows) -> void
{
    const auto waiting = progress.pending_processes();
    const auto before = progress.in_force_count();
    std::vector<addressed_request> questions;
    for (const auto& item : waiting) {
        const auto where = http::parse_endpoint(item.row.http);
        questions.push_back({where.value_or(http::endpoint{}), operators::metrics_request()});
    }
    const auto answers = by.ask_all(questions, false);
    const auto now = daemon::boot_time();
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        progress.apply_metrics(waiting[index].row.host, answers[index], now);
    }
    if (shows && progress.in_force_count() != before) {
        std::cerr << progress.progress_text() << std::endl;
    }
}

} // namespace

auto drain(caller& by, const options& given) -> printed
{
    const auto& name = given.words.front();
    const auto current = fetch_state(by, given);
    if (!current) {
        return tl::unexpected(current.error());
    }
    const auto server = current->servers.find(common::server_id{name});
    if (server == current->servers.end()) {
        return failure(result_code::not_found, "there is no server " + name);
    }
    const auto rows = by.hosts(*given.hosts);
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    const auto where = agent_of(*rows, server->second);
    if (!where) {
        return tl::unexpected(where.error());
    }
    const auto answer = by.ask(*where, operators::drain_request());
    if (!answer || given.as_json) {
        return answer.map([](const std::string& text) { return text + "\n"; });
    }
    return "server " + name + " on host " + server->second.host.value() +
           " takes no new work; what runs goes on\n";
}

auto watch(caller& by, const options& given) -> printed
{
    const auto revision = wanted_revision(by, given);
    if (!revision) {
        return tl::unexpected(revision.error());
    }
    const auto begin = daemon::boot_time();
    const auto end = begin + given.timeout;
    operators::revision_watch progress(*revision, begin);
    while (true) {
        const auto rows = by.hosts(*given.hosts);
        if (rows) {
            progress.update_hosts(*rows);
            look(by, progress, !given.as_json);
        }
        if (progress.complete()) {
            break;
        }
        if (daemon::boot_time() >= end) {
            if (!rows) {
                return tl::unexpected(rows.error());
            }
            break;
        }
        std::this_thread::sleep_for(watch_period);
    }
    auto text = given.as_json ? progress.json() + "\n" : progress.text();
    const auto outcome = progress.outcome();
    if (outcome) {
        return text;
    }
    std::cout << text;
    return tl::unexpected(outcome.error());
}

} // namespace reedramp::ctl
