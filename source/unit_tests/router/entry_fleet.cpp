#include "entry_fleet.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::router::testing {

namespace {

constexpr milliseconds step_time{10};
constexpr milliseconds report_period{100};
/// Time after which a client gives up a read, one that does not wait and one that does.
constexpr milliseconds quick_silence{1500};
constexpr milliseconds waiting_silence{11000};
/// Transit time of a datagram, and round trip of a call to the store or a neighbour.
constexpr milliseconds trip{2};
constexpr milliseconds call_time{6};

} // namespace

entry_fleet::entry_fleet(const fleet_options& initial_options)
    : options(initial_options), random(initial_options.seed)
{
    for (const auto* server : {"a", "b", "c", "d"}) {
        this->write(server);
    }
    for (std::size_t i = 0; i < this->options.entries; ++i) {
        this->entries.push_back(std::make_unique<entry>());
        this->make_entry(i);
    }
    for (auto& one : this->entries) {
        for (auto& other : this->entries) {
            if (!this->options.knows_first_only || other == this->entries.front()) {
                one->peers->add(other->where);
            }
        }
        one->follower->start();
        one->rules->start();
        one->rules_check->start();
    }
}

auto entry_fleet::make_entry(std::size_t number) -> void
{
    auto& one = *this->entries[number];
    one.where = {"10.0." + std::to_string(number / 200) + "." + std::to_string(number % 200), 7000};
    one.data_centre = number % this->options.data_centres;
    this->numbers[one.where] = number;
    one.own.now = this->now;
    one.own.core->change_retries(this->options.retries);
    one.own.core->hooks.random = [this] {
        return this->random();
    };
    one.own.core->options.data_centre =
        common::data_centre_id{"dc-" + std::to_string(one.data_centre)};
    if (this->options.shares_updates) {
        one.own.core->options.freshness.forward_wait = milliseconds{300};
    }
    one.own.core->options.freshness.reader = number + 1;
    one.own.core->freshness = routing::list_freshness{one.own.core->options.freshness};
    one.own.core->options.rules_freshness.reader = number + 1;
    one.own.core->rules_freshness = routing::list_freshness{one.own.core->options.rules_freshness};
    const common::host_id host{"host-" + std::to_string(1000 + number)};
    one.peers = std::make_unique<router_program::peer_group>(
        one.own.core,
        host,
        one.where,
        report_period,
        [this, number](const http::endpoint& to, std::string bytes) {
            this->send(number, to, std::move(bytes));
        },
        [](const http::endpoint&) {},
        [this, &one](const http::endpoint& from) {
            if (this->options.shares_updates) {
                one.list_updates->fetch_changes_from(from);
            }
        });
    this->set_send_slots(one);
    one.list = std::make_shared<servers_list>(one.own.core, this->follower_settings());
    list_broadcaster_hooks hooks;
    hooks.send = [this, number](const http::endpoint& to, const std::string& bytes) {
        this->send(number, to, bytes);
    };
    hooks.query = [this, number](const auto& of, auto since, auto done) {
        this->ask(number, of, since, std::move(done));
    };
    hooks.recipients = [&one] {
        return one.peers->recipients();
    };
    hooks.on_update = [&one](const list_update& update, const http::endpoint& from) {
        one.peers->note_list_update(update, from);
    };
    one.list_updates = std::make_shared<list_broadcaster>(
        one.own.core, one.list, host, one.where, std::move(hooks));
    one.crash_updates = std::make_shared<crash_broadcaster>(
        one.own.core,
        host,
        crash_broadcaster_hooks{
            .send =
                [this, number](const http::endpoint& to, const std::string& bytes) {
                    this->send(number, to, bytes);
                },
            .live_peers = [&one] { return one.peers->live_peers(); },
            .is_reachable =
                [this, &one](const routing::registration& server, auto done) {
                    const bool is_alive = !this->listens || this->listens(server.id);
                    this->answers.emplace(this->now + call_time, [&one, is_alive, done] {
                        if (!one.is_dead) {
                            done(is_alive);
                        }
                    });
                }});
    this->make_rules(one);
    one.follower = std::make_shared<servers_follower>(
        one.own.core,
        this->store_of(one),
        follower_options{},
        one.list,
        this->options.shares_updates ? servers_follower_hooks{
                                           .rank = [&one] { return one.peers->rank_as_reader(); },
                                           .on_read =
                                               [&one](const list_part& read) {
                                                   one.list_updates->publish(read);
                                               }}
                                     : servers_follower_hooks{.rank = [&one] {
                                           return reader_rank{one.peers->rank(), true};
                                       }});
}

