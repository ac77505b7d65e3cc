#include <algorithm>
#include <charconv>
#include <utility>

#include "common/log.hpp"
#include "daemon/clock.hpp"
#include "process_parts.hpp"

/// What entries give each other by HTTP: rules, the servers' list, and all of it to one that
/// starts.
namespace reedramp::router_program {

using common::log_level;
using common::log_part;

namespace {

/// Entries find each other by what peers say; their records in the store join groups that have lost
/// sight of each other, and few readers see to that.
constexpr milliseconds entries_period{30000};
/// Who is no reader looks as often as this whether it has become one.
constexpr milliseconds entries_check{5000};
/// A neighbour's answers take some ms, some tens where its processor's share is used up. Past this
/// the store is asked, which answers in 4 ms.
constexpr milliseconds neighbours_time{150};

/// An entry that starts from the store waits for the requests that end servers as it waits for
/// rules and servers; for this long, since an answer may be lost, and callers wait.
constexpr milliseconds barred_time{300};

/// Entries that one helps to start in a second. All of hundreds that start at once look for the
/// same three: at 66 KB for the list of 620 servers, these many take less than a second of a link
/// of 20 Mbit/s, and the others read the store at once in place of waiting behind them.
constexpr std::size_t most_helped = 32;

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_not_ready = 503;

} // namespace

auto router_process::parts_of_process::give_list(std::string_view target) const -> http::response
{
    std::optional<std::uint64_t> since;
    if (target.starts_with(list_since)) {
        target.remove_prefix(list_since.size());
        std::uint64_t position = 0;
        const auto read = std::from_chars(target.data(), target.data() + target.size(), position);
        since = read.ec == std::errc{} ? std::optional{position} : std::nullopt;
    }
    auto body = this->courier->answer(since);
    const auto status = body.empty() ? status_not_ready : status_ok;
    return {status, {}, std::move(body)};
}

auto router_process::parts_of_process::may_help_another() -> bool
{
    const auto now = daemon::boot_time();
    if (now - this->helped_since >= std::chrono::seconds{1}) {
        this->helped_since = now;
        this->helped = 0;
    }
    if (this->helped >= most_helped) {
        return false;
    }
    this->helped += 1;
    return true;
}

auto router_process::parts_of_process::help_start(std::string_view target) -> http::response
{
    target.remove_prefix(start_path.size());
    const auto where = http::parse_endpoint(target);
    if (!this->core->is_ready() || !where || !this->may_help_another()) {
        return {status_not_ready, {}, ""};
    }
    this->crashes->tell_barred(*where);
    const auto* has_record = this->peers->is_recorded(*where) ? "yes" : "no";
    return {
        status_ok, {{std::string{recorded_header}, has_record}}, this->peers->words_for_start()};
}

auto router_process::parts_of_process::ask_neighbours() -> void
{
    for (const auto& neighbour : this->settings.first_peers) {
        const http::endpoint where{neighbour.address, this->own_address().port};
        if (where == this->own_address()) {
            continue;
        }
        http::request ask;
        ask.method = "GET";
        ask.target = std::string{start_path} + http::to_string(this->own_address());
        this->neighbours_asked += 1;
        this->to_store.quick->send(where, std::move(ask), {.on_done = [this](const auto& answer) {
                                       this->on_neighbour(answer);
                                   }});
    }
    this->start_when_helped(daemon::boot_time() + neighbours_time);
}

auto router_process::parts_of_process::on_neighbour(const common::result<http::response>& answer)
    -> void
{
    this->neighbours_asked -= 1;
    if (this->has_started || !answer || answer->status != status_ok) {
        return;
    }
    this->is_helped = true;
    if (http::find_header(answer->headers, recorded_header) == "yes") {
        this->is_recorded = true;
    }
    // It names rules and a list that this entry lacks, which are asked for at once.
    this->peers->hear(answer->body);
}

auto router_process::parts_of_process::start_when_helped(common::time_point latest) -> void
{
    const auto now = daemon::boot_time();
    const bool is_alone = this->neighbours_asked == 0 && !this->is_helped;
    if (this->core->is_ready() || is_alone || now >= latest) {
        this->has_started = true;
        common::log(
            log_part::entry,
            log_level::info,
            std::string{"starting from="} + (this->core->is_ready() ? "a neighbour" : "the store"));
        this->start_followers();
        return;
    }
    this->timers->add(now + start_check, [this, latest] { this->start_when_helped(latest); });
}

auto router_process::parts_of_process::ask_for_list(
    const http::endpoint& of,
    std::optional<std::uint64_t> since,
    router::answer_hook<std::string> done) -> void
{
    http::request ask;
    ask.method = "GET";
    ask.target = since ? std::string{list_since} + std::to_string(*since) : std::string{list_path};
    this->to_store.quick->send(
        of,
        std::move(ask),
        {.on_done = [done = std::move(done)](const common::result<http::response>& answer) {
            if (!answer || answer->status != status_ok) {
                done(common::failure(common::result_code::not_ready));
                return;
            }
            done(answer->body);
        }});
}

auto router_process::parts_of_process::open_list() -> void
{
    this->list = std::make_shared<router::servers_list>(this->core, this->settings.follower);
    router::list_broadcaster_hooks hooks;
    hooks.send = [this](const http::endpoint& to, const std::string& bytes) {
        this->send_datagram(to, bytes);
    };
    hooks.ask = [this](const auto& of, auto since, auto done) {
        this->ask_for_list(of, since, std::move(done));
    };
    hooks.audience = [this] {
        return this->peers->audience();
    };
    hooks.on_heard = [this](const router::list_update& news, const http::endpoint& where) {
        this->peers->note_news(news, where);
    };
    this->courier = std::make_shared<router::list_broadcaster>(
        this->core, this->list, this->settings.host, this->own_address(), std::move(hooks));
}

auto router_process::parts_of_process::fetch_rules(const http::endpoint& from) -> void
{
    if (std::exchange(this->is_fetching_rules, true)) {
        return;
    }
    http::request ask;
    ask.method = "GET";
    ask.target = rules_path;
    this->to_store.quick->send(
        from, std::move(ask), {.on_done = [this](const common::result<http::response>& answer) {
            this->is_fetching_rules = false;
            if (!answer || answer->status != status_ok) {
                return; // The peer's next message asks again.
            }
            if (auto found = this->store.decode_rules(answer->body)) {
                this->core->adopt(std::move(*found));
                this->peers->spread_news();
            }
        }});
}

auto router_process::parts_of_process::start_followers() -> void
{
    if (!this->core->is_ready()) {
        this->await_barred();
        this->find_entries();
    }
    this->rules->start();
    this->servers->start();
    if (!this->core->is_ready()) {
        return;
    }
    // The neighbour has named all entries. Others find this one by its record, if all that they
    // know to look for first are gone.
    if (!this->is_recorded) {
        this->record_entry();
    }
    this->find_entries_later(entries_check);
}

auto router_process::parts_of_process::await_barred() -> void
{
    this->core->await_barred(true);
    this->timers->add(
        daemon::boot_time() + barred_time, [this] { this->core->await_barred(false); });
}

auto router_process::parts_of_process::on_new_era() -> void
{
    this->may_lack_records = true;
    // As readers read for the others, so does the first of them write for them: of hundreds of
    // entries each would otherwise read all records to find its own.
    if (this->peers != nullptr && this->peers->rank() == 0) {
        this->look_for_lost_records();
    }
}

auto router_process::parts_of_process::look_for_lost_records() -> void
{
    // Beside the readings in turn, which go on: begun by `find_entries`, another row of them would
    // be added at each new era.
    this->read_entries([this](bool is_read) {
        if (!is_read) {
            this->timers->add(
                daemon::boot_time() + entries_check, [this] { this->look_for_lost_records(); });
        }
    });
}

auto router_process::parts_of_process::record_again(const std::vector<router::entry_record>& known)
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
        "entries recorded again count=" + std::to_string(lacking));
}

