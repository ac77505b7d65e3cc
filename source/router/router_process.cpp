#include "router_process.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>

#include "common/log.hpp"
#include "daemon/clock.hpp"
#include "daemon/line_log.hpp"
#include "daemon/signals.hpp"
#include "daemon/timer_queue.hpp"
#include "http/client.hpp"
#include "http/server.hpp"
#include "peer_group.hpp"
#include "router/counted_store.hpp"
#include "router/list_courier.hpp"
#include "router/rollout_writer.hpp"
#include "router/servers_follower.hpp"
#include "state_page.hpp"

namespace reedramp::router_program {

namespace asio = boost::asio;
using common::log_level;
using common::log_part;
using std::chrono::milliseconds;

namespace {

/// Path under which an entry gives its rules to peers.
constexpr std::string_view rules_path = "/rules";
/// Path under which it gives the servers' list, whole or behind a position.
constexpr std::string_view list_path = "/servers";
constexpr std::string_view list_since = "/servers?since=";
/// What a neighbour that starts needs besides: all peers, roll-outs, and whether the store has its
/// record, which a header of that answer says.
constexpr std::string_view start_path = "/start?address=";
constexpr std::string_view recorded_header = "Reedramp-Recorded";
/// For operators, on the same address.
constexpr std::string_view metrics_path = "/metrics";
constexpr std::string_view state_path = "/state";
/// A server's host that is gone shows after this; two thirds of the shortest time limit.
constexpr milliseconds dead_peer_time{2000};
/// A connection to a server in the same region opens within a few ms; a lost first packet is sent
/// again after a second, and another server is faster.
constexpr milliseconds server_connect_time{300};
constexpr std::size_t idle_connections_per_server = 12;
constexpr milliseconds server_idle_time{4000};
/// Longer than any pause that routes allow; streams are watched by their own limits.
constexpr milliseconds server_silence{60000};
/// A reading that waits at the store ends well within this.
constexpr milliseconds waiting_silence{11000};
/// The store answers within some ms; under trouble within tens of times that.
constexpr milliseconds quick_silence{1500};
constexpr milliseconds store_idle_time{4000};
constexpr milliseconds store_connect_time{1000};
/// From the end of the grace: the process ends itself before it is killed.
constexpr milliseconds grace_rest{400};
/// Of that rest: what the last answers need to leave the host.
constexpr milliseconds answers_leave{150};
constexpr milliseconds shutdown_check{50};
/// Entries find each other by what peers say; their records in the store join groups that have lost
/// sight of each other, and few readers see to that.
constexpr milliseconds entries_period{30000};
/// Who is no reader looks as often as this whether it has become one.
constexpr milliseconds entries_check{5000};
/// A process that starts has its rules and servers some tens of ms later, and until then callers'
/// connections wait in the system's queue: all callers of a process that was killed come back in
/// that time, most of them with their last try. Past this the store is away: requests are read, and
/// held for `router_options::start_hold` more. Below the second after which callers leave what is
/// not read.
constexpr milliseconds start_patience{600};
constexpr milliseconds start_check{5};
/// A neighbour's answers take some ms, some tens where its processor's share is used up. Past this
/// the store is asked, which answers in 4 ms.
constexpr milliseconds neighbours_time{150};
/// A message to a peer has some hundred bytes; a roll-out adds 100 for each of its routes.
constexpr std::size_t largest_datagram = 16384;

auto server_client_options() -> http::client_options
{
    http::client_options options;
    options.connect_timeout = server_connect_time;
    options.idle_timeout = server_silence;
    options.idle_connections = idle_connections_per_server;
    options.keep_idle_time = server_idle_time;
    options.dead_peer_time = dead_peer_time;
    return options;
}

auto store_client_options(milliseconds silence) -> http::client_options
{
    http::client_options options;
    options.connect_timeout = store_connect_time;
    options.idle_timeout = silence;
    options.keep_idle_time = store_idle_time;
    options.dead_peer_time = dead_peer_time;
    return options;
}

} // namespace

struct router_process::parts_of_process {
    parts_of_process(router_settings wanted, platform_parts parts_of_platform)
        : settings(std::move(wanted)), platform(std::move(parts_of_platform)),
          timers(std::make_shared<daemon::timer_queue>(this->context, daemon::boot_time)),
          datagrams(this->context), to_store{
                                        http::client::create(
                                            this->context, store_client_options(waiting_silence)),
                                        http::client::create(
                                            this->context, store_client_options(quick_silence))}
    {
        this->settings.router.names = this->platform.names;
        router::router_hooks hooks;
        hooks.clock = daemon::boot_time;
        hooks.random = daemon::random_bits;
        hooks.unix_ms = [] {
            const auto since_1970 = std::chrono::system_clock::now().time_since_epoch();
            return static_cast<std::uint64_t>(
                std::chrono::duration_cast<milliseconds>(since_1970).count());
        };
        hooks.on_rules = [this](const routing::configuration& adopted) {
            const auto& limits = adopted.limits;
            // A caller may use a connection again up to its idle limit; the second covers the way.
            this->for_callers->change_limits(
                limits.header_bytes, limits.body_bytes, limits.idle + std::chrono::seconds{1});
        };
        hooks.served_elsewhere_at = [this](common::time_point now) {
            return this->peers->served_elsewhere_at(now);
        };
        hooks.timer =
            [queue = this->timers](common::time_point when, std::function<auto()->void> action) {
                queue->add(when, std::move(action));
            };
        this->core = std::make_shared<router::router_core>(
            std::move(hooks),
            this->settings.router,
            http::client::create(this->context, server_client_options()));
        this->store = router::counted(
            this->platform.open_store(this->to_store, this->settings.store), this->core->counters);
    }

