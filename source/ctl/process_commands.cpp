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

auto find_agent(
    const std::vector<platform::host_entry>& rows, const inventory::backend_server& server)
    -> common::result<http::endpoint>
{
    const auto found = std::ranges::find(rows, server.host, &platform::host_entry::host);
    if (found == rows.end()) {
        return failure(
            result_code::not_found, "the host list does not contain host " + server.host.value());
    }
    const auto endpoint = http::parse_endpoint(found->http);
    if (!endpoint || found->role != platform::host_role::server) {
        return failure(
            result_code::not_found,
            "host " + server.host.value() + " has no agent address in the host list");
    }
    return *endpoint;
}

/// The newest revision that any entry has applied. An entry answers a publication only after it has
/// applied the record, so this includes every confirmed publication.
auto fetch_latest_revision(admin_client& client, const options& opts)
    -> common::result<common::log_offset>
{
    const auto entries = resolve_entries(client, opts);
    if (!entries) {
        return tl::unexpected(entries.error());
    }
    std::vector<addressed_request> requests;
    for (const auto& endpoint : *entries) {
        requests.push_back({endpoint, operators::read_request("status")});
    }
    auto found = common::result<common::log_offset>(
        failure(result_code::peer_unavailable, "no entry is configured or listed"));
    for (const auto& answer : client.send_all(requests, true)) {
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

auto resolve_revision(admin_client& client, const options& opts)
    -> common::result<common::log_offset>
{
    const auto& word = opts.arguments.front();
    return word == operators::latest_revision_keyword ? fetch_latest_revision(client, opts)
                                                      : operators::parse_revision(word);
}

/// Queries the processes in which the revision is not in force yet. Prints the progress if
/// `prints_progress` is true and it has changed.
auto query_processes(
    admin_client& client, operators::revision_watch& progress, bool prints_progress) -> void
{
    const auto waiting = progress.pending_processes();
    const auto before = progress.in_force_count();
    std::vector<addressed_request> requests;
    for (const auto& item : waiting) {
        const auto endpoint = http::parse_endpoint(item.row.http);
        requests.push_back({endpoint.value_or(http::endpoint{}), operators::metrics_request()});
    }
    const auto answers = client.send_all(requests, false);
    const auto now = daemon::boot_time();
    for (std::size_t index = 0; index < waiting.size(); ++index) {
        progress.apply_metrics(waiting[index].row.host, answers[index], now);
    }
    if (prints_progress && progress.in_force_count() != before) {
        std::cerr << progress.progress_text() << std::endl;
    }
}

} // namespace

auto drain(admin_client& client, const options& opts) -> command_output
{
    const auto& name = opts.arguments.front();
    const auto current = fetch_state(client, opts);
    if (!current) {
        return tl::unexpected(current.error());
    }
    const auto server = current->servers.find(common::server_id{name});
    if (server == current->servers.end()) {
        return failure(result_code::not_found, "unknown server " + name);
    }
    const auto rows = client.fetch_hosts(*opts.hosts);
    if (!rows) {
        return tl::unexpected(rows.error());
    }
    const auto endpoint = find_agent(*rows, server->second);
    if (!endpoint) {
        return tl::unexpected(endpoint.error());
    }
    const auto answer = client.send(*endpoint, operators::drain_request());
    if (!answer || opts.as_json) {
        return answer.map([](const std::string& text) { return text + "\n"; });
    }
    return "server " + name + " on host " + server->second.host.value() +
           " accepts no new requests; running requests continue\n";
}

auto watch(admin_client& client, const options& opts) -> command_output
{
    const auto revision = resolve_revision(client, opts);
    if (!revision) {
        return tl::unexpected(revision.error());
    }
    const auto begin = daemon::boot_time();
    const auto end = begin + opts.timeout;
    operators::revision_watch progress(*revision, begin);
    while (true) {
        const auto rows = client.fetch_hosts(*opts.hosts);
        if (rows) {
            progress.update_hosts(*rows);
            query_processes(client, progress, !opts.as_json);
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
    auto text = opts.as_json ? progress.json() + "\n" : progress.text();
    const auto outcome = progress.outcome();
    if (outcome) {
        return text;
    }
    std::cout << text;
    return tl::unexpected(outcome.error());
}

} // namespace reedramp::ctl
