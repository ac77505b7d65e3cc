#include "inventory/follower_core.hpp"

#include <algorithm>
#include <utility>

#include "inventory/fold.hpp"

namespace reedramp::inventory {

using common::log_level;
using common::result_code;

namespace {

/// Size of the first window of a scan, in multiples of the records between two checkpoints.
constexpr std::uint64_t scan_window = 2;

/// How long a process waits for a record that it appended to appear in the log.
constexpr auto expected_read_timeout = std::chrono::seconds(30);

/// Number of failed pulls after which a starting process reads the log instead.
constexpr std::uint32_t failed_pulls_before_log = 2;

/// Minimum delay until `next_wake`.
constexpr auto min_sleep = std::chrono::milliseconds(1);

auto text_of(common::log_offset offset) -> std::string
{
    return std::to_string(offset.value());
}

} // namespace

follower_core::follower_core(follower_settings given, std::string shared_key, std::uint64_t seed)
    : settings(given), key(std::move(shared_key)), random(seed),
      recent_records(given.max_kept_records, given.max_kept_bytes),
      pending_withdrawals(given.max_pending_withdrawals)
{
}

auto follower_core::tick(common::time_point now, follower_environment seen) -> follower_actions
{
    follower_actions actions;
    this->environment = std::move(seen);
    if (!this->has_started) {
        this->has_started = true;
        this->own_read_at = now + this->settings.own_read_after;
        this->last_checkpoint_at = now;
    }
    this->send_due_calls(now, actions);
    return actions;
}

auto follower_core::send_due_calls(common::time_point now, follower_actions& actions) -> void
{
    this->expire_calls(now);
    const auto may_read = this->has_started && !this->read_in_flight;
    if (may_read && now >= this->next_read_at && this->wants_read(now)) {
        this->send_read(now, actions);
    }
    if (this->has_started && now >= this->next_pull_at) {
        this->send_pull(now, actions);
    }
    this->send_appends(now, actions);
}

/// A response that never arrives must not block reads and pulls forever.
auto follower_core::expire_calls(common::time_point now) -> void
{
    const auto& sent = this->read_in_flight;
    if (sent && now >= sent->sent + sent->wait + this->settings.call_timeout) {
        this->read_in_flight.reset();
        ++this->counts.log_failures;
        this->schedule_read_retry(now);
    }
    const auto lost = std::erase_if(this->pulls_in_flight, [this, now](const auto& entry) {
        return now >= entry.second + this->settings.call_timeout;
    });
    this->counts.peer_failures += lost;
    this->failed_pulls += static_cast<std::uint32_t>(lost);
}

auto follower_core::wants_read(common::time_point now) const -> bool
{
    if (this->environment.is_tailer || this->is_refresh_requested) {
        return true;
    }
    if (this->expected_offset > this->current_state.offset && now < this->expected_deadline) {
        return true;
    }
    if (!this->ready) {
        return this->environment.peers.empty() || this->failed_pulls >= failed_pulls_before_log;
    }
    return now >= this->own_read_at;
}

auto follower_core::send_read(common::time_point now, follower_actions& actions) -> void
{
    if (!this->ready && !this->scan) {
        this->scan.emplace(scan_window * this->settings.checkpoint_records);
    }
    const auto is_waiting =
        this->environment.is_tailer || this->expected_offset > this->current_state.offset;
    read_call sent{++this->last_ticket, now, {}, {}};
    read_request request{this->current_state.offset, {}, sent.ticket};
    if (this->scan) {
        request.after = this->scan->next_read();
    }
    else if (is_waiting) {
        request.wait = this->settings.log_wait;
    }
    sent.wait = request.wait;
    sent.after = request.after;
    this->read_in_flight = sent;
    this->is_refresh_requested = false;
    ++this->counts.log_reads;
    actions.read = request;
}

auto follower_core::on_read(
    std::uint64_t ticket,
    const common::result<platform::read_answer>& answer,
    common::time_point now) -> follower_actions
{
    follower_actions actions;
    if (!this->read_in_flight || this->read_in_flight->ticket != ticket) {
        return actions;
    }
    const auto sent = *std::exchange(this->read_in_flight, std::nullopt);
    if (!answer) {
        this->on_read_error(answer.error(), now, actions);
    }
    else {
        this->retry_delay = {};
        this->next_read_at = now;
        this->log_oldest = std::max(this->log_oldest, answer->oldest);
        if (this->scan) {
            this->apply_scan_answer(*answer, sent, now, actions);
        }
        else {
            this->apply_records(*answer, sent, now, actions);
        }
    }
    this->update_after_fold(now);
    this->send_due_calls(now, actions);
    return actions;
}

auto follower_core::on_read_error(
    const common::error& why, common::time_point now, follower_actions& actions) -> void
{
    if (why.code == result_code::log_trimmed) {
        // The next records have been trimmed; only a checkpoint, from the log or from a peer, can
        // advance the state.
        actions.log_messages.push_back(
            {log_level::warning, "log trimmed past offset=" + text_of(this->current_state.offset)});
        this->scan.emplace(scan_window * this->settings.checkpoint_records);
        this->next_read_at = now + this->settings.initial_retry_wait;
        return;
    }
    ++this->counts.log_failures;
    if (this->retry_delay == common::duration{}) {
        actions.log_messages.push_back({log_level::warning, "log read failed: " + why.detail});
    }
    this->schedule_read_retry(now);
}

auto follower_core::schedule_read_retry(common::time_point now) -> void
{
    const auto doubled = std::max(this->settings.initial_retry_wait, this->retry_delay * 2);
    this->retry_delay = std::min(doubled, this->settings.max_retry_wait);
    this->next_read_at = now + this->add_jitter(this->retry_delay);
}

auto follower_core::apply_records(
    const platform::read_answer& answer,
    const read_call& sent,
    common::time_point now,
    follower_actions& actions) -> void
{
    if (sent.after > this->current_state.offset) {
        // The read was sent during a scan for a checkpoint, and a peer has provided an older state
        // since. Folding this response would skip the records in between, and no later read would
        // return them.
        return;
    }
    for (const auto& item : answer.records) {
        this->fold(item, actions);
    }
    const auto is_early = now < sent.sent + sent.wait / 2;
    if (answer.records.empty() && (is_early || answer.head > this->current_state.offset)) {
        // A log that does not delay the response to such a read would otherwise be polled without a
        // delay.
        this->next_read_at = now + this->settings.initial_retry_wait;
    }
    if (answer.head < this->current_state.offset) {
        // A lagging replica of the log is no evidence that this state is the newest.
        ++this->counts.stale_answers;
        this->next_read_at = now + this->settings.initial_retry_wait;
        return;
    }
    if (this->current_state.offset >= answer.head) {
        this->add_evidence(sent.sent);
    }
}

auto follower_core::apply_scan_answer(
    const platform::read_answer& answer,
    const read_call& sent,
    common::time_point now,
    follower_actions& actions) -> void
{
    const auto bad_before = this->scan->bad_checkpoints();
    const auto found = this->scan->apply_answer(answer);
    this->counts.bad_checkpoints += this->scan->bad_checkpoints() - bad_before;
    if (found == scan_step::behind) {
        ++this->counts.stale_answers;
        this->next_read_at = now + this->settings.initial_retry_wait;
        return;
    }
    if (found == scan_step::reading) {
        return;
    }
    if (found == scan_step::no_checkpoint) {
        actions.log_messages.push_back(
            {log_level::error, "the log has no valid checkpoint; waiting for a peer"});
        this->scan.reset();
        this->next_read_at = now + this->settings.max_retry_wait;
        return;
    }
    auto newer = this->scan->take_state();
    this->scan.reset();
    if (newer.offset < this->current_state.offset) {
        ++this->counts.stale_answers;
        return;
    }
    if (!this->ready || newer.offset > this->current_state.offset) {
        this->install_state(std::move(newer), actions);
    }
    this->add_evidence(sent.sent);
}

auto follower_core::fold(const messages::log_record& item, follower_actions& actions) -> void
{
    const auto outcome = apply(this->current_state, item);
    if (outcome.step == fold_step::already_folded) {
        return;
    }
    this->recent_records.push(item);
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
    actions.log_messages.push_back(
        {log_level::warning,
         "record refused offset=" + text_of(item.offset) + " code=" + name + ": " + outcome.why});
}

auto follower_core::install_state(state newer, follower_actions& actions) -> void
{
    this->current_state = std::move(newer);
    this->recent_records.reset(this->current_state.offset);
    this->ready = true;
    ++this->counts.checkpoints_loaded;
    actions.changed = true;
    actions.log_messages.push_back(
        {log_level::info, "configuration loaded offset=" + text_of(this->current_state.offset)});
}

auto follower_core::update_after_fold(common::time_point now) -> void
{
    this->pending_withdrawals.update_state(this->current_state);
    if (this->current_state.checkpoint != this->last_checkpoint) {
        this->last_checkpoint = this->current_state.checkpoint;
        this->last_checkpoint_at = now;
    }
}

/// `as_of` is the time at which the request was sent: the response may have been delayed, or this
/// process suspended, for any time since.
auto follower_core::add_evidence(common::time_point as_of) -> void
{
    if (this->expected_offset > this->current_state.offset && as_of < this->expected_deadline) {
        return;
    }
    if (this->evidence && *this->evidence >= as_of) {
        return;
    }
    this->evidence = as_of;
    this->own_read_at =
        as_of + this->settings.own_read_after + this->add_jitter(this->settings.own_read_after / 2);
}

auto follower_core::expect(common::log_offset offset, common::time_point now) -> follower_actions
{
    follower_actions actions;
    if (offset > this->current_state.offset) {
        this->expected_offset = std::max(this->expected_offset, offset);
        this->expected_deadline = now + expected_read_timeout;
    }
    this->send_due_calls(now, actions);
    return actions;
}

auto follower_core::refresh(common::time_point now) -> follower_actions
{
    follower_actions actions;
    this->is_refresh_requested = true;
    this->send_due_calls(now, actions);
    return actions;
}

auto follower_core::next_wake(common::time_point now) const -> common::time_point
{
    auto wake = std::min(this->next_pull_at, now + this->settings.pull_period);
    if (this->read_in_flight) {
        const auto& sent = *this->read_in_flight;
        wake = std::min(wake, sent.sent + sent.wait + this->settings.call_timeout);
    }
    else if (this->wants_read(now)) {
        wake = std::min(wake, this->next_read_at);
    }
    return std::max(wake, now + min_sleep);
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
    if (!is_current || this->current_state.offset == common::log_offset{}) {
        return false;
    }
    const auto newest = this->current_state.checkpoint.value();
    if (this->current_state.offset.value() - newest >= this->settings.checkpoint_records) {
        return true;
    }
    // The log has trimmed records that a reader of the newest checkpoint needs.
    const auto is_trimmed = this->log_oldest.value() > newest + 1;
    const auto is_old = now >= this->last_checkpoint_at + this->settings.checkpoint_age;
    return is_trimmed || is_old;
}

auto follower_core::random_fraction() -> double
{
    constexpr double scale = 1.0 / 9007199254740992.0; // 2^-53
    return static_cast<double>(this->random() >> 11U) * scale;
}

/// Returns a random duration between half of the span and the whole, so that processes that fail at
/// the same time don't retry at the same time.
auto follower_core::add_jitter(common::duration span) -> common::duration
{
    const auto half = span / 2;
    const auto extra = static_cast<double>(half.count()) * this->random_fraction();
    return half + common::duration(static_cast<common::duration::rep>(extra));
}

} // namespace reedramp::inventory