    ~parts_of_process() { this->timers->clear(); }

    parts_of_process(const parts_of_process&) = delete;
    parts_of_process(parts_of_process&&) = delete;
    auto operator=(const parts_of_process&) -> parts_of_process& = delete;
    auto operator=(parts_of_process&&) -> parts_of_process& = delete;

    auto listen() -> common::result<void>;
    auto accept_when_ready(common::time_point latest) -> void;
    auto answer_peer(const http::request& asked) const -> http::response;
    auto open_peers() -> void;
    [[nodiscard]] auto own_address() const -> http::endpoint;
    auto send_datagram(const http::endpoint& to, const std::string& bytes) -> void;
    auto follow_store() -> void;
    auto answer_ready(const http::request& asked, http::responder& out) const -> void;
    auto receive() -> void;
    auto every(milliseconds period, std::function<auto()->void> action) -> void;
    auto fetch_rules(const http::endpoint& from) -> void;
    auto ask_for_list(
        const http::endpoint& of,
        std::optional<std::uint64_t> since,
        router::answer_hook<std::string> done) -> void;
    [[nodiscard]] auto give_list(std::string_view target) const -> http::response;
    auto open_list() -> void;
    [[nodiscard]] auto help_start(std::string_view target) const -> http::response;
    auto ask_neighbours() -> void;
    auto on_neighbour(const common::result<http::response>& answer) -> void;
    auto start_when_helped(common::time_point latest) -> void;
    auto start_followers() -> void;
    auto find_entries() -> void;
    auto find_entries_later(milliseconds wait) -> void;
    auto record_entry() -> void;
    auto meet(const router::stream_reading<router::entry_record>& entries) -> void;
    auto shut_down() -> void;
    auto check_shutdown(common::time_point balancer_done, common::time_point last) -> void;

