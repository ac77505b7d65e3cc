#include "common/log.hpp"
#include "placement/affinity.hpp"
#include "router/log_fields.hpp"
#include "router/relay.hpp"

/// Part of `relay` that concerns requests which crash servers.
namespace reedramp::router {

using common::result_code;
using routing::attempt_end;
using routing::server_outcome;

namespace {

/// A server that a part crashes does not get far with the answer. One that has sent events for this
/// long was crashed by something else.
constexpr std::chrono::milliseconds harmless_after{500};

} // namespace

auto relay::fingerprint() -> routing::request_fingerprint
{
    if (!this->request.fingerprint) {
        this->request.fingerprint =
            this->core->fingerprint_of(this->request.original, this->request.caller);
    }
    return *this->request.fingerprint;
}

auto relay::shared_parts() -> const routing::part_set&
{
    if (!this->cached_parts) {
        const auto& parts = this->request.caller.parts;
        std::vector<routing::part_id> shared;
        // The last part is specific to this request or its session.
        for (std::size_t i = 0; i + 1 < parts.size() && i < routing::max_prompt_parts; ++i) {
            shared.push_back(routing::part_id_of(parts[i].id));
        }
        this->cached_parts = routing::make_part_set(std::move(shared));
    }
    return *this->cached_parts;
}

auto relay::streamed_for(const attempt& of) const -> std::chrono::milliseconds
{
    return of.has_events ? milliseconds_between(of.first_event, this->core->hooks.clock())
                         : std::chrono::milliseconds{0};
}

auto relay::prompt_for(const common::version_id& version) -> routing::prompt_traits
{
    const auto of_service = placement::affinity_hash(this->service.value());
    const auto of_version = placement::affinity_hash(version.value());
    const auto of_model =
        placement::affinity_hash(this->model.empty() ? this->request.caller.model : this->model);
    return {
        of_service,
        placement::affinity_weight(placement::affinity_weight(of_service, of_version), of_model),
        this->shared_parts()};
}

auto relay::find_bar() -> std::optional<routing::request_fingerprint>
{
    const auto& crashes = this->core->crashes;
    if (!crashes.has_barred()) {
        return std::nullopt;
    }
    if (const auto parts = crashes.find_barred_parts(this->prompt_for({}))) {
        return parts;
    }
    return crashes.is_barred(this->fingerprint()) ? std::optional{this->fingerprint()}
                                                  : std::nullopt;
}

auto relay::give_up_if_barred() -> bool
{
    const auto bar = this->ended ? std::nullopt : this->find_bar();
    if (!bar) {
        return false;
    }
    this->core->crashes.note_refused(*bar, this->core->hooks.clock());
    common::log(
        common::log_part::entry,
        common::log_level::info,
        "barred request=" + this->request.caller.attempt +
            owner_fields(this->request.owner, this->rank()) + " print=" + to_string(*bar) +
            " sends=" + std::to_string(this->ledger.sends()));
    this->give_up(result_code::ends_servers);
    return true;
}

auto relay::on_barred() -> void
{
    const bool has_begun = this->is_streaming || (this->current != nullptr &&
                                                  this->current->head_verdict != verdict::none);
    if (this->ended || has_begun || !this->find_bar()) {
        return;
    }
    if (this->current != nullptr && !this->current->ended) {
        // The interruption says nothing about the server.
        this->abandon(this->current, attempt_end::unknown, server_outcome::refused);
    }
    this->give_up_if_barred();
}

auto relay::evidence_of(const attempt& of) -> run_evidence
{
    run_evidence evidence{this->fingerprint(), this->prompt_for(of.version), of.server, of.sent};
    evidence.is_harmless = this->streamed_for(of) >= harmless_after;
    return evidence;
}

auto relay::note_lost(const attempt& of) -> void
{
    this->core->note_lost(this->evidence_of(of));
}

auto relay::note_served(const attempt& of, const http::response& answer) -> void
{
    if (!answer.ended_by_close) {
        if (this->core->crashes.has_suspects()) {
            this->core->note_served(this->evidence_of(of));
        }
        return;
    }
    // The end of the connection may have been the server's own. Its other requests show that soon.
    const auto ended_at = this->core->hooks.clock();
    const auto window = this->core->options.crashes.correlation_window;
    this->core->hooks.timer(
        ended_at + window, [core = this->core, evidence = this->evidence_of(of), ended_at, window] {
            if (core->crashes.has_crashed(evidence.server, ended_at - window)) {
                core->note_lost(evidence);
            }
            else if (core->crashes.has_suspects()) {
                core->note_served(evidence);
            }
        });
}

} // namespace reedramp::router
