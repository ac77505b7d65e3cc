#include "router/list_broadcaster.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

namespace {

/// A neighbour responds within some milliseconds. After this time another one may be asked.
constexpr std::chrono::milliseconds query_timeout{250};

/// Lists differ for some hundred milliseconds whenever a server leaves, as that is also reported by
/// other means. A longer difference means that an update was lost. The list of 620 servers takes 66
/// KB.
constexpr std::chrono::seconds repair_delay{3};

/// Bound on the error of ages that entries report to each other: the transit time of the message.
constexpr std::chrono::seconds age_error{1};

} // namespace

list_broadcaster::list_broadcaster(
    std::shared_ptr<router_core> core_to_use,
    std::shared_ptr<servers_list> list_to_hand_on,
    common::host_id host,
    http::endpoint address,
    list_broadcaster_hooks hooks_to_use)
    : core(std::move(core_to_use)), list(std::move(list_to_hand_on)), self(std::move(host)),
      own_address(std::move(address)), hooks(std::move(hooks_to_use))
{
}

auto list_broadcaster::make_update(list_part part) const -> list_update
{
    list_update update;
    update.host = this->self;
    update.address = http::to_string(this->own_address);
    update.data_centre = this->core->options.data_centre;
    update.freshness = this->core->freshness.make_report(this->core->hooks.clock());
    update.rules_freshness = this->core->rules_freshness.make_report(this->core->hooks.clock());
    update.rules_version = this->core->rules_version();
    update.digest = this->core->servers.digest();
    update.part = std::move(part);
    return update;
}

auto list_broadcaster::publish(const list_part& read) -> void
{
    this->source_host.clear();
    auto part = read;
    if (!part.from) {
        // The first reading holds no change relative to what neighbours know.
        part = {part.end, part.end, {}};
    }
    this->send_to_all(std::move(part));
}

auto list_broadcaster::publish_rules_reading() -> void
{
    if (const auto known_to = this->list->known_to()) {
        this->send_to_all({known_to, *known_to, {}});
    }
}

auto list_broadcaster::send_to_all(list_part part) -> void
{
    const auto bytes = encode_datagram(this->make_update(std::move(part)));
    const auto to = this->hooks.recipients();
    for (const auto& where : to.same_data_centre) {
        this->hooks.send(where, bytes);
    }
    for (const auto& where : to.other_data_centres) {
        this->hooks.send(where, bytes);
    }
}

auto list_broadcaster::forward(const list_update& received, const update_recipients& to) -> void
{
    const bool is_from_other_data_centre = received.data_centre != this->core->options.data_centre;
    if (!is_from_other_data_centre || !to.forwards_updates) {
        return;
    }
    // Carries this entry's address, so that receivers ask this entry for missing changes instead of
    // another data centre.
    const auto bytes = encode_datagram(this->make_update(received.part));
    for (const auto& where : to.same_data_centre) {
        this->hooks.send(where, bytes);
    }
}

auto list_broadcaster::receive(std::string_view datagram) -> void
{
    const auto update = decode_datagram(datagram);
    if (!update) {
        this->reject("datagram", update.error());
        return;
    }
    const auto from = http::parse_endpoint(update->address);
    if (!from || *from == this->own_address) {
        return;
    }
    if (this->hooks.on_update) {
        this->hooks.on_update(*update, *from);
    }
    this->apply(*update, *from);
}

auto list_broadcaster::apply(const list_update& update, const http::endpoint& from) -> void
{
    const auto now = this->core->hooks.clock();
    if (this->is_ahead_of_store(update)) {
        this->reject(update.host.value(), common::make_error(common::result_code::invalid_record));
        this->list->reset_position();
        this->query(from, std::nullopt);
        return;
    }
    const auto step = this->list->apply_neighbour_part(update.part);
    if (step == part_result::gap) {
        this->query(from, this->list->known_to());
    }
    const bool is_newer = this->core->freshness.apply_report(update.freshness, now);
    const bool is_newer_of_rules =
        this->core->rules_freshness.apply_report(update.rules_freshness, now);
    if (is_newer) {
        this->source_host = update.host.value();
    }
    if (is_newer || is_newer_of_rules) {
        this->forward(update, this->hooks.recipients());
    }
    this->check_digest(update, from);
}

auto list_broadcaster::is_ahead_of_store(const list_update& update) const -> bool
{
    const auto known_to = this->list->known_to();
    const auto read_at = this->core->hooks.clock() - update.freshness.age;
    return known_to && update.part.end < *known_to &&
           read_at > this->list->neighbour_part_applied_at() + age_error &&
           read_at > this->core->freshness.known_current_at() + age_error;
}

auto list_broadcaster::check_digest(const list_update& update, const http::endpoint& from) -> void
{
    const auto now = this->core->hooks.clock();
    const bool differs =
        this->list->known_to() == update.part.end && this->core->servers.digest() != update.digest;
    if (!differs) {
        this->differs_since.reset();
        return;
    }
    if (!this->differs_since) {
        this->differs_since = now;
    }
    if (now - *this->differs_since >= repair_delay) {
        common::log(
            log_part::members,
            log_level::warning,
            "list differs, fetching the whole list of=" + update.host.value() +
                " position=" + std::to_string(update.part.end));
        this->differs_since.reset();
        this->query(from, std::nullopt);
    }
}

auto list_broadcaster::fetch_changes_from(const http::endpoint& neighbour) -> void
{
    this->query(neighbour, this->list->known_to());
}

auto list_broadcaster::query(const http::endpoint& neighbour, std::optional<std::uint64_t> since)
    -> void
{
    const auto now = this->core->hooks.clock();
    if (now < this->next_query_at) {
        return;
    }
    this->next_query_at = now + query_timeout;
    this->core->counters.list_queries.add();
    this->hooks.query(
        neighbour,
        since,
        [self = this->shared_from_this(), neighbour](const common::result<std::string>& body) {
            self->on_answer(neighbour, body);
        });
}

auto list_broadcaster::on_answer(
    const http::endpoint& from, const common::result<std::string>& body) -> void
{
    if (!body) {
        return; // The next report or update triggers another query, or the store is read.
    }
    const auto update = decode_answer(*body);
    if (!update) {
        this->reject(http::to_string(from), update.error());
        return;
    }
    this->next_query_at = this->core->hooks.clock();
    this->list->apply_neighbour_part(update->part);
    if (this->core->freshness.apply_report(update->freshness, this->core->hooks.clock())) {
        this->source_host = update->host.value();
    }
}

auto list_broadcaster::make_response(std::optional<std::uint64_t> since) const -> std::string
{
    if (!this->list->known_to()) {
        return {};
    }
    return encode_answer(this->make_update(this->list->part_since(since)));
}

auto list_broadcaster::reject(const std::string& from, const common::error& why) -> void
{
    this->core->counters.list_rejected.add();
    if (!this->rejection_lines.may_log(this->core->hooks.clock())) {
        return;
    }
    common::log(
        log_part::members,
        log_level::warning,
        "server list update rejected from=" + from + " why=" + why.detail);
}

} // namespace reedramp::router