    router_settings settings;
    platform_parts platform;
    asio::io_context context{1};
    std::shared_ptr<daemon::timer_queue> timers;
    asio::ip::udp::socket datagrams;
    std::array<char, largest_datagram> datagram{};
    store_clients to_store;
    std::shared_ptr<router::router_core> core;
    router::shared_store store;
    std::unique_ptr<peer_group> peers;
    std::shared_ptr<router::servers_list> list;
    std::shared_ptr<router::list_courier> courier;
    std::shared_ptr<router::rules_follower> rules;
    std::shared_ptr<router::servers_follower> servers;
    std::shared_ptr<router::rollout_writer> rollouts;
    std::unique_ptr<http::server> for_callers;
    std::unique_ptr<http::server> for_balancer;
    std::unique_ptr<http::server> for_peers;
    bool is_leaving = false;
    bool has_ended_requests = false;
    bool is_fetching_rules = false;
    /// The store has this entry's record.
    bool is_recorded = false;
    /// Neighbours that have not answered yet, at the start.
    std::size_t neighbours_asked = 0;
    /// One of them has told what it knows.
    bool is_helped = false;
    /// The store is followed.
    bool has_started = false;
};

auto router_process::parts_of_process::listen() -> common::result<void>
{
    const auto open = [this](
                          const http::endpoint& where,
                          http::request_handler handler,
                          bool accepts_at_once =
                              true) -> common::result<std::unique_ptr<http::server>> {
        http::server_options options;
        options.listen = where;
        options.accepts_at_once = accepts_at_once;
        return http::server::open({&this->context}, options, std::move(handler));
    };
    auto callers = open(
        this->settings.callers,
        [this](http::request asked, std::shared_ptr<http::responder> out) {
            this->core->handle(std::move(asked), std::move(out));
        },
        false);
    if (!callers) {
        return tl::unexpected(callers.error());
    }
    this->for_callers = std::move(*callers);
    auto balancer = open(
        this->settings.ready,
        [this](const http::request& asked, const std::shared_ptr<http::responder>& out) {
            this->answer_ready(asked, *out);
        });
    if (!balancer) {
        return tl::unexpected(balancer.error());
    }
    this->for_balancer = std::move(*balancer);
    auto others = open(
        this->settings.peers,
        [this](const http::request& asked, const std::shared_ptr<http::responder>& out) {
            out->send(this->answer_peer(asked));
        });
    if (!others) {
        return tl::unexpected(others.error());
    }
    this->for_peers = std::move(*others);
    return {};
}

auto router_process::parts_of_process::accept_when_ready(common::time_point latest) -> void
{
    const auto now = daemon::boot_time();
    if (this->core->is_ready() || now >= latest) {
        this->for_callers->accept();
        return;
    }
    this->timers->add(now + start_check, [this, latest] { this->accept_when_ready(latest); });
}

auto router_process::parts_of_process::answer_peer(const http::request& asked) const
    -> http::response
{
    if (asked.target == rules_path && this->core->rules() != nullptr) {
        return {200, {}, this->core->rules_text()};
    }
    if (asked.target.starts_with(start_path)) {
        return this->help_start(asked.target);
    }
    if (asked.target.starts_with(list_path)) {
        return this->give_list(asked.target);
    }
    if (asked.target == metrics_path) {
        this->core->counters.under_way.set(static_cast<std::int64_t>(this->core->under_way()));
        return {
            200,
            {{"Content-Type", "text/plain; version=0.0.4"}},
            this->core->series.prometheus_text()};
    }
    if (asked.target == state_path) {
        return {
            200,
            {{"Content-Type", "application/json"}},
            state_page(*this->core, *this->peers, *this->courier, this->settings.host)};
    }
    return {404, {}, ""};
}

auto router_process::parts_of_process::give_list(std::string_view target) const -> http::response
{
    constexpr std::uint16_t not_ready = 503;
    std::optional<std::uint64_t> since;
    if (target.starts_with(list_since)) {
        target.remove_prefix(list_since.size());
        std::uint64_t position = 0;
        const auto read = std::from_chars(target.data(), target.data() + target.size(), position);
        since = read.ec == std::errc{} ? std::optional{position} : std::nullopt;
    }
    auto body = this->courier->answer(since);
    const auto status = body.empty() ? not_ready : std::uint16_t{200};
    return {status, {}, std::move(body)};
}

auto router_process::parts_of_process::help_start(std::string_view target) const -> http::response
{
    constexpr std::uint16_t not_ready = 503;
    target.remove_prefix(start_path.size());
    const auto where = http::parse_endpoint(target);
    if (!this->core->is_ready() || !where) {
        return {not_ready, {}, ""};
    }
    const auto* has_record = this->peers->is_recorded(*where) ? "yes" : "no";
    return {200, {{std::string{recorded_header}, has_record}}, this->peers->words_for_start()};
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
}

auto router_process::parts_of_process::on_neighbour(const common::result<http::response>& answer)
    -> void
{
    constexpr std::uint16_t status_ok = 200;
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
            constexpr std::uint16_t status_ok = 200;
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
    router::courier_hooks hooks;
    hooks.send = [this](const http::endpoint& to, const std::string& bytes) {
        this->send_datagram(to, bytes);
    };
    hooks.ask = [this](const auto& of, auto since, auto done) {
        this->ask_for_list(of, since, std::move(done));
    };
    hooks.audience = [this] {
        return this->peers->audience();
    };
    hooks.on_heard = [this](const router::list_news& news, const http::endpoint& where) {
        this->peers->note_news(news, where);
    };
    this->courier = std::make_shared<router::list_courier>(
        this->core, this->list, this->settings.host, this->own_address(), std::move(hooks));
}

auto router_process::parts_of_process::own_address() const -> http::endpoint
{
    return {this->settings.peers.address, this->for_peers->port()};
}

auto router_process::parts_of_process::send_datagram(
    const http::endpoint& to, const std::string& bytes) -> void
{
    boost::system::error_code failed;
    const auto address = asio::ip::make_address(to.address, failed);
    if (!failed) {
        // A lost datagram is made good by the next one.
        this->datagrams.send_to(asio::buffer(bytes), {address, to.port}, 0, failed);
    }
}

auto router_process::parts_of_process::answer_ready(
    const http::request& asked, http::responder& out) const -> void
{
    http::response answer;
    const bool is_question = asked.target == this->platform.ready_path;
    const bool is_ready = this->core->is_ready() && !this->is_leaving;
    answer.status = !is_question ? 404 : (is_ready ? 200 : 503);
    out.send(std::move(answer));
}

auto router_process::parts_of_process::open_peers() -> void
{
    const asio::ip::udp::endpoint own{
        asio::ip::make_address(this->settings.peers.address), this->for_peers->port()};
    boost::system::error_code problem;
    this->datagrams.open(own.protocol(), problem);
    this->datagrams.bind(own, problem);
    this->datagrams.non_blocking(true, problem);
    if (problem) {
        common::log(
            log_part::members, log_level::warning, "no datagrams what=" + problem.message());
    }
    this->peers = std::make_unique<peer_group>(
        this->core,
        this->settings.host,
        this->own_address(),
        this->settings.peer_period,
        [this](const http::endpoint& to, const std::string& bytes) {
            this->send_datagram(to, bytes);
        },
        [this](const http::endpoint& from) { this->fetch_rules(from); },
        [this](const http::endpoint& from) { this->courier->fetch_from(from); });
    this->open_list();
    for (const auto& first : this->settings.first_peers) {
        this->peers->add(first);
    }
    this->receive();
    this->every(this->settings.peer_period, [this] { this->peers->tell(); });
}

auto router_process::parts_of_process::receive() -> void
{
    this->datagrams.async_receive(
        asio::buffer(this->datagram), [this](boost::system::error_code problem, std::size_t size) {
            if (problem == asio::error::operation_aborted) {
                return;
            }
            const std::string_view bytes{this->datagram.data(), problem ? 0 : size};
            if (router::is_list_news(bytes)) {
                this->courier->hear(bytes);
            }
            else if (!problem) {
                this->peers->hear(bytes);
            }
            this->receive();
        });
}

auto router_process::parts_of_process::every(
    milliseconds period, std::function<auto()->void> action) -> void
{
    this->timers->add(daemon::boot_time() + period, [this, period, action]() {
        action();
        this->every(period, action);
    });
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
            constexpr std::uint16_t status_ok = 200;
            if (!answer || answer->status != status_ok) {
                return; // The peer's next message asks again.
            }
            if (auto found = this->store.decode_rules(answer->body)) {
                this->core->adopt(std::move(*found));
                this->peers->spread_news();
            }
        }});
}