auto entry_fleet::set_send_slots(entry& one) -> void
{
    // Maximum difference between the clocks of hosts.
    constexpr std::uint64_t clocks_differ_ms = 100;
    const auto ahead = milliseconds{this->random() % clocks_differ_ms};
    routing::send_slot_hooks hooks;
    hooks.rank = [&one] {
        return one.peers->rank_by_address();
    };
    hooks.unix_ms = [&one, ahead] {
        const auto time = one.own.now.time_since_epoch() + ahead;
        return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(time).count());
    };
    one.own.core->hooks.rank = hooks.rank;
    one.own.core->limiter =
        routing::server_limiter{one.own.core->options.limiter, std::move(hooks)};
}

auto entry_fleet::make_rules(entry& one) -> void
{
    shared_store store;
    store.read_rollout_states = [](const auto& done) {
        done(stream_reading<routing::rollout_status>{});
    };
    store.read_rules = [this, &one](auto from, milliseconds wait, auto done) {
        this->rules_calls += 1;
        this->rules_checks += wait.count() == 0 ? 1 : 0;
        this->read_rules(
            {&one, from.value_or(stream_position{}), this->now + wait, std::move(done)}, !from);
    };
    one.rules = std::make_shared<rules_follower>(
        one.own.core,
        std::move(store),
        follower_options{},
        [&one] { return one.peers->is_orders_reader(); },
        [this, &one] {
            one.peers->broadcast_urgent();
            if (this->options.shares_updates) {
                one.list_updates->publish_rules_reading();
            }
        });
    one.rules_check = std::make_shared<rules_checker>(
        one.own.core, one.rules, [&one] { return one.peers->rank_as_reader(); });
}

auto entry_fleet::give_up(waiting_reader reader) -> void
{
    const auto silence = reader.until > this->now ? waiting_silence : quick_silence;
    this->answers.emplace(this->now + silence, [by = reader.by, done = std::move(reader.done)] {
        if (!by->is_dead) {
            done(common::failure(common::result_code::log_unavailable));
        }
    });
}

auto entry_fleet::lose_waiting_reads() -> void
{
    for (auto& one : std::exchange(this->waiting, {})) {
        this->give_up(std::move(one));
    }
}

auto entry_fleet::oldest_rules_knowledge() const -> milliseconds
{
    common::duration oldest{0};
    for (const auto& one : this->entries) {
        if (!one->is_dead && !one->is_frozen) {
            oldest =
                std::max(oldest, this->now - one->own.core->rules_freshness.known_current_at());
        }
    }
    return std::chrono::duration_cast<milliseconds>(oldest);
}

auto entry_fleet::orders_from(const waiting_reader& reader, bool is_first) const
    -> common::result<stream_reading<rules_document>>
{
    const auto end = stream_position::at(this->orders_era, this->orders.size());
    if (reader.by->is_refused_by_store) {
        return common::failure(common::result_code::log_unavailable);
    }
    stream_reading<rules_document> reading{{}, end, is_first};
    if (is_first) {
        routing::evacuation_registry newest;
        newest.apply_orders(this->orders, end);
        for (const auto& data_centre : newest.evacuated()) {
            reading.documents.emplace_back(routing::evacuation_order{data_centre, true, {}});
        }
        return reading;
    }
    const bool is_gone = reader.from.era() != this->orders_era || reader.from > end ||
                         reader.from.offset() < this->orders_trimmed_to;
    if (is_gone) {
        return common::failure(common::result_code::log_trimmed);
    }
    for (auto i = reader.from.offset(); i < end.offset(); ++i) {
        reading.documents.emplace_back(this->orders[i]);
    }
    return reading;
}

auto entry_fleet::read_rules(waiting_reader reader, bool is_first) -> void
{
    if (this->is_operators_stream_silent) {
        this->give_up(std::move(reader));
        return;
    }
    auto reading = this->orders_from(reader, is_first);
    const bool waits =
        reading && !is_first && reading->documents.empty() && this->now < reader.until;
    if (waits) {
        this->waiting.push_back(std::move(reader));
        return;
    }
    this->answers.emplace(
        this->now + call_time,
        [by = reader.by, reading = std::move(reading), done = std::move(reader.done)] {
            if (!by->is_dead) {
                done(reading);
            }
        });
}

auto entry_fleet::answer_waiting() -> void
{
    for (auto& one : std::exchange(this->waiting, {})) {
        if (!one.by->is_dead) {
            this->read_rules(std::move(one), false);
        }
    }
}

auto entry_fleet::evacuate(const std::string& data_centre) -> void
{
    this->orders.push_back(
        {common::data_centre_id{data_centre},
         true,
         stream_position::at(this->orders_era, this->orders.size())});
}

auto entry_fleet::revoke_evacuation(const std::string& data_centre) -> void
{
    this->evacuate(data_centre);
    this->orders.back().is_evacuated = false;
}

