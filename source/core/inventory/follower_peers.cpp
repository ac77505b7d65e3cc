#include <algorithm>
#include <utility>

#include "inventory/checkpoint.hpp"
#include "inventory/follower_core.hpp"
#include "inventory/withdrawals.hpp"

namespace reedramp::inventory {

using common::failure;
using common::log_level;
using common::result_code;

namespace {

/// Evidence age reported by a process without evidence; larger ages are not accepted either.
constexpr common::duration no_evidence = std::chrono::hours(24 * 365);

/// Factor by which a process pulls more often until it is ready.
constexpr int pull_speed_up = 4;

/// Author of a withdrawal that this process appends in place of another one.
constexpr auto takeover_author = "reedramp";

} // namespace

auto follower_core::send_pull(common::time_point now, follower_actions& actions) -> void
{
    const auto period = this->settings.pull_period;
    this->next_pull_at =
        now + (this->ready ? this->add_jitter(period) + period / 4 : period / pull_speed_up);
    const auto& tailers = this->environment.tailers;
    const auto use_tailers = this->pull_tailer_next && !tailers.empty();
    const auto& choices = use_tailers ? tailers : this->environment.peers;
    this->pull_tailer_next = !this->pull_tailer_next;
    if (choices.empty()) {
        return;
    }
    this->pull_from(choices[this->random() % choices.size()], now, actions);
}

auto follower_core::pull_from(
    const messages::rpc_address& to, common::time_point now, follower_actions& actions) -> void
{
    const auto ticket = ++this->last_ticket;
    this->pulls_in_flight.emplace(ticket, now);
    ++this->counts.peer_pulls;
    actions.pulls.push_back(
        {to, {this->current_state.offset, this->pending_withdrawals.list()}, ticket});
}

/// Sends the pending withdrawals to random peers; each pull carries them.
auto follower_core::send_withdrawals(common::time_point now, follower_actions& actions) -> void
{
    const auto& peers = this->environment.peers;
    const auto count = peers.empty() ? 0 : this->settings.withdrawal_fan_out;
    for (std::size_t index = 0; index < count; ++index) {
        this->pull_from(peers[this->random() % peers.size()], now, actions);
    }
}

auto follower_core::on_push(
    std::uint64_t ticket,
    const common::result<messages::configuration_push>& answer,
    common::time_point now) -> follower_actions
{
    follower_actions actions;
    const auto sent = this->pulls_in_flight.extract(ticket);
    if (sent.empty()) {
        return actions;
    }
    if (!answer) {
        ++this->counts.peer_failures;
        ++this->failed_pulls;
    }
    else {
        this->apply_push(*answer, sent.mapped(), now, actions);
    }
    this->update_after_fold(now);
    this->send_due_calls(now, actions);
    return actions;
}

auto follower_core::apply_push(
    const messages::configuration_push& push,
    common::time_point sent,
    common::time_point now,
    follower_actions& actions) -> void
{
    this->apply_withdrawals(push.withdrawals, now, actions);
    const auto has_evidence =
        push.evidence_age >= common::duration{} && push.evidence_age < no_evidence;
    if (push.offset == common::log_offset{} && !has_evidence) {
        // The peer is not ready either.
        ++this->failed_pulls;
        return;
    }
    if (push.offset < this->current_state.offset) {
        ++this->counts.stale_answers;
        return;
    }
    const auto before = this->current_state.offset;
    if (!push.checkpoint.empty()) {
        this->apply_peer_checkpoint(push.checkpoint, actions);
    }
    for (const auto& item : push.records) {
        this->fold(item, actions);
    }
    if (this->current_state.offset > before) {
        // The peer was faster than the scan of the log.
        this->scan.reset();
    }
    if (this->current_state.offset < push.offset) {
        ++this->counts.peer_failures;
        ++this->failed_pulls;
        return;
    }
    this->failed_pulls = 0;
    actions.changed = actions.changed || !this->ready;
    this->ready = true;
    if (has_evidence) {
        this->add_evidence(sent - push.evidence_age);
    }
}

auto follower_core::apply_peer_checkpoint(const std::string& text, follower_actions& actions)
    -> void
{
    auto sound = parse_checkpoint(text);
    if (!sound) {
        ++this->counts.bad_checkpoints;
        actions.log_messages.push_back(
            {log_level::warning, "checkpoint from a peer rejected: " + sound.error().detail});
        return;
    }
    if (!this->ready || sound->offset > this->current_state.offset) {
        this->install_state(std::move(*sound), actions);
    }
}

auto follower_core::apply_withdrawals(
    const std::vector<messages::withdrawal>& items,
    common::time_point now,
    follower_actions& actions) -> void
{
    auto has_new = false;
    for (const auto& item : items) {
        has_new = this->apply_withdrawal(item, now, actions) || has_new;
    }
    if (!has_new) {
        return;
    }
    this->pending_withdrawals.update_state(this->current_state);
    actions.changed = true;
    this->send_withdrawals(now, actions);
}

auto follower_core::apply_withdrawal(
    const messages::withdrawal& item, common::time_point now, follower_actions& actions) -> bool
{
    if (this->current_state.is_withdrawn(item.version)) {
        return false;
    }
    if (!has_valid_proof(this->key, item)) {
        ++this->counts.forged_withdrawals;
        actions.log_messages.push_back(
            {log_level::error,
             "withdrawal without a valid proof ignored version=" + item.version.value()});
        return false;
    }
    pending_withdrawal made;
    made.item = item;
    made.author = takeover_author;
    made.append_at = now + this->settings.withdrawal_takeover_delay +
                     this->add_jitter(this->settings.withdrawal_takeover_delay);
    made.read_after = made.append_at;
    if (this->pending_withdrawals.add(std::move(made)) == add_step::full) {
        ++this->counts.dropped_withdrawals;
        actions.log_messages.push_back(
            {log_level::error,
             "too many pending withdrawals; dropped version=" + item.version.value()});
        return false;
    }
    actions.log_messages.push_back(
        {log_level::warning, "withdrawn by a peer version=" + item.version.value()});
    return true;
}

auto follower_core::withdraw(
    const common::version_id& version,
    const common::record_id& record,
    const std::string& author,
    common::time_point now,
    follower_actions& actions) -> common::result<void>
{
    if (!this->ready) {
        return failure(result_code::not_ready, "no configuration has been loaded yet");
    }
    if (!this->current_state.versions.contains(version)) {
        return failure(result_code::not_found, "version " + version.value());
    }
    if (this->current_state.is_withdrawn(version)) {
        return {};
    }
    if (this->current_state.find_outcome(record) != nullptr) {
        return failure(result_code::conflict, "record id " + record.value() + " was used before");
    }
    pending_withdrawal made;
    made.item = {version, record, withdrawal_proof(this->key, version, record)};
    made.author = author;
    made.is_own = true;
    made.append_at = now;
    if (this->pending_withdrawals.add(std::move(made)) == add_step::full) {
        return failure(result_code::queue_full, "too many withdrawals are waiting for the log");
    }
    this->update_after_fold(now);
    actions.changed = true;
    actions.log_messages.push_back(
        {log_level::warning, "withdrawn version=" + version.value() + " by=" + author});
    this->send_withdrawals(now, actions);
    this->send_due_calls(now, actions);
    return {};
}

auto follower_core::send_appends(common::time_point now, follower_actions& actions) -> void
{
    if (this->pending_withdrawals.empty()) {
        return;
    }
    const auto append_deadline = now + this->settings.call_timeout;
    const auto due = this->pending_withdrawals.take_due(
        now, this->evidence, this->environment.is_tailer, append_deadline);
    for (const auto& item : due) {
        if (this->current_state.find_outcome(item.item.record) != nullptr) {
            // The id was used by another record, so this one would be ignored as a duplicate.
            continue;
        }
        record made;
        made.id = item.item.record;
        made.author = item.author;
        made.changes.emplace_back(withdraw_change{item.item.version});
        actions.appends.push_back({item.item.version, std::move(made)});
    }
}

auto follower_core::on_append(
    const common::version_id& version,
    const common::result<common::log_offset>& answer,
    common::time_point now) -> follower_actions
{
    follower_actions actions;
    const auto is_refused = !answer && answer.error().run == common::execution::not_run;
    if (is_refused) {
        this->pending_withdrawals.on_append_refused(
            version, now + this->add_jitter(this->settings.max_retry_wait));
    }
    else {
        this->pending_withdrawals.on_append_answered(version, now);
        this->is_refresh_requested = true;
    }
    this->send_due_calls(now, actions);
    return actions;
}

auto follower_core::on_pull(
    const messages::configuration_pull& pull, common::time_point now, follower_actions& actions)
    -> pull_reply
{
    this->apply_withdrawals(pull.withdrawals, now, actions);
    pull_reply reply;
    reply.push.withdrawals = this->pending_withdrawals.list();
    reply.push.evidence_age = no_evidence;
    if (!this->ready) {
        return reply;
    }
    reply.push.offset = this->current_state.offset;
    if (this->evidence) {
        reply.push.evidence_age = std::min(now - *this->evidence, no_evidence);
    }
    if (pull.have >= this->current_state.offset) {
        return reply;
    }
    auto records = this->recent_records.after(pull.have);
    reply.needs_checkpoint = !records;
    reply.push.records = std::move(records).value_or(std::vector<messages::log_record>{});
    return reply;
}

} // namespace reedramp::inventory
