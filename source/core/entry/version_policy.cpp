#include "entry/version_policy.hpp"

#include <algorithm>
#include <optional>
#include <string>

#include <xxhash.h>

#include "common/log.hpp"
#include "entry/prices.hpp"
#include "entry/version_chooser.hpp"
#include "inventory/rules.hpp"

namespace reedramp::entry {

namespace rules = inventory::rules;

namespace {

using version_list = std::vector<const inventory::version*>;

constexpr double permille = 1000.0;

auto contains_version(const version_list& versions, const common::version_id& id) -> bool
{
    return std::ranges::any_of(versions, [&id](const auto* one) { return one->id == id; });
}

/// Whether a completed roll-out has moved all new work of the version to an eligible later version.
auto is_replaced(
    const inventory::state& current, const version_list& eligible, const common::version_id& id)
    -> bool
{
    return std::ranges::any_of(current.rollouts, [&](const auto& entry) {
        const auto& item = entry.second;
        return item.from == id && item.status == inventory::rollout_status::completed &&
               contains_version(eligible, item.to);
    });
}

/// Versions that are chosen by cost and quality. A version that is being rolled out only gets the
/// share of its roll-out, and a replaced version gets no new work. If no other version is left, all
/// eligible versions are used.
auto established_versions(const inventory::state& current, const version_list& eligible)
    -> version_list
{
    version_list found;
    for (const auto* version : eligible) {
        const auto is_new =
            rules::stage_of(current, version->id) == inventory::version_stage::rollout;
        if (!is_new && !is_replaced(current, eligible, version->id)) {
            found.push_back(version);
        }
    }
    return found.empty() ? eligible : found;
}

/// Hash that decides whether a request is within the share of a roll-out; the same request id
/// always gives the same result.
auto share_hash(const version_query& query, const std::string& rollout) -> std::uint64_t
{
    return XXH3_64bits_withSeed(
        rollout.data(), rollout.size(), query.request.high ^ query.request.low);
}

auto rule_of(const inventory::state& current, const version_query& query)
    -> const inventory::task_rule*
{
    const auto* owner = rules::find_organisation(current, query.organisation);
    return owner == nullptr ? nullptr : rules::task_rule_of(*owner, query.task);
}

auto within_ceiling(const inventory::task_rule* rule, version_list versions) -> version_list
{
    if (rule != nullptr && rule->price_ceiling.value() > 0) {
        std::erase_if(versions, [rule](const auto* one) {
            return one->completion_price > rule->price_ceiling;
        });
    }
    return versions;
}

auto names_one_version(const version_query& query, const version_list& eligible) -> bool
{
    return eligible.size() == 1 && eligible.front()->id.value() == query.model;
}

auto named_decision(const inventory::version& version) -> version_decision
{
    return {version.model, version.id, std::string(to_string(policy::choice_reason::named)), {}};
}

} // namespace

version_policy::version_policy(version_policy_settings wanted)
    : settings(std::move(wanted)), quality(settings.quality), awaiting(settings.awaiting_limit),
      own_evidence(settings.rollouts.detector), rollouts(settings.rollouts)
{
}

auto version_policy::choose(
    const inventory::state& current, const version_query& query, double chance)
    -> common::result<version_decision>
{
    auto eligible = eligible_versions(current, query);
    if (!eligible) {
        return tl::unexpected(eligible.error());
    }
    const auto affordable = within_ceiling(rule_of(current, query), std::move(*eligible));
    if (affordable.empty()) {
        return common::failure(
            common::result_code::organisation_not_allowed,
            "all versions are above the price ceiling");
    }
    if (names_one_version(query, affordable)) {
        return named_decision(*affordable.front());
    }
    const auto candidates = established_versions(current, affordable);
    auto decision = this->choose_among(current, query, candidates, chance);
    if (!decision) {
        return decision;
    }
    return this->apply_rollout_share(current, query, affordable, std::move(*decision));
}

auto version_policy::options_for(
    const inventory::state& current,
    const version_query& query,
    const std::vector<const inventory::version*>& candidates) -> std::vector<policy::option>
{
    const messages::usage expected{query.prompt_tokens, query.max_tokens};
    std::vector<policy::option> options;
    options.reserve(candidates.size());
    for (const auto* version : candidates) {
        policy::option option;
        option.key.first = version->id;
        const auto prior = static_cast<double>(version->prior.mean.value()) / permille;
        this->quality.set_prior(option.key, query.task, prior);
        option.quality = this->quality.estimate(option.key, query.task);
        option.expected_cost = cost_of(current, version->id, expected);
        options.push_back(std::move(option));
    }
    return options;
}

auto version_policy::quality_price_of(const account_key& key) -> double
{
    const std::lock_guard guard(this->lock);
    return this->accounts[key].price();
}

auto version_policy::update_quality_account(
    const account_key& key,
    const policy::choice& made,
    const std::vector<policy::option>& options,
    double target) -> void
{
    if (made.reason != policy::choice_reason::mixed_at_target) {
        return;
    }
    const auto chosen = std::ranges::find(options, made.key, &policy::option::key);
    const auto most_expensive = std::ranges::max(options, {}, &policy::option::expected_cost);
    const std::lock_guard guard(this->lock);
    this->accounts[key].update(chosen->quality, target, most_expensive.expected_cost);
}

auto version_policy::choose_among(
    const inventory::state& current,
    const version_query& query,
    const std::vector<const inventory::version*>& candidates,
    double chance) -> common::result<version_decision>
{
    const auto options = this->options_for(current, query, candidates);
    const auto* rule = rule_of(current, query);
    // Callers choose task names freely, so accounts are only kept for tasks that a rule names.
    const account_key key{query.organisation, rule == nullptr ? common::task_name() : rule->task};
    policy::choice_input input;
    input.options = options;
    input.may_cascade = false;
    input.explore_share = query.for_session ? 0.0 : this->settings.explore_share;
    input.chance = chance;
    if (rule != nullptr) {
        input.quality_target = static_cast<double>(rule->quality_target.value()) / permille;
        input.quality_price = this->quality_price_of(key);
    }
    const auto made = policy::choose(input);
    if (!made) {
        return common::failure(common::result_code::no_capacity, "no version suits the request");
    }
    this->update_quality_account(key, *made, options, input.quality_target);
    version_decision decision;
    decision.version = made->key.first;
    decision.reason = std::string(policy::to_string(made->reason));
    if (made->runner_up) {
        decision.runner_up = made->runner_up->first;
    }
    const auto* version = rules::find_version(current, decision.version);
    decision.model = version == nullptr ? common::model_id() : version->model;
    return decision;
}

auto version_policy::apply_rollout_share(
    const inventory::state& current,
    const version_query& query,
    const std::vector<const inventory::version*>& eligible,
    version_decision decision) const -> version_decision
{
    for (const auto& [id, item] : current.rollouts) {
        const auto is_running = item.status == inventory::rollout_status::running;
        if (!is_running || item.from != decision.version || !contains_version(eligible, item.to)) {
            continue;
        }
        if (this->rollouts.has_alarm(item.to) ||
            !policy::is_in_rollout_share(share_hash(query, id), item.share)) {
            continue;
        }
        decision.runner_up = item.from;
        decision.version = item.to;
        decision.reason = std::string(policy::to_string(policy::choice_reason::rollout_share));
        break;
    }
    return decision;
}

auto version_policy::on_attempt(const inventory::state& current, const attempt_report& report)
    -> void
{
    const auto is_chat = report.kind == messages::work_kind::chat;
    const auto has_run = report.end == attempt_end::answered || report.end == attempt_end::failed ||
                         report.end == attempt_end::lost;
    if (!is_chat || !has_run) {
        return;
    }
    const auto failed = report.end != attempt_end::answered;
    this->own_evidence.on_run(
        current, {report.version, failed, report.elapsed > this->settings.slow_after});
}

auto version_policy::on_submitted(const common::request_id& request, control::rated_answer answer)
    -> void
{
    this->awaiting.add(request, std::move(answer));
}

auto version_policy::on_ratings(
    const inventory::state& current, const std::vector<platform::rating>& ratings) -> void
{
    for (const auto& rating : ratings) {
        const auto answer = this->awaiting.take(rating.request);
        if (!answer) {
            continue;
        }
        const auto has_drifted =
            this->quality.add({answer->version, {}}, answer->task, rating.score);
        this->own_evidence.on_rating(current, answer->version, rating.score);
        if (has_drifted) {
            common::log(
                common::log_part::policy,
                common::log_level::warning,
                "quality ratings have drifted version=" + answer->version.value() +
                    " task=" + answer->task.value());
        }
    }
}

auto version_policy::evidence() const -> std::vector<messages::version_evidence>
{
    return this->own_evidence.report();
}

auto version_policy::apply_evidence(const messages::gossip& gossip) -> void
{
    this->aggregator.apply_report(gossip);
}

auto version_policy::tick(
    const inventory::state& current, std::uint32_t rank, common::time_point now)
    -> std::vector<control::rollout_action>
{
    for (const auto& [id, item] : current.rollouts) {
        if (item.status == inventory::rollout_status::running) {
            this->own_evidence.set_pooled_baseline(current, this->aggregator.counts_of(item.from));
        }
    }
    return this->rollouts.decide(current, this->aggregator, rank, now);
}

} // namespace reedramp::entry