auto entry_fleet::restore_older_orders(std::size_t records) -> void
{
    this->orders_era += 1;
    this->orders.resize(this->orders.size() - records);
    for (std::size_t i = 0; i < this->orders.size(); ++i) {
        this->orders[i].at = stream_position::at(this->orders_era, i);
    }
}

auto entry_fleet::live_count() const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(
        this->entries, [](const auto& one) { return !one->is_dead && !one->is_frozen; }));
}

auto entry_fleet::count_evacuated_at(const std::string& data_centre) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->entries, [&data_centre](const auto& one) {
            return !one->is_dead && !one->is_frozen &&
                   one->own.core->evacuations.evacuated().contains(
                       common::data_centre_id{data_centre});
        }));
}

auto entry_fleet::time_until_evacuated(const std::string& data_centre, bool all, milliseconds limit)
    -> milliseconds
{
    const auto began = this->now;
    while (this->count_evacuated_at(data_centre) != (all ? this->live_count() : 0) &&
           this->now - began < limit) {
        this->step();
    }
    return std::chrono::duration_cast<milliseconds>(this->now - began);
}

auto entry_fleet::restart(std::size_t number) -> void
{
    // Pending responses and requests of the former process refer to it, so it is kept, marked as
    // dead.
    this->entries[number]->is_dead = true;
    this->ended.push_back(std::exchange(this->entries[number], std::make_unique<entry>()));
    this->make_entry(number);
    auto& one = *this->entries[number];
    for (const auto& other : this->entries) {
        one.peers->add(other->where);
    }
    // Does what a neighbour does for a starting process.
    const auto helper = number == 0 ? 1 : 0;
    if (this->entries.size() > 1) {
        this->entries[helper]->crash_updates->send_barred(one.where);
        one.peers->receive(this->entries[helper]->peers->make_start_report());
    }
    one.follower->start();
    one.rules->start();
    one.rules_check->start();
}

auto entry_fleet::store_of(entry& of) -> shared_store
{
    shared_store store;
    store.read_servers = [this, &of](auto from, auto done) {
        this->calls += 1;
        auto found = this->read(of, from);
        this->answers.emplace(
            this->now + call_time, [&of, found = std::move(found), done = std::move(done)] {
                if (!of.is_dead) {
                    done(found);
                }
            });
    };
    return store;
}

auto entry_fleet::read(entry& by, std::optional<stream_position> from)
    -> common::result<stream_reading<routing::registration_change>>
{
    if (by.is_refused_by_store) {
        return common::failure(common::result_code::log_unavailable);
    }
    const auto end = stream_position::at(this->era, this->log.size());
    if (from) {
        const bool is_other = from->era() != this->era;
        if (is_other || from->offset() > end.offset() || from->offset() < this->trimmed_to) {
            return common::failure(common::result_code::log_trimmed);
        }
        const auto first = this->log.begin() + static_cast<std::ptrdiff_t>(from->offset());
        return stream_reading<routing::registration_change>{{first, this->log.end()}, end, false};
    }
    std::map<common::server_id, routing::registration_change> newest;
    for (const auto& change : this->log) {
        newest.insert_or_assign(change.id, change);
    }
    stream_reading<routing::registration_change> whole{{}, end, true};
    for (auto& [id, change] : newest) {
        if (change.now) {
            whole.documents.push_back(change);
        }
    }
    return whole;
}

auto entry_fleet::follower_settings() const -> follower_options
{
    follower_options settings;
    settings.registration_period = this->options.registration_period;
    return settings;
}

auto entry_fleet::take_sequence(const std::string& server, std::uint64_t started_at)
    -> std::uint64_t
{
    return ++this->sequences[{server, started_at}];
}

auto entry_fleet::write_late(
    const std::string& server, std::uint64_t sequence, std::uint64_t started_at) -> void
{
    auto& newest = this->sequences[{server, started_at}];
    const auto kept = std::exchange(newest, sequence - 1);
    this->write(server, false, started_at);
    newest = std::max(kept, sequence);
}

auto entry_fleet::write(const std::string& server, bool is_leaving, std::uint64_t started_at)
    -> void
{
    routing::registration one;
    one.id = common::server_id{server};
    one.service = common::service_name{"engines"};
    one.address = "10.9.0.1:80";
    one.data_centre = common::data_centre_id{"dc-0"};
    one.version = common::version_id{"v1"};
    one.is_leaving = is_leaving;
    one.started_at = routing::start_time{started_at};
    one.sequence = this->take_sequence(server, started_at);
    this->log.push_back({one.id, one});
}

auto entry_fleet::restore_older_copy(std::size_t records) -> void
{
    this->era += 1;
    this->log.resize(this->log.size() - records);
}

auto entry_fleet::remove(const std::string& server) -> void
{
    this->log.push_back({common::server_id{server}, std::nullopt});
}