auto router_process::parts_of_process::follow_store() -> void
{
    this->rules = std::make_shared<router::rules_follower>(
        this->core,
        this->store,
        this->settings.follower,
        [this] { return this->peers->turn().is_reader; },
        [this] { this->peers->spread_news(); });
    this->servers = std::make_shared<router::servers_follower>(
        this->core,
        this->store,
        this->settings.follower,
        this->list,
        router::servers_follower_hooks{
            .on_regained = [this] { this->rules->refresh(); },
            .turn = [this] { return this->peers->turn(); },
            .on_read =
                [this](const router::list_part& read) {
                    this->courier->publish(read);
                }});
    this->rollouts = std::make_shared<router::rollout_writer>(
        this->core, this->store, [this] { return this->peers->rank(); });
    this->every(this->settings.peer_period, [this] {
        this->rollouts->tick();
        daemon::flush_line_log();
    });
    this->ask_neighbours();
    this->start_when_helped(daemon::boot_time() + neighbours_time);
}

auto router_process::parts_of_process::start_followers() -> void
{
    this->rules->start();
    this->servers->start();
    if (!this->core->is_ready()) {
        this->find_entries();
        return;
    }
    // The neighbour has named all entries. Others find this one by its record, if all that they
    // know to look for first are gone.
    if (!this->is_recorded) {
        this->record_entry();
    }
    this->find_entries_later(entries_check);
}

auto router_process::parts_of_process::record_entry() -> void
{
    this->store.write_entry(
        {this->settings.host, http::to_string(this->own_address())},
        [this](const auto& written) { this->is_recorded = written.has_value(); });
}

