#include "wire/codec.hpp"

#include <utility>

#include "wire/codec_values.hpp"

namespace reedramp::wire {

namespace {

auto encode(const messages::run_key& from, schema::RunKey::Builder into) -> void
{
    wire::encode(from.request, into.initRequest());
    into.setAttempt(from.attempt.value());
    into.setIncarnation(from.incarnation.value());
}

auto decode(schema::RunKey::Reader from) -> messages::run_key
{
    return {
        wire::decode(from.getRequest()),
        common::attempt_number{from.getAttempt()},
        common::incarnation_id{from.getIncarnation()}};
}

auto encode(const messages::tokens_event& from, schema::Tokens::Builder into) -> void
{
    into.setFirstIndex(from.first_index);
    into.setCount(from.count);
    into.setText(as_data(from.text));
}

auto decode(schema::Tokens::Reader from) -> messages::tokens_event
{
    return {from.getFirstIndex(), from.getCount(), to_string(from.getText())};
}

auto encode(const messages::finished_event& from, schema::Finished::Builder into) -> void
{
    into.setHttpStatus(from.http_status);
    into.setContentType(as_text(from.content_type));
    into.setBody(as_data(from.body));
    wire::encode(from.used, into.initUsed());
    into.setFinishReason(as_text(from.finish_reason));
}

auto decode(schema::Finished::Reader from) -> messages::finished_event
{
    return {
        from.getHttpStatus(),
        to_string(from.getContentType()),
        to_string(from.getBody()),
        wire::decode(from.getUsed()),
        to_string(from.getFinishReason())};
}

/// A number that this build does not know, from a newer process, stays an error.
auto known_code(std::uint16_t number) -> common::result_code
{
    return common::row_of(static_cast<common::result_code>(number)).code;
}

} // namespace

auto encode(const common::error& from, common::time_point now, schema::Error::Builder into) -> void
{
    into.setCode(static_cast<std::uint16_t>(from.code));
    into.setRun(convert_enum<schema::Execution>(from.run));
    into.setDetail(as_text(from.detail));
    into.setHasRetry(from.retry_at.has_value());
    if (from.retry_at) {
        into.setRetryAfterNs((*from.retry_at - now).count());
    }
}

auto decode(schema::Error::Reader from, common::time_point now) -> common::error
{
    common::error into;
    into.code = known_code(from.getCode());
    into.run = check_enum(from.getRun(), common::execution::unknown);
    into.detail = to_string(from.getDetail());
    if (from.getHasRetry()) {
        into.retry_at = now + check_time(from.getRetryAfterNs());
    }
    return into;
}

auto encode(const messages::run_request& from, schema::RunRequest::Builder into) -> void
{
    encode(from.key, into.initKey());
    into.setKind(convert_enum<schema::WorkKind>(from.kind));
    into.setRepeat(convert_enum<schema::RepeatRule>(from.repeat));
    into.setOrganisation(as_text(from.organisation.value()));
    into.setTask(as_text(from.task.value()));
    into.setModel(as_text(from.model.value()));
    into.setVersion(as_text(from.version.value()));
    into.setService(as_text(from.service.value()));
    if (from.session) {
        into.setSession(as_text(from.session->value()));
    }
    into.setTimeLeftNs(from.time_left.count());
    into.setPriority(from.priority);
    into.setConfiguration(from.configuration.value());
    into.setStream(from.stream);
    into.setMaxTokens(from.max_tokens.value());
    into.setMethod(as_text(from.method));
    into.setPath(as_text(from.path));
    into.setBody(as_data(from.body));
    into.setContentType(as_text(from.content_type));
    into.setSentText(as_data(from.sent_text));
    into.setSentTokens(from.sent_tokens.value());
}

auto decode(schema::RunRequest::Reader from) -> messages::run_request
{
    messages::run_request into;
    into.key = decode(from.getKey());
    into.kind = check_enum(from.getKind(), messages::work_kind::service);
    into.repeat = check_enum(from.getRepeat(), messages::repeat_rule::at_most_once);
    into.organisation = common::organisation_id{to_string(from.getOrganisation())};
    into.task = common::task_name{to_string(from.getTask())};
    into.model = common::model_id{to_string(from.getModel())};
    into.version = common::version_id{to_string(from.getVersion())};
    into.service = common::service_name{to_string(from.getService())};
    if (from.hasSession()) {
        into.session = common::session_id{to_string(from.getSession())};
    }
    into.time_left = check_time(from.getTimeLeftNs());
    into.priority = from.getPriority();
    into.configuration = common::log_offset{from.getConfiguration()};
    into.stream = from.getStream();
    into.max_tokens = common::token_count{from.getMaxTokens()};
    into.method = to_string(from.getMethod());
    into.path = to_string(from.getPath());
    into.body = to_string(from.getBody());
    into.content_type = to_string(from.getContentType());
    into.sent_text = to_string(from.getSentText());
    into.sent_tokens = common::token_count{from.getSentTokens()};
    return into;
}

auto encode(
    const std::vector<messages::tokens_event>& from, capnp::List<schema::Tokens>::Builder into)
    -> void
{
    std::uint32_t index = 0;
    for (const auto& piece : from) {
        encode(piece, into[index]);
        ++index;
    }
}

auto decode(capnp::List<schema::Tokens>::Reader from) -> std::vector<messages::tokens_event>
{
    std::vector<messages::tokens_event> into;
    into.reserve(from.size());
    for (auto piece : from) {
        into.push_back(decode(piece));
    }
    return into;
}

auto encode(const messages::run_event& from, common::time_point now, schema::RunEnd::Builder into)
    -> void
{
    if (const auto* finished = std::get_if<messages::finished_event>(&from)) {
        encode(*finished, into.initFinished());
        return;
    }
    if (const auto* refused = std::get_if<messages::refused_event>(&from)) {
        auto builder = into.initRefused();
        encode(refused->why, now, builder.initWhy());
        builder.setRetryAfterNs(refused->retry_after.count());
        return;
    }
    const auto* failed = std::get_if<messages::failed_event>(&from);
    require(failed != nullptr, "tokens do not end a run");
    auto builder = into.initFailed();
    encode(failed->why, now, builder.initWhy());
    encode(failed->used, builder.initUsed());
}

auto decode(schema::RunEnd::Reader from, common::time_point now) -> messages::run_event
{
    switch (from.which()) {
    case schema::RunEnd::FINISHED:
        return decode(from.getFinished());
    case schema::RunEnd::REFUSED: {
        const auto refused = from.getRefused();
        return messages::refused_event{
            decode(refused.getWhy(), now), check_time(refused.getRetryAfterNs())};
    }
    case schema::RunEnd::FAILED: {
        const auto failed = from.getFailed();
        return messages::failed_event{decode(failed.getWhy(), now), decode(failed.getUsed())};
    }
    }
    require(false, "unknown end of a run");
    return {};
}

auto encode(const messages::outcome_query& from, schema::OutcomeQuery::Builder into) -> void
{
    encode(from.key, into.initKey());
    into.setRefuseIfUnknown(from.refuse_if_unknown);
}

auto decode(schema::OutcomeQuery::Reader from) -> messages::outcome_query
{
    return {decode(from.getKey()), from.getRefuseIfUnknown()};
}

auto encode(
    const messages::outcome_answer& from,
    common::time_point now,
    schema::OutcomeAnswer::Builder into) -> void
{
    into.setState(convert_enum<schema::OutcomeState>(from.state));
    if (from.finished) {
        encode(*from.finished, into.initFinished());
    }
    if (from.why) {
        encode(*from.why, now, into.initWhy());
    }
    encode(from.used, into.initUsed());
}

auto decode(schema::OutcomeAnswer::Reader from, common::time_point now) -> messages::outcome_answer
{
    messages::outcome_answer into;
    into.state = check_enum(from.getState(), messages::outcome_state::failed);
    if (from.hasFinished()) {
        into.finished = decode(from.getFinished());
    }
    if (from.hasWhy()) {
        into.why = decode(from.getWhy(), now);
    }
    into.used = decode(from.getUsed());
    return into;
}

auto encode(const messages::probe_request& from, schema::ProbeRequest::Builder into) -> void
{
    into.setVersion(as_text(from.version.value()));
    into.setPrefixHash(from.prefix_hash);
}

auto decode(schema::ProbeRequest::Reader from) -> messages::probe_request
{
    return {common::version_id{to_string(from.getVersion())}, from.getPrefixHash()};
}

auto encode(const messages::probe_answer& from, schema::ProbeAnswer::Builder into) -> void
{
    into.setServer(as_text(from.server.value()));
    into.setIncarnation(from.incarnation.value());
    into.setLeaving(from.leaving);
    into.setServesVersion(from.serves_version);
    into.setHoldsPrefix(from.holds_prefix);
    into.setInFlight(from.in_flight);
    into.setQueued(from.queued);
    into.setEstimatedWaitNs(from.estimated_wait.count());
    into.setConfiguration(from.configuration.value());
}

auto decode(schema::ProbeAnswer::Reader from) -> messages::probe_answer
{
    messages::probe_answer into;
    into.server = common::server_id{to_string(from.getServer())};
    into.incarnation = common::incarnation_id{from.getIncarnation()};
    into.leaving = from.getLeaving();
    into.serves_version = from.getServesVersion();
    into.holds_prefix = from.getHoldsPrefix();
    into.in_flight = from.getInFlight();
    into.queued = from.getQueued();
    into.estimated_wait = check_time(from.getEstimatedWaitNs());
    into.configuration = common::log_offset{from.getConfiguration()};
    return into;
}

} // namespace reedramp::wire
