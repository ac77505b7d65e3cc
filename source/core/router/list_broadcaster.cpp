#include "router/list_broadcaster.hpp"

#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

using common::log_level;
using common::log_part;

namespace {

/// A neighbour answers within some milliseconds; one that does not is given up for another.
constexpr std::chrono::milliseconds answer_time{250};

/// Lists differ for some hundred milliseconds wherever a server leaves, as that is told on other
/// ways too. Longer than this something was lost; the list of 620 servers is 66 KB.
constexpr std::chrono::seconds repaired_after{3};

/// Ages that entries tell each other are wrong by the messages' time on the way, and by no more.
constexpr std::chrono::seconds ages_wrong_by{1};

/// Rubbish from one neighbour would fill the log.
constexpr std::chrono::seconds between_rejections_logged{5};

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

auto list_broadcaster::news_of(list_part part) const -> list_update
{
    list_update news;
    news.host = this->self;
    news.address = http::to_string(this->own_address);
    news.data_centre = this->core->options.data_centre;
    news.freshness = this->core->freshness.make_report(this->core->hooks.clock());
    news.rules_version = this->core->rules_version();
    news.digest = this->core->servers.digest();
    news.part = std::move(part);
    return news;
}

auto list_broadcaster::publish(const list_part& read) -> void
{
    this->told_by.clear();
    auto part = read;
    if (!part.from) {
        // The first reading changed nothing that a neighbour knew.
        part = {part.end, part.end, {}};
    }
    const auto bytes = encode_datagram(this->news_of(std::move(part)));
    const auto to = this->hooks.audience();
    for (const auto& where : to.near) {
        this->hooks.send(where, bytes);
    }
    for (const auto& where : to.far) {
        this->hooks.send(where, bytes);
    }
}

auto list_broadcaster::pass_on(const list_update& heard, const update_recipients& to) -> void
{
    const bool is_from_afar = heard.data_centre != this->core->options.data_centre;
    if (!is_from_afar || !to.passes_on) {
        return;
    }
    // With this entry's address: who lacks something asks it, and not another data centre.
    const auto bytes = encode_datagram(this->news_of(heard.part));
    for (const auto& where : to.near) {
        this->hooks.send(where, bytes);
    }
}

auto list_broadcaster::hear(std::string_view datagram) -> void
{
    const auto news = decode_datagram(datagram);
    if (!news) {
        this->reject("datagram", news.error());
        return;
    }
    const auto from = http::parse_endpoint(news->address);
    if (!from || *from == this->own_address) {
        return;
    }
    if (this->hooks.on_heard) {
        this->hooks.on_heard(*news, *from);
    }
    this->take(*news, *from);
}

auto list_broadcaster::take(const list_update& news, const http::endpoint& from) -> void
{
    const auto now = this->core->hooks.clock();
    if (this->is_ahead_of_store(news)) {
        this->reject(news.host.value(), common::make_error(common::result_code::invalid_record));
        this->list->forget_position();
        this->ask(from, std::nullopt);
        return;
    }
    const auto step = this->list->take_over(news.part);
    if (step == list_step::gap) {
        this->ask(from, this->list->known_to());
    }
    const bool is_new_reading = this->core->freshness.apply_report(news.freshness, now);
    if (is_new_reading) {
        this->told_by = news.host.value();
        this->pass_on(news, this->hooks.audience());
    }
    this->compare(news, from);
}

auto list_broadcaster::is_ahead_of_store(const list_update& news) const -> bool
{
    const auto known_to = this->list->known_to();
    const auto read_at = this->core->hooks.clock() - news.freshness.age;
    return known_to && news.part.end < *known_to &&
           read_at > this->list->handed_at() + ages_wrong_by &&
           read_at > this->core->freshness.known_current_at() + ages_wrong_by;
}

auto list_broadcaster::compare(const list_update& news, const http::endpoint& from) -> void
{
    const auto now = this->core->hooks.clock();
    const bool differs =
        this->list->known_to() == news.part.end && this->core->servers.digest() != news.digest;
    if (!differs) {
        this->differs_since.reset();
        return;
    }
    if (!this->differs_since) {
        this->differs_since = now;
    }
    if (now - *this->differs_since >= repaired_after) {
        common::log(
            log_part::members,
            log_level::warning,
            "list differs, asking for all of=" + news.host.value() +
                " position=" + std::to_string(news.part.end));
        this->differs_since.reset();
        this->ask(from, std::nullopt);
    }
}

auto list_broadcaster::fetch_from(const http::endpoint& neighbour) -> void
{
    this->ask(neighbour, this->list->known_to());
}

auto list_broadcaster::ask(const http::endpoint& neighbour, std::optional<std::uint64_t> since)
    -> void
{
    const auto now = this->core->hooks.clock();
    if (now < this->ask_again_at) {
        return;
    }
    this->ask_again_at = now + answer_time;
    this->core->counters.list_questions.add();
    this->hooks.ask(
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
        return; // Another neighbour's words ask again, or the store is read.
    }
    const auto news = decode_answer(*body);
    if (!news) {
        this->reject(http::to_string(from), news.error());
        return;
    }
    this->ask_again_at = this->core->hooks.clock();
    this->list->take_over(news->part);
    if (this->core->freshness.apply_report(news->freshness, this->core->hooks.clock())) {
        this->told_by = news->host.value();
    }
}

auto list_broadcaster::answer(std::optional<std::uint64_t> since) const -> std::string
{
    if (!this->list->known_to()) {
        return {};
    }
    return encode_answer(this->news_of(this->list->part_since(since)));
}

auto list_broadcaster::reject(const std::string& from, const common::error& why) -> void
{
    this->core->counters.list_rejected.add();
    const auto now = this->core->hooks.clock();
    if (now < this->next_rejection_logged) {
        return;
    }
    this->next_rejection_logged = now + between_rejections_logged;
    common::log(
        log_part::members,
        log_level::warning,
        "news of the list not taken from=" + from + " why=" + why.detail);
}

} // namespace reedramp::router