auto router_process::parts_of_process::find_entries() -> void
{
    this->store.read_entries(
        [this](const common::result<router::stream_reading<router::entry_record>>& reading) {
            if (reading) {
                this->meet(*reading);
            }
            this->find_entries_later(reading ? entries_period : entries_check);
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
    const router::stream_reading<router::entry_record>& entries) -> void
{
    this->core->counters.count_skipped("entries", entries.skipped);
    const router::entry_record self{this->settings.host, http::to_string(this->own_address())};
    for (const auto& entry : entries.documents) {
        if (const auto where = http::parse_endpoint(entry.address)) {
            this->peers->add(*where);
            this->peers->note_recorded(*where);
        }
    }
    // A process that starts again on its host finds its record there.
    if (std::ranges::find(entries.documents, self) != entries.documents.end()) {
        this->is_recorded = true;
        return;
    }
    this->record_entry();
}

auto router_process::parts_of_process::shut_down() -> void
{
    if (std::exchange(this->is_leaving, true)) {
        return;
    }
    common::log(
        log_part::entry,
        log_level::info,
        "leaving under_way=" + std::to_string(this->core->under_way()));
    this->for_callers->announce_close();
    const auto now = daemon::boot_time();
    const auto balancer_done = now + this->settings.balancer_time;
    const auto last = std::max(balancer_done, now + this->settings.grace - grace_rest);
    this->core->leave(last, balancer_done);
    this->check_shutdown(balancer_done, last);
}

auto router_process::parts_of_process::check_shutdown(
    common::time_point balancer_done, common::time_point last) -> void
{
    const auto now = daemon::boot_time();
    const bool is_idle = this->core->under_way() == 0 && this->for_callers->busy_connections() == 0;
    if (now >= last && !is_idle && !std::exchange(this->has_ended_requests, true)) {
        common::log(
            log_part::entry,
            log_level::info,
            "ending under_way=" + std::to_string(this->core->under_way()));
        this->core->end_all();
    }
    if ((now >= balancer_done && is_idle) || now >= last + answers_leave) {
        common::log(
            log_part::entry,
            log_level::info,
            "stopped cut=" + std::to_string(this->core->under_way()));
        this->context.stop();
        return;
    }
    this->timers->add(now + shutdown_check, [this, balancer_done, last] {
        this->check_shutdown(balancer_done, last);
    });
}

router_process::router_process(router_settings wanted, platform_parts parts_of_platform)
    : parts(std::make_unique<parts_of_process>(std::move(wanted), std::move(parts_of_platform)))
{
}

router_process::~router_process() = default;

auto router_process::start() -> common::result<void>
{
    auto listening = this->parts->listen();
    if (!listening) {
        return listening;
    }
    this->parts->open_peers();
    this->parts->follow_store();
    this->parts->accept_when_ready(daemon::boot_time() + start_patience);
    common::log(
        log_part::entry,
        log_level::info,
        "started host=" + this->parts->settings.host.value() +
            " callers_port=" + std::to_string(this->callers_port()));
    return {};
}

auto router_process::run(reload_hook reload) -> void
{
    const daemon::shutdown_signals signals(
        this->parts->context, [this] { this->parts->shut_down(); });
    const daemon::reload_signal hangup(this->parts->context, [this, &reload] {
        const auto changed = reload();
        if (!changed) {
            common::log(
                log_part::entry, log_level::warning, "settings kept why=" + changed.error().detail);
            return;
        }
        this->apply(*changed);
    });
    this->parts->context.run();
}

auto router_process::apply(const router_settings& changed) -> void
{
    auto& core = *this->parts->core;
    this->parts->settings.grace = changed.grace;
    core.options.models = changed.router.models;
    core.change_retries(changed.router.retries);
    common::log(
        log_part::entry,
        log_level::info,
        "settings reloaded accepted_confidence=" +
            std::to_string(changed.router.models.accepted_confidence) + " retries_per_first_try=" +
            std::to_string(changed.router.retries.retries_per_first_try) +
            " grace_ms=" + std::to_string(changed.grace.count()));
}

auto router_process::shut_down() -> void
{
    asio::post(this->parts->context, [parts_here = this->parts.get()] { parts_here->shut_down(); });
}

auto router_process::callers_port() const -> std::uint16_t
{
    return this->parts->for_callers->port();
}

auto router_process::peers_port() const -> std::uint16_t
{
    return this->parts->for_peers->port();
}

auto router_process::ready_port() const -> std::uint16_t
{
    return this->parts->for_balancer->port();
}

} // namespace reedramp::router_program
