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

/// Said by a process that has no evidence; also the bound of an age that is believed.
constexpr common::duration no_evidence = std::chrono::hours(24 * 365);

/// A new process pulls this many times as often until it is ready.
constexpr int pull_speed_up = 4;

/// Author of a withdrawal that this process appends for another one.
constexpr auto adopter = "reedramp";

} // namespace

auto follower_core::send_pull(common::time_point now, follower_actions& actions) -> void
{
    const auto period = this->settings.pull_period;
    this->next_pull_at =
        now + (this->ready ? this->spread(period) + period / 4 : period / pull_speed_up);
    const auto& tailers = this->around.tailers;
    const auto use_tailers = this->pull_tailer_next && !tailers.empty();
    const auto& choices = use_tailers ? tailers : this->around.peers;
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
    this->pulls_under_way.emplace(ticket, now);
    ++this->counts.peer_pulls;
    actions.pulls.push_back({to, {this->folded.offset, this->pending.list()}, ticket});
}

/// A pull carries the withdrawals that wait for the log, so it tells them as well.
auto follower_core::tell_peers(common::time_point now, follower_actions& actions) -> void
{
    const auto& peers = this->around.peers;
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
    const auto sent = this->pulls_under_way.extract(ticket);
    if (sent.empty()) {
        return actions;
    }
    if (!answer) {
        ++this->counts.peer_failures;
        ++this->failed_pulls;
    }
    else {
        this->take_push(*answer, sent.mapped(), now, actions);
    }
    this->settle(now);
    this->step(now, actions);
    return actions;
}

auto follower_core::take_push(
    const messages::configuration_push& push,
    common::time_point sent,
    common::time_point now,
    follower_actions& actions) -> void
{
    this->take_withdrawals(push.withdrawals, now, actions);
    const auto has_evidence =
        push.evidence_age >= common::duration{} && push.evidence_age < no_evidence;
    if (push.offset == common::log_offset{} && !has_evidence) {
        // The peer is itself not ready.
        ++this->failed_pulls;
        return;
    }
    if (push.offset < this->folded.offset) {
        ++this->counts.stale_answers;
        return;
    }
    const auto before = this->folded.offset;
    if (!push.checkpoint.empty()) {
        this->take_peer_checkpoint(push.checkpoint, actions);
    }
    for (const auto& item : push.records) {
        this->fold(item, actions);
    }
    if (this->folded.offset > before) {
        // The peer was faster than the search of the log.
        this->scan.reset();
    }
    if (this->folded.offset < push.offset) {
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

auto follower_core::take_peer_checkpoint(const std::string& text, follower_actions& actions) -> void
{
    auto sound = parse_checkpoint(text);
    if (!sound) {
        ++this->counts.bad_checkpoints;
        actions.notes.push_back(
            {log_level::warning, "a peer's checkpoint is refused: " + sound.error().detail});
        return;
    }
    if (!this->ready || sound->offset > this->folded.offset) {
        this->install(std::move(*sound), actions);
    }
}

auto follower_core::take_withdrawals(
    const std::vector<messages::withdrawal>& items,
    common::time_point now,
    follower_actions& actions) -> void
{
    auto has_new = false;
    for (const auto& item : items) {
        has_new = this->take_withdrawal(item, now, actions) || has_new;
    }
    if (!has_new) {
        return;
    }
    this->pending.settle(this->folded);
    actions.changed = true;
    this->tell_peers(now, actions);
}

auto follower_core::take_withdrawal(
    const messages::withdrawal& item, common::time_point now, follower_actions& actions) -> bool
{
    if (this->folded.is_withdrawn(item.version)) {
        return false;
    }
    if (!is_proven(this->key, item)) {
        ++this->counts.forged_withdrawals;
        actions.notes.push_back(
            {log_level::error, "withdrawal without proof version=" + item.version.value()});
        return false;
    }
    pending_withdrawal made;
    made.item = item;
    made.author = adopter;
    made.append_at = now + this->settings.adopt_withdrawal_after +
                     this->spread(this->settings.adopt_withdrawal_after);
    made.read_after = made.append_at;
    if (this->pending.add(std::move(made)) == add_step::full) {
        ++this->counts.dropped_withdrawals;
        actions.notes.push_back(
            {log_level::error, "no room for withdrawal version=" + item.version.value()});
        return false;
    }
    actions.notes.push_back(
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
        return failure(result_code::not_ready, "no configuration yet");
    }
    if (!this->folded.versions.contains(version)) {
        return failure(result_code::not_found, "version " + version.value());
    }
    if (this->folded.is_withdrawn(version)) {
        return {};
    }
    if (this->folded.find_outcome(record) != nullptr) {
        return failure(result_code::conflict, "record id " + record.value() + " was used before");
    }
    pending_withdrawal made;
    made.item = {version, record, withdrawal_proof(this->key, version, record)};
    made.author = author;
    made.is_own = true;
    made.append_at = now;
    if (this->pending.add(std::move(made)) == add_step::full) {
        return failure(result_code::queue_full, "too many withdrawals wait for the log");
    }
    this->settle(now);
    actions.changed = true;
    actions.notes.push_back(
        {log_level::warning, "withdrawn version=" + version.value() + " by=" + author});
    this->tell_peers(now, actions);
    this->step(now, actions);
    return {};
}

auto follower_core::send_appends(common::time_point now, follower_actions& actions) -> void
{
    if (this->pending.empty()) {
        return;
    }
    const auto answer_until = now + this->settings.answer_time;
    const auto due =
        this->pending.take_due(now, this->evidence, this->around.is_tailer, answer_until);
    for (const auto& item : due) {
        if (this->folded.find_outcome(item.item.record) != nullptr) {
            // The id was used for another record, so this one would be taken for a repeat.
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
        this->pending.refused(version, now + this->spread(this->settings.retry_last));
    }
    else {
        this->pending.answered(version, now);
        this->refresh_wanted = true;
    }
    this->step(now, actions);
    return actions;
}

auto follower_core::on_pull(
    const messages::configuration_pull& pull, common::time_point now, follower_actions& actions)
    -> pull_reply
{
    this->take_withdrawals(pull.withdrawals, now, actions);
    pull_reply reply;
    reply.push.withdrawals = this->pending.list();
    reply.push.evidence_age = no_evidence;
    if (!this->ready) {
        return reply;
    }
    reply.push.offset = this->folded.offset;
    if (this->evidence) {
        reply.push.evidence_age = std::min(now - *this->evidence, no_evidence);
    }
    if (pull.have >= this->folded.offset) {
        return reply;
    }
    auto records = this->kept.after(pull.have);
    reply.needs_checkpoint = !records;
    reply.push.records = std::move(records).value_or(std::vector<messages::log_record>{});
    return reply;
}

} // namespace reedramp::inventory
