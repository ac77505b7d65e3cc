#include <utility>

#include "common/log.hpp"
#include "control/proposal.hpp"
#include "daemon/clock.hpp"
#include "entry_process.hpp"
#include "inventory/checkpoint.hpp"

/// Periodic work, once a second: gossip with the other entries, ratings, roll-outs, checkpoints.
namespace reedramp::entry_program {

namespace {

constexpr common::duration tick_period = std::chrono::seconds(1);
/// Number of randomly selected entries that receive this entry's evidence each second, in addition
/// to those that receive its demand.
constexpr std::size_t evidence_fan_out = 3;
constexpr auto rollout_rank_key = "rollouts";
constexpr auto checkpoint_rank_key = "checkpoints";

} // namespace

auto entry_process::schedule_tick() -> void
{
    this->threads.timers()(daemon::boot_time() + tick_period, [this] {
        this->send_gossip();
        this->fetch_ratings();
        this->advance_rollouts();
        this->append_checkpoint();
        this->schedule_tick();
    });
}

auto entry_process::make_gossip() -> messages::gossip
{
    messages::gossip gossip;
    gossip.from = this->settings.self.host;
    gossip.sequence = ++this->gossip_sequence;
    gossip.configuration = this->follower->snapshot()->offset;
    gossip.evidence = this->versions->evidence();
    return gossip;
}

auto entry_process::send_gossip_to(const messages::rpc_address& to, messages::gossip gossip) -> void
{
    this->peers->peers().talk(
        to, std::move(gossip), [this](const common::result<messages::gossip>& answer) {
            if (!answer) {
                return;
            }
            this->versions->apply_evidence(*answer);
            this->limiter->on_answer(answer->from, answer->demand, daemon::boot_time());
        });
}

auto entry_process::send_gossip() -> void
{
    for (auto& report : this->limiter->make_reports(daemon::boot_time())) {
        const auto address = this->hosts->address_of(report.to);
        if (address.value().empty()) {
            continue;
        }
        auto gossip = this->make_gossip();
        gossip.demand = std::move(report.rows);
        this->send_gossip_to(address, std::move(gossip));
    }
    auto gossip = this->make_gossip();
    this->versions->apply_evidence(gossip);
    if (gossip.evidence.empty()) {
        return;
    }
    auto others = this->hosts->entries();
    for (std::size_t count = 0; count < evidence_fan_out && !others.empty(); ++count) {
        std::swap(others[daemon::random_bits() % others.size()], others.back());
        this->send_gossip_to(others.back().rpc, gossip);
        others.pop_back();
    }
}

auto entry_process::answer_gossip(const messages::gossip& gossip) -> messages::gossip
{
    this->versions->apply_evidence(gossip);
    auto answer = this->make_gossip();
    answer.demand = this->limiter->on_report(gossip.from, gossip.demand, daemon::boot_time());
    return answer;
}

auto entry_process::submit_for_rating(entry::rated_chat item) -> void
{
    this->versions->on_submitted(item.request, {item.version, item.organisation, item.task});
    this->ratings.submit(item.request, std::move(item.question), std::move(item.answer));
}

/// Allows only one fetch at a time; otherwise fetches would pile up while the rating service is
/// slow.
auto entry_process::fetch_ratings() -> void
{
    if (this->fetching_ratings.exchange(true)) {
        return;
    }
    this->ratings.fetch(
        this->ratings_read, [this](const common::result<platform::rating_page>& page) {
            if (page) {
                this->ratings_read = page->next;
                this->versions->on_ratings(*this->follower->snapshot(), page->ratings);
            }
            this->fetching_ratings = false;
        });
}

auto entry_process::advance_rollouts() -> void
{
    if (!this->follower->ready()) {
        return;
    }
    const auto rank = this->hosts->rank_of_self(rollout_rank_key);
    const auto state = this->follower->snapshot();
    for (const auto& action : this->versions->tick(*state, rank, daemon::boot_time())) {
        this->propose(action);
    }
}

/// Appends a checkpoint if one is due. New processes start from it once the log has dropped its
/// first records.
auto entry_process::append_checkpoint() -> void
{
    const auto rank = this->hosts->rank_of_self(checkpoint_rank_key);
    const auto is_due = this->follower->checkpoint_due();
    if (!this->checkpoints.should_append(is_due, rank, daemon::boot_time())) {
        return;
    }
    const auto state = this->follower->snapshot();
    this->log.append(
        platform::streams::configuration,
        inventory::format_checkpoint(*state),
        [offset = state->offset](const common::result<common::log_offset>& answer) {
            const auto outcome =
                answer ? std::string("ok") : std::string(common::row_of(answer.error().code).name);
            common::log(
                common::log_part::config,
                answer ? common::log_level::info : common::log_level::warning,
                "checkpoint appended=" + outcome + " of=" + std::to_string(offset.value()));
        });
}

auto entry_process::propose(const control::rollout_action& action) -> void
{
    const auto record =
        control::to_record(action, *this->follower->snapshot(), daemon::wall_time());
    if (!record) {
        return;
    }
    this->publisher->publish(
        *record,
        daemon::boot_time() + this->settings.publish_timeout,
        [this, action, id = record->id](const common::result<inventory::publication>& answer) {
            const auto outcome = answer ? std::string("accepted")
                                        : std::string(common::row_of(answer.error().code).name);
            common::log(
                common::log_part::rollout,
                common::log_level::info,
                "roll-out proposal " + outcome + " id=" + id.value());
            const auto* stop = std::get_if<control::propose_stop>(&action);
            const auto is_withdrawal =
                stop != nullptr && stop->response == control::alarm_response::withdraw;
            if (answer || !is_withdrawal) {
                return;
            }
            // The withdrawal could not be published; it is propagated between the processes
            // instead.
            this->follower->withdraw(stop->version, id, "rollout-controller");
        });
}

} // namespace reedramp::entry_program
