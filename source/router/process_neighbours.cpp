#include <algorithm>
#include <charconv>
#include <utility>

#include "common/log.hpp"
#include "daemon/clock.hpp"
#include "process_implementation.hpp"

/// Part of `router_process` for HTTP between entries: rules, the server list, and the complete
/// state for an entry that is starting.
namespace reedramp::router_program {

using common::log_level;
using common::log_part;

namespace {

/// Interval at which a reader reads the entries' records. Entries find each other by peer reports;
/// the records reconnect groups that have lost contact, which needs few readers.
constexpr milliseconds entries_period{30000};
/// Interval at which any other entry checks whether it has become a reader.
constexpr milliseconds entries_check{5000};
/// Time for neighbours to respond, which takes some milliseconds, or some tens if their CPU quota
/// is used up. After it the store is read, which responds in 4 ms.
constexpr milliseconds neighbour_timeout{150};

/// Longest wait of an entry that starts from the store for the barred requests. It is limited since
/// the response may be lost while callers wait.
constexpr milliseconds barred_wait{300};

/// Maximum entries that one entry helps to start per second. If hundreds start at once, all ask the
/// same three. At 66 KB for the list of 620 servers, this many take less than a second on a 20
/// Mbit/s link, and the others read the store at once instead of waiting for them.
constexpr std::size_t max_starts_per_second = 32;

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_not_ready = 503;

} // namespace

auto router_process::implementation::serve_list(std::string_view target) const -> http::response
{
    std::optional<std::uint64_t> since;
    if (target.starts_with(list_since)) {
        target.remove_prefix(list_since.size());
        std::uint64_t position = 0;
        const auto read = std::from_chars(target.data(), target.data() + target.size(), position);
        since = read.ec == std::errc{} ? std::optional{position} : std::nullopt;
    }
    auto body = this->list_updates->make_response(since);
    const auto status = body.empty() ? status_not_ready : status_ok;
    return {status, {}, std::move(body)};
}

auto router_process::implementation::may_serve_start() -> bool
{
    const auto now = daemon::boot_time();
    if (now - this->starts_counted_since >= std::chrono::seconds{1}) {
        this->starts_counted_since = now;
        this->starts_served = 0;
    }
    if (this->starts_served >= max_starts_per_second) {
        return false;
    }
    this->starts_served += 1;
    return true;
}

auto router_process::implementation::serve_start(std::string_view target) -> http::response
{
    target.remove_prefix(start_path.size());
    const auto where = http::parse_endpoint(target);
    if (!this->core->is_ready() || !where || !this->may_serve_start()) {
        return {status_not_ready, {}, ""};
    }
    this->crash_updates->send_barred(*where);
    const auto* has_record = this->peers->is_recorded(*where) ? "yes" : "no";
    return {
        status_ok, {{std::string{recorded_header}, has_record}}, this->peers->make_start_report()};
}

auto router_process::implementation::query_neighbours() -> void
{
    for (const auto& neighbour : this->settings.first_peers) {
        const http::endpoint where{neighbour.address, this->own_address().port};
        if (where == this->own_address()) {
            continue;
        }
        http::request request;
        request.method = "GET";
        request.target = std::string{start_path} + http::to_string(this->own_address());
        this->pending_neighbours += 1;
        this->store_http.quick->send(
            where, std::move(request), {.on_done = [this](const auto& answer) {
                this->on_start_response(answer);
            }});
    }
    this->start_when_neighbours_respond(daemon::boot_time() + neighbour_timeout);
}

auto router_process::implementation::on_start_response(const common::result<http::response>& answer)
    -> void
{
    this->pending_neighbours -= 1;
    if (this->has_started || !answer || answer->status != status_ok) {
        return;
    }
    this->has_start_response = true;
    if (http::find_header(answer->headers, recorded_header) == "yes") {
        this->is_recorded = true;
    }
    // The report names rules and a list position that this entry lacks, so both are requested at
    // once.
    this->peers->receive(answer->body);
}

auto router_process::implementation::start_when_neighbours_respond(common::time_point latest)
    -> void
{
    const auto now = daemon::boot_time();
    const bool is_alone = this->pending_neighbours == 0 && !this->has_start_response;
    if (this->core->is_ready() || is_alone || now >= latest) {
        this->has_started = true;
        common::log(
            log_part::entry,
            log_level::info,
            std::string{"starting from="} + (this->core->is_ready() ? "a neighbour" : "the store"));
        this->start_followers();
        return;
    }
    this->timers->add(
        now + start_check, [this, latest] { this->start_when_neighbours_respond(latest); });
}

auto router_process::implementation::query_list(
    const http::endpoint& of,
    std::optional<std::uint64_t> since,
    router::answer_hook<std::string> done) -> void
{
    http::request request;
    request.method = "GET";
    request.target =
        since ? std::string{list_since} + std::to_string(*since) : std::string{list_path};
    this->store_http.quick->send(
        of,
        std::move(request),
        {.on_done = [done = std::move(done)](const common::result<http::response>& answer) {
            if (!answer || answer->status != status_ok) {
                done(common::failure(common::result_code::not_ready));
                return;
            }
            done(answer->body);
        }});
}

auto router_process::implementation::open_list_updates() -> void
{
    this->list = std::make_shared<router::servers_list>(this->core, this->settings.follower);
    router::list_broadcaster_hooks hooks;
    hooks.send = [this](const http::endpoint& to, const std::string& bytes) {
        this->send_datagram(to, bytes);
    };
    hooks.query = [this](const auto& of, auto since, auto done) {
        this->query_list(of, since, std::move(done));
    };
    hooks.recipients = [this] {
        return this->peers->recipients();
    };
    hooks.on_update = [this](const router::list_update& update, const http::endpoint& where) {
        this->peers->note_list_update(update, where);
    };
    this->list_updates = std::make_shared<router::list_broadcaster>(
        this->core, this->list, this->settings.host, this->own_address(), std::move(hooks));
}

auto router_process::implementation::fetch_rules(const http::endpoint& from) -> void
{
    if (std::exchange(this->is_fetching_rules, true)) {
        return;
    }
    http::request request;
    request.method = "GET";
    request.target = rules_path;
    this->store_http.quick->send(
        from, std::move(request), {.on_done = [this](const common::result<http::response>& answer) {
            this->is_fetching_rules = false;
            if (!answer || answer->status != status_ok) {
                return; // The peer's next report triggers another request.
            }
            if (auto found = this->store.decode_rules(answer->body)) {
                this->core->apply_rules(std::move(*found));
                this->peers->broadcast_urgent();
            }
        }});
}

auto router_process::implementation::start_followers() -> void
{
    if (!this->core->is_ready()) {
        this->wait_for_barred();
        this->find_entries();
    }
    this->rules->start();
    this->rules_check->start();
    this->servers->start();
    if (!this->core->is_ready()) {
        return;
    }
    // The neighbour has named all entries. Other entries find this one by its record if all of
    // their configured first peers are gone.
    if (!this->is_recorded) {
        this->record_entry();
    }
    this->schedule_find_entries(entries_check);
}

auto router_process::implementation::wait_for_barred() -> void
{
    this->core->set_awaiting_barred(true);
    this->timers->add(
        daemon::boot_time() + barred_wait, [this] { this->core->set_awaiting_barred(false); });
}

auto router_process::implementation::on_new_era() -> void
{
    this->may_lack_records = true;
    // The first entry restores the records for all others; otherwise each of hundreds of entries
    // would read all records to find its own.
    if (this->peers != nullptr && this->peers->rank() == 0) {
        this->restore_lost_records();
    }
}

auto router_process::implementation::restore_lost_records() -> void
{
    // Independent of the periodic readings, which continue. Calling `find_entries` here would start
    // another series of them for each new era.
    this->read_entries([this](bool is_read) {
        if (!is_read) {
            this->timers->add(
                daemon::boot_time() + entries_check, [this] { this->restore_lost_records(); });
        }
    });
}

auto router_process::implementation::restore_records(const std::vector<router::entry_record>& known)
    -> void
{
    std::size_t lacking = 0;
    for (const auto& one : this->peers->records()) {
        if (std::ranges::find(known, one) == known.end()) {
            lacking += 1;
            this->store.write_entry(one, [](const auto&) {});
        }
    }
    common::log(
        log_part::members,
        log_level::info,
        "entry records restored count=" + std::to_string(lacking));
}

auto router_process::implementation::record_entry() -> void
{
    this->store.write_entry(
        {this->settings.host, http::to_string(this->own_address())},
        [this](const auto& written) { this->is_recorded = written.has_value(); });
}

auto router_process::implementation::read_entries(std::function<auto(bool is_read)->void> done)
    -> void
{
    this->store.read_entries(
        [this, done = std::move(done)](
            const common::result<router::stream_reading<router::entry_document>>& reading) {
            if (reading) {
                this->apply_entry_records(*reading);
            }
            this->core->set_awaiting_barred(false);
            done(reading.has_value());
        });
}

auto router_process::implementation::find_entries() -> void
{
    this->read_entries([this](bool is_read) {
        this->schedule_find_entries(is_read ? entries_period : entries_check);
    });
}

auto router_process::implementation::schedule_find_entries(milliseconds wait) -> void
{
    this->timers->add(daemon::boot_time() + wait, [this] {
        if (this->is_recorded && !this->peers->rank_as_reader().is_reader) {
            this->schedule_find_entries(entries_check);
            return;
        }
        this->find_entries();
    });
}

auto router_process::implementation::apply_entry_records(
    const router::stream_reading<router::entry_document>& entries) -> void
{
    this->core->counters.count_skipped("entries", entries.skipped);
    const router::entry_record self{this->settings.host, http::to_string(this->own_address())};
    std::vector<router::barred_record> barred_documents;
    std::vector<router::entry_record> known;
    for (const auto& document : entries.documents) {
        if (const auto* one = std::get_if<router::barred_record>(&document)) {
            barred_documents.push_back(*one);
            continue;
        }
        const auto& entry = std::get<router::entry_record>(document);
        known.push_back(entry);
        if (const auto where = http::parse_endpoint(entry.address)) {
            this->peers->add(*where);
            this->peers->note_recorded(*where);
        }
    }
    this->barred->apply_stored(barred_documents);
    if (std::exchange(this->may_lack_records, false) && this->peers->rank() == 0) {
        this->restore_records(known);
    }
    // A process that restarts on the same host finds its record in the store.
    if (std::ranges::find(known, self) != known.end()) {
        this->is_recorded = true;
        return;
    }
    this->record_entry();
}

} // namespace reedramp::router_program
