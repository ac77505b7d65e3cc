#include "inventory/follower_core.hpp"

#include <algorithm>
#include <utility>

#include "inventory/fold.hpp"

namespace reedramp::inventory {

using common::log_level;
using common::result_code;

namespace {

/// A start looks for a checkpoint among this many times the records between two checkpoints.
constexpr std::uint64_t scan_window = 2;

/// How long a process waits for a record that its own append is said to have brought into the log.
constexpr auto expectation = std::chrono::seconds(30);

/// Pulls that fail before a new process turns to the log instead.
constexpr std::uint32_t pulls_before_log = 2;

/// `next_wake` lies at least this far ahead.
constexpr auto shortest_sleep = std::chrono::milliseconds(1);

auto text_of(common::log_offset offset) -> std::string
{
    return std::to_string(offset.value());
}

} // namespace

follower_core::follower_core(follower_settings given, std::string shared_key, std::uint64_t seed)
    : settings(given), key(std::move(shared_key)), random(seed),
      kept(given.kept_records, given.kept_bytes), pending(given.pending_withdrawals)
{
}

auto follower_core::tick(common::time_point now, follower_surroundings seen) -> follower_actions
{
    follower_actions actions;
    this->around = std::move(seen);
    if (!this->has_started) {
        this->has_started = true;
        this->own_read_at = now + this->settings.own_read_after;
        this->checkpoint_seen_at = now;
    }
    this->step(now, actions);
    return actions;
}

auto follower_core::step(common::time_point now, follower_actions& actions) -> void
{
    this->expire(now);
    const auto may_read = this->has_started && !this->read_under_way;
    if (may_read && now >= this->next_read_at && this->wants_read(now)) {
        this->send_read(now, actions);
    }
    if (this->has_started && now >= this->next_pull_at) {
        this->send_pull(now, actions);
    }
    this->send_appends(now, actions);
}

/// An answer that never comes must not stop the reading for good.
auto follower_core::expire(common::time_point now) -> void
{
    const auto& sent = this->read_under_way;
    if (sent && now >= sent->sent + sent->wait + this->settings.answer_time) {
        this->read_under_way.reset();
        ++this->counts.log_failures;
        this->back_off(now);
    }
    const auto lost = std::erase_if(this->pulls_under_way, [this, now](const auto& entry) {
        return now >= entry.second + this->settings.answer_time;
    });
    this->counts.peer_failures += lost;
    this->failed_pulls += static_cast<std::uint32_t>(lost);
}

auto follower_core::wants_read(common::time_point now) const -> bool
{
    if (this->around.is_tailer || this->refresh_wanted) {
        return true;
    }
    if (this->expected > this->folded.offset && now < this->expected_until) {
        return true;
    }
    if (!this->ready) {
        return this->around.peers.empty() || this->failed_pulls >= pulls_before_log;
    }
    return now >= this->own_read_at;
}

auto follower_core::send_read(common::time_point now, follower_actions& actions) -> void
{
    if (!this->ready && !this->scan) {
        this->scan.emplace(scan_window * this->settings.checkpoint_records);
    }
    const auto is_waiting = this->around.is_tailer || this->expected > this->folded.offset;
    flight sent{++this->last_ticket, now, {}, {}};
    read_order order{this->folded.offset, {}, sent.ticket};
    if (this->scan) {
        order.after = this->scan->next_read();
    }
    else if (is_waiting) {
        order.wait = this->settings.log_wait;
    }
    sent.wait = order.wait;
    sent.after = order.after;
    this->read_under_way = sent;
    this->refresh_wanted = false;
    ++this->counts.log_reads;
    actions.read = order;
}

auto follower_core::on_read(
    std::uint64_t ticket,
    const common::result<platform::read_answer>& answer,
    common::time_point now) -> follower_actions
{
    follower_actions actions;
    if (!this->read_under_way || this->read_under_way->ticket != ticket) {
        return actions;
    }
    const auto sent = *std::exchange(this->read_under_way, std::nullopt);
    if (!answer) {
        this->read_failed(answer.error(), now, actions);
    }
    else {
        this->retry_pause = {};
        this->next_read_at = now;
        this->log_oldest = std::max(this->log_oldest, answer->oldest);
        if (this->scan) {
            this->take_scan(*answer, sent, now, actions);
        }
        else {
            this->take_records(*answer, sent, now, actions);
        }
    }
    this->settle(now);
    this->step(now, actions);
    return actions;
}

auto follower_core::read_failed(
    const common::error& why, common::time_point now, follower_actions& actions) -> void
{
    if (why.code == result_code::log_trimmed) {
        // The records after ours are gone: only a checkpoint, from the log or a peer, leads on.
        actions.notes.push_back(
            {log_level::warning, "log trimmed past offset=" + text_of(this->folded.offset)});
        this->scan.emplace(scan_window * this->settings.checkpoint_records);
        this->next_read_at = now + this->settings.retry_first;
        return;
    }
    ++this->counts.log_failures;
    if (this->retry_pause == common::duration{}) {
        actions.notes.push_back({log_level::warning, "log read failed: " + why.detail});
    }
    this->back_off(now);
}

auto follower_core::back_off(common::time_point now) -> void
{
    const auto doubled = std::max(this->settings.retry_first, this->retry_pause * 2);
    this->retry_pause = std::min(doubled, this->settings.retry_last);
    this->next_read_at = now + this->spread(this->retry_pause);
}

auto follower_core::take_records(
    const platform::read_answer& answer,
    const flight& sent,
    common::time_point now,
    follower_actions& actions) -> void
{
    if (sent.after > this->folded.offset) {
        // Sent while the log was searched for a checkpoint; since then a peer gave an older state.
        // Folding this answer would leave out the records in between, and no later read brings
        // them.
        return;
    }
    for (const auto& item : answer.records) {
        this->fold(item, actions);
    }
    const auto is_early = now < sent.sent + sent.wait / 2;
    if (answer.records.empty() && (is_early || answer.head > this->folded.offset)) {
        // A log that does not hold a read open would else be asked without a pause.
        this->next_read_at = now + this->settings.retry_first;
    }
    if (answer.head < this->folded.offset) {
        // A lagging replica of the log. It says nothing on whether ours is the newest state.
        ++this->counts.stale_answers;
        this->next_read_at = now + this->settings.retry_first;
        return;
    }
    if (this->folded.offset >= answer.head) {
        this->add_evidence(sent.sent);
    }
}

auto follower_core::take_scan(
    const platform::read_answer& answer,
    const flight& sent,
    common::time_point now,
    follower_actions& actions) -> void
{
    const auto bad_before = this->scan->bad_checkpoints();
    const auto found = this->scan->take(answer);
    this->counts.bad_checkpoints += this->scan->bad_checkpoints() - bad_before;
    if (found == scan_step::behind) {
        ++this->counts.stale_answers;
        this->next_read_at = now + this->settings.retry_first;
        return;
    }
    if (found == scan_step::reading) {
        return;
    }
    if (found == scan_step::no_checkpoint) {
        actions.notes.push_back(
            {log_level::error, "the log holds no sound checkpoint; waiting for a peer"});
        this->scan.reset();
        this->next_read_at = now + this->settings.retry_last;
        return;
    }
    auto newer = this->scan->take_found();
    this->scan.reset();
    if (newer.offset < this->folded.offset) {
        ++this->counts.stale_answers;
        return;
    }
    if (!this->ready || newer.offset > this->folded.offset) {
        this->install(std::move(newer), actions);
    }
    this->add_evidence(sent.sent);
}

auto follower_core::fold(const messages::log_record& item, follower_actions& actions) -> void
{
    const auto outcome = apply(this->folded, item);
    if (outcome.step == fold_step::already_folded) {
        return;
    }
    this->kept.push(item);
    ++this->counts.records_folded;
    actions.changed = true;
    if (outcome.step != fold_step::rejected) {
        return;
    }
    ++this->counts.records_rejected;
    if (outcome.code == result_code::bad_checkpoint) {
        ++this->counts.bad_checkpoints;
    }
    const auto name = std::string(common::row_of(outcome.code).name);
    actions.notes.push_back(
        {log_level::warning,
         "record refused offset=" + text_of(item.offset) + " code=" + name + ": " + outcome.why});
}

auto follower_core::install(state newer, follower_actions& actions) -> void
{
    this->folded = std::move(newer);
    this->kept.reset(this->folded.offset);
    this->ready = true;
    ++this->counts.checkpoints_loaded;
    actions.changed = true;
    actions.notes.push_back(
        {log_level::info, "configuration loaded offset=" + text_of(this->folded.offset)});
}

auto follower_core::settle(common::time_point now) -> void
{
    this->pending.settle(this->folded);
    if (this->folded.checkpoint != this->seen_checkpoint) {
        this->seen_checkpoint = this->folded.checkpoint;
        this->checkpoint_seen_at = now;
    }
}

/// Evidence holds from when a question was sent: the answer may have been under way, or this
/// process suspended, for any time since.
auto follower_core::add_evidence(common::time_point as_of) -> void
{
    if (this->expected > this->folded.offset && as_of < this->expected_until) {
        return;
    }
    if (this->evidence && *this->evidence >= as_of) {
        return;
    }
    this->evidence = as_of;
    this->own_read_at =
        as_of + this->settings.own_read_after + this->spread(this->settings.own_read_after / 2);
}

auto follower_core::expect(common::log_offset offset, common::time_point now) -> follower_actions
{
    follower_actions actions;
    if (offset > this->folded.offset) {
        this->expected = std::max(this->expected, offset);
        this->expected_until = now + expectation;
    }
    this->step(now, actions);
    return actions;
}

auto follower_core::refresh(common::time_point now) -> follower_actions
{
    follower_actions actions;
    this->refresh_wanted = true;
    this->step(now, actions);
    return actions;
}

auto follower_core::next_wake(common::time_point now) const -> common::time_point
{
    auto wake = std::min(this->next_pull_at, now + this->settings.pull_period);
    if (this->read_under_way) {
        const auto& sent = *this->read_under_way;
        wake = std::min(wake, sent.sent + sent.wait + this->settings.answer_time);
    }
    else if (this->wants_read(now)) {
        wake = std::min(wake, this->next_read_at);
    }
    return std::max(wake, now + shortest_sleep);
}

auto follower_core::current_until() const -> common::time_point
{
    if (!this->evidence) {
        return common::time_point::min();
    }
    return *this->evidence + this->settings.freshness;
}

auto follower_core::checkpoint_due(common::time_point now) const -> bool
{
    const auto is_current = this->ready && now <= this->current_until();
    if (!is_current || this->folded.offset == common::log_offset{}) {
        return false;
    }
    const auto newest = this->folded.checkpoint.value();
    if (this->folded.offset.value() - newest >= this->settings.checkpoint_records) {
        return true;
    }
    // Records that a reader of the newest checkpoint needs are gone from the log.
    const auto is_cut_off = this->log_oldest.value() > newest + 1;
    const auto is_old = now >= this->checkpoint_seen_at + this->settings.checkpoint_age;
    return is_cut_off || is_old;
}

auto follower_core::random_share() -> double
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(this->random() >> 11U) * scale;
}

/// Between half of the span and the whole, so that processes that fail together don't retry
/// together.
auto follower_core::spread(common::duration span) -> common::duration
{
    const auto half = span / 2;
    const auto extra = static_cast<double>(half.count()) * this->random_share();
    return half + common::duration(static_cast<common::duration::rep>(extra));
}

} // namespace reedramp::inventory
