#include "router/router_core.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

#include "common/log.hpp"
#include "http/codec.hpp"
#include "router/log_fields.hpp"
#include "router/relay.hpp"

namespace reedramp::router {

namespace {

auto with_reader(routing::freshness_options options, std::uint64_t reader)
    -> routing::freshness_options
{
    options.reader = reader;
    return options;
}

} // namespace

router_core::router_core(
    router_hooks hooks_to_use,
    router_options options_to_use,
    std::shared_ptr<http::client> servers_client)
    : hooks(std::move(hooks_to_use)), options(std::move(options_to_use)),
      client(std::move(servers_client)),
      freshness(with_reader(this->options.freshness, this->hooks.random())),
      rules_freshness(with_reader(this->options.rules_freshness, this->hooks.random())),
      health(this->options.health), overload_control(this->options.overload),
      limiter(this->options.limiter, {this->hooks.rank, this->hooks.unix_ms}),
      crashes(this->options.crashes), rollouts(this->options.rollout), counters(this->series),
      streams(std::make_shared<held_streams>(
          this->hooks.clock, this->hooks.timer, this->options.streams, this->counters))
{
}

auto router_core::apply_rules_freshness(
    const routing::freshness_report& report, std::uint64_t peers_version) -> void
{
    const bool has_all = this->rules_in_force != nullptr && this->rules_version() >= peers_version;
    if (has_all && report.changed > this->rules_freshness.read_to()) {
        this->rules_freshness.note_handed_on(report.changed);
    }
    this->rules_freshness.apply_report(report, this->hooks.clock());
}

auto router_core::handle(http::request request, std::shared_ptr<http::responder> out) -> void
{
    this->counters.requests.add();
    this->handle_at(std::move(request), std::move(out), this->hooks.clock());
}

auto router_core::handle_at(
    http::request request, std::shared_ptr<http::responder> out, time_point received) -> void
{
    if (!this->is_ready()) {
        this->hold(std::move(request), std::move(out), received);
        return;
    }
    auto caller = read_caller_request(request, this->options.names, received);
    if (!caller) {
        this->refuse(caller.error(), "-", *out);
        return;
    }
    if (this->refuse_copy(request, *caller, *out)) {
        return;
    }
    const auto* owner = this->rules_in_force->owner_of(caller->key);
    const auto found = this->check(request, *caller);
    if (!found) {
        const auto* on = this->rules_in_force->find(
            http::find_header(request.headers, "Host").value_or(""), request.target);
        const auto rank = on == nullptr ? std::nullopt : std::optional{this->rank_of(*on, owner)};
        this->refuse(found.error(), caller->attempt, *out, owner_fields(owner, rank));
        return;
    }
    const auto fingerprint = this->fingerprint_if_needed(request, *caller);
    if (fingerprint && this->crashes.is_barred(*fingerprint)) {
        this->crashes.note_refused(*fingerprint, this->hooks.clock());
        this->refuse(
            common::make_error(common::result_code::ends_servers),
            caller->attempt,
            *out,
            owner_fields(owner, this->rank_of(**found, owner)) +
                " print=" + to_string(*fingerprint));
        return;
    }
    if (this->streams->refuses_new()) {
        this->counters.memory_refusals.add();
        this->refuse(
            common::make_error(common::result_code::memory_full),
            caller->attempt,
            *out,
            owner_fields(owner, this->rank_of(**found, owner)) +
                " held=" + std::to_string(this->streams->total()),
            caller->deadline);
        return;
    }
    relay::begin(
        this->shared_from_this(),
        {std::move(request),
         std::move(*caller),
         this->rules_in_force,
         *found,
         owner,
         received,
         fingerprint},
        std::move(out));
}

auto router_core::apply_limit(
    const routing::server_instance& server,
    const server_directives& directives,
    const std::string& attempt) -> void
{
    if (directives.has_malformed_limit && this->limiter.limits().note_malformed(server)) {
        this->counters.count_server_statement("limit_unreadable");
        common::log(
            common::log_part::members,
            common::log_level::warning,
            "server's limit is malformed server=" + to_string(server) + " request=" + attempt);
    }
    if (!directives.limit && directives.has_malformed_limit) {
        return;
    }
    const auto now = this->hooks.clock();
    const auto change = this->limiter.limits().note(server, directives.limit, now);
    this->log_limit(change, to_string(server), directives.limit, " request=" + attempt);
    const bool concerns_all =
        change == routing::limit_change::imposed || change == routing::limit_change::lifted;
    if (concerns_all && now - this->last_limit_report >= this->options.limit_report_interval) {
        this->server_directive_changes += 1;
        this->last_limit_report = now;
    }
}

auto router_core::apply_leaving(const routing::server_instance& server, const std::string& attempt)
    -> void
{
    const auto* known = this->servers.find(server.id);
    if (known == nullptr || known->instance() != server) {
        return;
    }
    this->servers.mark_leaving(server, this->hooks.clock());
    this->server_directive_changes += 1;
    this->counters.count_server_statement("leaving");
    common::log(
        common::log_part::members,
        common::log_level::info,
        "server leaving server=" + to_string(server) + " request=" + attempt);
}

auto router_core::apply_backoff(
    const routing::server_instance& server, std::chrono::milliseconds backoff) -> void
{
    // All entries are refused at the same moment; the random delay spreads their return.
    const auto more =
        std::min(backoff, this->options.return_spread) * common::random_unit(this->hooks.random);
    this->limiter.note_backoff(
        server, this->hooks.clock() + backoff + std::chrono::duration_cast<common::duration>(more));
    this->counters.backoffs.add();
}

auto router_core::note_unrequested_bytes(const http::endpoint& from) const -> void
{
    this->counters.unrequested_bytes.add();
    common::log(
        common::log_part::place,
        common::log_level::info,
        "bytes without a request from=" + http::to_string(from));
}

auto router_core::apply_limit_reports(
    const std::vector<routing::limit_report>& reports, const std::string& source) -> void
{
    for (const auto& one : reports) {
        const auto change = this->limiter.limits().apply_report(one, this->hooks.clock());
        if (change != routing::limit_change::none) {
            const auto server = this->servers.find_by_hash(one.server);
            const auto name = server ? to_string(*server) : "unknown";
            this->log_limit(change, name, one.per_second, " told_by=" + source);
        }
    }
}

auto router_core::log_limit(
    routing::limit_change change,
    const std::string& server,
    std::optional<double> per_second,
    const std::string& source) const -> void
{
    if (change == routing::limit_change::none) {
        return;
    }
    this->counters.count_server_statement(per_second ? "limit" : "no_limit");
    common::log(
        common::log_part::members,
        common::log_level::info,
        "server limit changed server=" + server +
            " per_second=" + (per_second ? std::to_string(*per_second) : "any") + source);
}

auto router_core::refuse(
    const common::error& why,
    const std::string& attempt,
    http::responder& out,
    const std::string& logged,
    time_point deadline) -> void
{
    const auto& row = common::row_of(why.code);
    const auto name = std::string{row.name};
    this->note_refused(attempt, row);
    this->counters.count_end(name);
    common::log(
        common::log_part::entry,
        common::log_level::info,
        "refused request=" + attempt + " why=" + name + logged);
    auto wait = this->retry_after(why.code);
    if (deadline != common::never) {
        // Callers return only if at most a third of their time passes until then.
        const auto now = this->hooks.clock();
        wait = std::min(wait, milliseconds_between(now, std::max(now, deadline)) / 3);
    }
    out.send(make_own_response(why, wait));
}

auto router_core::hold(
    http::request request, std::shared_ptr<http::responder> out, time_point received) -> void
{
    const auto caller = read_caller_request(request, this->options.names, received);
    if (!caller || this->held.size() >= this->options.max_held) {
        this->refuse(
            caller ? common::make_error(common::result_code::not_ready) : caller.error(),
            "-",
            *out);
        return;
    }
    const auto limit = std::chrono::duration_cast<common::duration>(this->options.startup_hold);
    const auto wait = caller->deadline == common::never
                          ? limit
                          : std::min(limit, (caller->deadline - received) / 3);
    const auto one = std::make_shared<held_request>();
    one->request = std::move(request);
    one->out = std::move(out);
    one->received = received;
    one->out->on_disconnect([weak = std::weak_ptr<held_request>(one)] {
        if (const auto left = weak.lock()) {
            left->has_left = true;
        }
    });
    this->held.push_back(one);
    this->hooks.timer(received + wait, [weak = this->weak_from_this(), one] {
        if (const auto self = weak.lock()) {
            self->refuse_held(one);
        }
    });
}

auto router_core::refuse_held(const std::shared_ptr<held_request>& one) -> void
{
    if (std::erase(this->held, one) > 0) {
        this->refuse(common::make_error(common::result_code::not_ready), "-", *one->out);
    }
}

auto router_core::set_awaiting_barred(bool should_wait) -> void
{
    this->is_awaiting_barred = should_wait;
    this->handle_held();
}

auto router_core::handle_held() -> void
{
    if (!this->is_ready()) {
        return;
    }
    for (const auto& one : std::exchange(this->held, {})) {
        // A request must not be sent to a server after its caller has disconnected.
        if (!one->has_left) {
            this->handle_at(std::move(one->request), one->out, one->received);
        }
        one->out.reset();
    }
}

auto router_core::copy_open_requests() const -> std::vector<std::shared_ptr<relay>>
{
    std::vector<std::shared_ptr<relay>> open;
    for (auto* one : this->open_requests) {
        open.push_back(one->shared_from_this());
    }
    return open;
}

auto router_core::end_all_requests() -> void
{
    for (const auto& one : std::exchange(this->held, {})) {
        this->refuse(common::make_error(common::result_code::shutting_down), "-", *one->out);
    }
    for (const auto& one : this->copy_open_requests()) {
        one->on_process_ends();
    }
}

auto router_core::retry_after(common::result_code why) const -> std::chrono::milliseconds
{
    if (why == common::result_code::not_ready) {
        return this->options.retry_after_not_ready;
    }
    if (why == common::result_code::ends_servers) {
        // A request that returns sooner is refused again, and stays barred for longer.
        return this->options.crashes.barred_for;
    }
    if (why == common::result_code::memory_full) {
        const auto spread = common::random_unit(this->hooks.random) *
                            static_cast<double>(this->options.return_spread.count());
        return this->options.streams.held.refusal_time +
               std::chrono::milliseconds{static_cast<std::int64_t>(spread)};
    }
    const auto usual = this->options.retry_after;
    if (why != common::result_code::shutting_down || !this->hooks.accepted_elsewhere_at) {
        return usual;
    }
    const auto now = this->hooks.clock();
    const auto wait = this->hooks.accepted_elsewhere_at(now) - now;
    return std::max(usual, std::chrono::duration_cast<std::chrono::milliseconds>(wait));
}

auto router_core::check(const http::request& request, const caller_request& caller) const
    -> common::result<const routing::route*>
{
    const auto host = http::find_header(request.headers, "Host").value_or("");
    const auto* found = this->rules_in_force->find(host, request.target);
    if (found == nullptr) {
        return common::failure(common::result_code::unknown_path);
    }
    const bool needs_key = this->rules_in_force->rules().requires_keys && !found->is_open;
    if (needs_key && this->rules_in_force->owner_of(caller.key) == nullptr) {
        return common::failure(common::result_code::unauthenticated);
    }
    const bool has_small_model = !found->models.empty() && caller.model == any_model;
    const auto token =
        has_small_model ? this->options.small_model_token_time : this->options.token_time;
    if (this->should_go_elsewhere(*found) || !this->may_finish(*found, caller, token)) {
        return common::failure(common::result_code::shutting_down);
    }
    return found;
}

auto router_core::should_go_elsewhere(const routing::route& on) const -> bool
{
    const auto now = this->hooks.clock();
    const bool is_late = on.kind == routing::request_kind::stream && now >= this->streams_until;
    const auto& elsewhere = this->hooks.accepted_elsewhere_at;
    return is_late && elsewhere && elsewhere(now) <= now;
}

auto router_core::may_finish(
    const routing::route& on, const caller_request& caller, std::chrono::milliseconds token) const
    -> bool
{
    if (this->ends_at == common::never) {
        return true;
    }
    auto needs = this->options.base_time;
    if (on.kind == routing::request_kind::stream) {
        needs += token * static_cast<std::int64_t>(caller.max_answer_tokens);
        // If callers wait, each token takes longer too.
        const auto slowed = static_cast<double>(needs.count()) * (1.0 + this->waits.level());
        needs = std::min(
            std::chrono::milliseconds{static_cast<std::int64_t>(slowed)},
            this->options.max_time_needed);
    }
    return this->hooks.clock() + std::min(needs, on.timeout) <= this->ends_at;
}

auto router_core::apply_rules(published_rules rules) -> bool
{
    const bool is_old =
        this->rules_in_force != nullptr && rules.rules.version <= this->rules_in_force->version();
    if (is_old) {
        return false;
    }
    common::log(
        common::log_part::config,
        common::log_level::info,
        "rules in force version=" + std::to_string(rules.rules.version) +
            " routes=" + std::to_string(rules.rules.routes.size()));
    this->rules_in_force = std::make_shared<const routing::route_table>(std::move(rules.rules));
    this->text_in_force = std::move(rules.text);
    this->shares.set_rules(this->rules_in_force->rules());
    if (this->hooks.on_rules) {
        this->hooks.on_rules(this->rules_in_force->rules());
    }
    this->handle_held();
    return true;
}

auto router_core::is_ready() const -> bool
{
    return this->rules_in_force != nullptr && this->servers.size() > 0 && !this->is_awaiting_barred;
}

auto router_core::pressure(const common::service_name& service) -> double
{
    if (this->rules_in_force == nullptr) {
        return 0.0;
    }
    return this->overload_control.pressure(
        service,
        {*this->rules_in_force, this->servers, this->loads, this->speeds[service]},
        this->hooks.clock());
}

auto router_core::admission_of(const common::service_name& service) -> service_admission&
{
    return this->admissions
        .try_emplace(
            service,
            service_admission{
                overload::admission_control{this->hooks.random},
                {},
                overload::refusal_throttle{},
                {}})
        .first->second;
}

auto router_core::retries_of(const common::service_name& service) -> placement::retry_budget&
{
    const auto known = this->retries.find(service);
    if (known != this->retries.end()) {
        return known->second;
    }
    placement::retry_budget_hooks budget_hooks{this->hooks.clock, this->hooks.random};
    if (this->hooks.rank) {
        budget_hooks.entries = [this] {
            return this->hooks.rank().of;
        };
    }
    return this->retries.try_emplace(service, this->options.retries, std::move(budget_hooks))
        .first->second;
}

auto router_core::change_retries(placement::retry_budget_settings settings) -> void
{
    this->options.retries = settings;
    for (auto& [service, budget] : this->retries) {
        budget.update_settings(settings);
    }
}

auto router_core::note_first_event(const routing::route_name& route, std::chrono::milliseconds took)
    -> void
{
    constexpr double memory = 0.1;
    const auto ms = static_cast<double>(took.count());
    const auto [mean, is_first] = this->first_event_ms.try_emplace(route, ms);
    mean->second += memory * (ms - mean->second);
}

auto router_core::first_event_limit(
    const routing::route_name& route, std::chrono::milliseconds usual) const
    -> std::chrono::milliseconds
{
    const auto mean = this->first_event_ms.find(route);
    const auto by_route = mean == this->first_event_ms.end() ? 0.0 : mean->second;
    const auto by_work = static_cast<double>(usual.count());
    const auto longest = std::max(
        by_route * this->options.first_event_factor,
        by_work * this->options.first_event_work_factor);
    return this->options.first_event_patience +
           std::chrono::milliseconds{static_cast<std::int64_t>(longest)};
}

auto make_own_response(const common::error& why, std::chrono::milliseconds retry_after)
    -> http::response
{
    auto answer = http::problem_answer(why);
    constexpr std::uint16_t unavailable = 503;
    if (answer.status == unavailable) {
        std::array<char, 32> seconds{};
        std::snprintf(
            seconds.data(),
            seconds.size(),
            "%.3f",
            std::chrono::duration<double>(retry_after).count());
        answer.headers.push_back({"Retry-After", seconds.data()});
    }
    return answer;
}

} // namespace reedramp::router