auto router_process::parts_of_process::record_entry() -> void
{
    this->store.write_entry(
        {this->settings.host, http::to_string(this->own_address())},
        [this](const auto& written) { this->is_recorded = written.has_value(); });
}

auto router_process::parts_of_process::read_entries(std::function<auto(bool is_read)->void> done)
    -> void
{
    this->store.read_entries(
        [this, done = std::move(done)](
            const common::result<router::stream_reading<router::entry_document>>& reading) {
            if (reading) {
                this->meet(*reading);
            }
            this->core->await_barred(false);
            done(reading.has_value());
        });
}

auto router_process::parts_of_process::find_entries() -> void
{
    this->read_entries([this](bool is_read) {
        this->find_entries_later(is_read ? entries_period : entries_check);
    });
}

auto router_process::parts_of_process::find_entries_later(milliseconds wait) -> void
{
    this->timers->add(daemon::boot_time() + wait, [this] {
        if (this->is_recorded && !this->peers->turn().is_reader) {
            this->find_entries_later(entries_check);
            return;
        }
        this->find_entries();
    });
}

auto router_process::parts_of_process::meet(
    const router::stream_reading<router::entry_document>& entries) -> void
{
    this->core->counters.count_skipped("entries", entries.skipped);
    const router::entry_record self{this->settings.host, http::to_string(this->own_address())};
    std::vector<router::barred_record> ending;
    std::vector<router::entry_record> known;
    for (const auto& document : entries.documents) {
        if (const auto* one = std::get_if<router::barred_record>(&document)) {
            ending.push_back(*one);
            continue;
        }
        const auto& entry = std::get<router::entry_record>(document);
        known.push_back(entry);
        if (const auto where = http::parse_endpoint(entry.address)) {
            this->peers->add(*where);
            this->peers->note_recorded(*where);
        }
    }
    this->barred->take(ending);
    if (std::exchange(this->may_lack_records, false) && this->peers->rank() == 0) {
        this->record_again(known);
    }
    // A process that starts again on its host finds its record there.
    if (std::ranges::find(known, self) != known.end()) {
        this->is_recorded = true;
        return;
    }
    this->record_entry();
}

} // namespace reedramp::router_program