auto entry_fleet::passes(std::size_t from, std::size_t to) const -> bool
{
    const auto& sender = *this->entries[from];
    const auto& receiver = *this->entries[to];
    const bool is_cut_off = this->is_cut && this->is_cut(sender.data_centre, receiver.data_centre);
    return !is_cut_off && !receiver.is_dead;
}

auto entry_fleet::number_of(const http::endpoint& where) const -> std::optional<std::size_t>
{
    const auto found = this->numbers.find(where);
    return found == this->numbers.end() ? std::nullopt : std::optional{found->second};
}

auto entry_fleet::send(std::size_t from, const http::endpoint& to, std::string bytes) -> void
{
    if (this->records_sent) {
        this->sent.emplace_back(to, bytes);
    }
    const auto number = this->number_of(to);
    const bool is_lost =
        std::uniform_real_distribution<double>{}(this->random) < this->options.loss;
    if (number && !is_lost && this->passes(from, *number)) {
        this->in_transit.emplace(this->now + trip, datagram{from, *number, std::move(bytes)});
    }
}

auto entry_fleet::ask(
    std::size_t from,
    const http::endpoint& of,
    std::optional<std::uint64_t> since,
    answer_hook<std::string> done) -> void
{
    const auto number = this->number_of(of);
    const bool is_reached = number && this->passes(from, *number) && this->passes(*number, from) &&
                            !this->entries[*number]->is_frozen;
    auto body =
        is_reached ? this->entries[*number]->list_updates->make_response(since) : std::string{};
    this->answers.emplace(this->now + call_time, [body = std::move(body), done = std::move(done)] {
        if (body.empty()) {
            done(common::failure(common::result_code::not_ready));
        }
        else {
            done(body);
        }
    });
}

auto entry_fleet::deliver(std::size_t to, const std::string& bytes) -> void
{
    auto& one = *this->entries[to];
    if (is_list_update(bytes)) {
        one.list_updates->receive(bytes);
    }
    else if (is_crash_update(bytes)) {
        one.crash_updates->receive(bytes);
    }
    else {
        one.peers->receive(bytes);
    }
}

auto entry_fleet::deliver_due() -> void
{
    while (!this->answers.empty() && this->answers.begin()->first <= this->now) {
        const auto answer = std::move(this->answers.begin()->second);
        this->answers.erase(this->answers.begin());
        answer();
    }
    while (!this->in_transit.empty() && this->in_transit.begin()->first <= this->now) {
        const auto next = std::move(this->in_transit.begin()->second);
        this->in_transit.erase(this->in_transit.begin());
        auto& to = *this->entries[next.to];
        if (to.is_frozen) {
            // Its socket buffers datagrams until it is running again.
            this->in_transit.emplace(this->now + step_time, next);
            continue;
        }
        if (!to.is_dead) {
            this->deliver(next.to, next.bytes);
        }
    }
}

auto entry_fleet::step() -> void
{
    this->now += step_time;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        auto& one = *this->entries[i];
        if (one.is_dead || one.is_frozen) {
            continue;
        }
        // An entry that was frozen catches up with the time that has passed.
        one.own.advance(std::chrono::duration_cast<milliseconds>(this->now - one.own.now));
        const auto since_start =
            std::chrono::duration_cast<milliseconds>(this->now.time_since_epoch()).count();
        const auto phase = static_cast<std::int64_t>(i % 10) * step_time.count();
        if ((since_start + phase) % report_period.count() == 0) {
            one.crash_updates->tick();
            one.peers->send_reports();
        }
    }
    this->answer_waiting();
    this->deliver_due();
}

auto entry_fleet::run(milliseconds time) -> void
{
    for (const auto until = this->now + time; this->now < until;) {
        this->step();
    }
}

auto entry_fleet::using_server(const std::string& server) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(this->entries, [&server](const auto& one) {
            return !one->is_dead && !one->is_frozen &&
                   one->own.core->servers.find(common::server_id{server}) != nullptr;
        }));
}

auto entry_fleet::time_until_unused(const std::string& server, milliseconds limit) -> milliseconds
{
    const auto began = this->now;
    while (this->using_server(server) > 0 && this->now - began < limit) {
        this->step();
    }
    return std::chrono::duration_cast<milliseconds>(this->now - began);
}

auto entry_fleet::readers_of(std::size_t data_centre) const -> std::vector<std::size_t>
{
    std::vector<std::size_t> found;
    for (std::size_t i = 0; i < this->entries.size(); ++i) {
        const auto& one = *this->entries[i];
        if (one.data_centre == data_centre && !one.is_dead &&
            one.peers->rank_as_reader().is_reader) {
            found.push_back(i);
        }
    }
    return found;
}

} // namespace reedramp::router::testing
