#include "wire/codec.hpp"

#include "wire/codec_values.hpp"

namespace reedramp::wire {

namespace {

auto encode(const messages::log_record& from, schema::LogRecord::Builder into) -> void
{
    into.setOffset(from.offset.value());
    into.setData(as_data(from.data));
}

auto decode(schema::LogRecord::Reader from) -> messages::log_record
{
    return {common::log_offset{from.getOffset()}, to_string(from.getData())};
}

auto encode(const messages::withdrawal& from, schema::Withdrawal::Builder into) -> void
{
    into.setVersion(as_text(from.version.value()));
    into.setRecord(as_text(from.record.value()));
    into.setProof(as_data(from.proof));
}

auto decode(schema::Withdrawal::Reader from) -> messages::withdrawal
{
    return {
        common::version_id{to_string(from.getVersion())},
        common::record_id{to_string(from.getRecord())},
        to_string(from.getProof())};
}

auto encode(const messages::bill_line& from, schema::BillLine::Builder into) -> void
{
    into.setVersion(as_text(from.version.value()));
    into.setServer(as_text(from.server.value()));
    wire::encode(from.used, into.initUsed());
    into.setCost(from.cost.value());
}

auto decode(schema::BillLine::Reader from) -> messages::bill_line
{
    return {
        common::version_id{to_string(from.getVersion())},
        common::server_id{to_string(from.getServer())},
        wire::decode(from.getUsed()),
        common::micro_money{from.getCost()}};
}

auto encode(const messages::version_evidence& from, schema::VersionEvidence::Builder into) -> void
{
    into.setVersion(as_text(from.version.value()));
    into.setRequests(from.requests);
    into.setErrors(from.errors);
    into.setRatings(from.ratings);
    into.setRatingSum(from.rating_sum);
    into.setSlow(from.slow);
    auto wealth = into.initLogWealth(static_cast<kj::uint>(from.log_wealth.size()));
    std::uint32_t index = 0;
    for (const double value : from.log_wealth) {
        wealth.set(index, value);
        ++index;
    }
}

auto decode(schema::VersionEvidence::Reader from) -> messages::version_evidence
{
    messages::version_evidence into;
    into.version = common::version_id{to_string(from.getVersion())};
    into.requests = from.getRequests();
    into.errors = from.getErrors();
    into.ratings = from.getRatings();
    into.rating_sum = check_number(from.getRatingSum());
    into.slow = from.getSlow();
    for (const double value : from.getLogWealth()) {
        into.log_wealth.push_back(check_number(value));
    }
    return into;
}

auto encode(const messages::limit_demand& from, schema::LimitDemand::Builder into) -> void
{
    into.setOrganisation(as_text(from.organisation.value()));
    into.setScope(convert_enum<schema::DemandScope>(from.scope));
    into.setEntries(from.entries);
    into.setRequestsPerMinute(from.requests_per_minute);
    into.setTokensPerMinute(from.tokens_per_minute);
    into.setMoneyPerMinute(from.money_per_minute);
    into.setAdmittedRequestsPerMinute(from.admitted_requests_per_minute);
    into.setAdmittedTokensPerMinute(from.admitted_tokens_per_minute);
    into.setAdmittedMoneyPerMinute(from.admitted_money_per_minute);
}

auto decode(schema::LimitDemand::Reader from) -> messages::limit_demand
{
    messages::limit_demand into;
    into.organisation = common::organisation_id{to_string(from.getOrganisation())};
    into.scope = check_enum(from.getScope(), messages::demand_scope::fleet);
    into.entries = from.getEntries();
    into.requests_per_minute = check_number(from.getRequestsPerMinute());
    into.tokens_per_minute = check_number(from.getTokensPerMinute());
    into.money_per_minute = check_number(from.getMoneyPerMinute());
    into.admitted_requests_per_minute = check_number(from.getAdmittedRequestsPerMinute());
    into.admitted_tokens_per_minute = check_number(from.getAdmittedTokensPerMinute());
    into.admitted_money_per_minute = check_number(from.getAdmittedMoneyPerMinute());
    return into;
}

// A bill holds a list itself, so that it comes after the two templates, which must know of it.
auto encode(const messages::bill& from, schema::Bill::Builder into) -> void;
auto decode(schema::Bill::Reader from) -> messages::bill;

template <typename Items, typename ListBuilder>
auto encode_list(const Items& from, ListBuilder into) -> void
{
    std::uint32_t index = 0;
    for (const auto& item : from) {
        encode(item, into[index]);
        ++index;
    }
}

template <typename Item, typename ListReader>
auto decode_list(ListReader from) -> std::vector<Item>
{
    std::vector<Item> into;
    into.reserve(from.size());
    for (const auto item : from) {
        into.push_back(decode(item));
    }
    return into;
}

template <typename Items>
auto list_size(const Items& items) -> kj::uint
{
    return static_cast<kj::uint>(items.size());
}

auto encode(const messages::bill& from, schema::Bill::Builder into) -> void
{
    wire::encode(from.request, into.initRequest());
    into.setOrganisation(as_text(from.organisation.value()));
    into.setTask(as_text(from.task.value()));
    encode_list(from.lines, into.initLines(list_size(from.lines)));
    into.setAt(from.at.value());
}

auto decode(schema::Bill::Reader from) -> messages::bill
{
    return {
        wire::decode(from.getRequest()),
        common::organisation_id{to_string(from.getOrganisation())},
        common::task_name{to_string(from.getTask())},
        decode_list<messages::bill_line>(from.getLines()),
        common::wall_time_ms{from.getAt()}};
}

} // namespace

auto encode(const messages::configuration_pull& from, schema::ConfigurationPull::Builder into)
    -> void
{
    into.setHave(from.have.value());
    encode_list(from.withdrawals, into.initWithdrawals(list_size(from.withdrawals)));
}

auto decode(schema::ConfigurationPull::Reader from) -> messages::configuration_pull
{
    return {
        common::log_offset{from.getHave()},
        decode_list<messages::withdrawal>(from.getWithdrawals())};
}

auto encode(const messages::configuration_push& from, schema::ConfigurationPush::Builder into)
    -> void
{
    into.setOffset(from.offset.value());
    into.setEvidenceAgeNs(from.evidence_age.count());
    encode_list(from.records, into.initRecords(list_size(from.records)));
    into.setCheckpoint(as_data(from.checkpoint));
    encode_list(from.withdrawals, into.initWithdrawals(list_size(from.withdrawals)));
}

auto decode(schema::ConfigurationPush::Reader from) -> messages::configuration_push
{
    messages::configuration_push into;
    into.offset = common::log_offset{from.getOffset()};
    into.evidence_age = check_age(from.getEvidenceAgeNs());
    into.records = decode_list<messages::log_record>(from.getRecords());
    into.checkpoint = to_string(from.getCheckpoint());
    into.withdrawals = decode_list<messages::withdrawal>(from.getWithdrawals());
    return into;
}

auto encode(const messages::claim_request& from, schema::ClaimRequest::Builder into) -> void
{
    into.setOrganisation(as_text(from.organisation.value()));
    encode(from.key, into.initKey());
    into.setBody(from.body);
    encode(from.request, into.initRequest());
    into.setServer(as_text(from.server.value()));
    into.setIncarnation(from.incarnation.value());
    into.setAttempt(from.attempt.value());
    into.setReplaces(from.replaces.value());
    into.setVersion(as_text(from.version.value()));
}

auto decode(schema::ClaimRequest::Reader from) -> messages::claim_request
{
    messages::claim_request into;
    into.organisation = common::organisation_id{to_string(from.getOrganisation())};
    into.key = decode(from.getKey());
    into.body = from.getBody();
    into.request = decode(from.getRequest());
    into.server = common::server_id{to_string(from.getServer())};
    into.incarnation = common::incarnation_id{from.getIncarnation()};
    into.attempt = common::attempt_number{from.getAttempt()};
    into.replaces = common::log_offset{from.getReplaces()};
    into.version = common::version_id{to_string(from.getVersion())};
    return into;
}

auto encode(
    const messages::claim_answer& from, common::time_point now, schema::ClaimAnswer::Builder into)
    -> void
{
    into.setState(convert_enum<schema::ClaimState>(from.state));
    encode(from.holder, into.initHolder());
    into.setOffset(from.offset.value());
    if (from.why) {
        encode(*from.why, now, into.initWhy());
    }
}

auto decode(schema::ClaimAnswer::Reader from, common::time_point now) -> messages::claim_answer
{
    messages::claim_answer into;
    into.state = check_enum(from.getState(), messages::claim_state::refused);
    into.holder = decode(from.getHolder());
    into.offset = common::log_offset{from.getOffset()};
    if (from.hasWhy()) {
        into.why = decode(from.getWhy(), now);
    }
    return into;
}

auto encode(const messages::bill_handover& from, schema::BillHandover::Builder into) -> void
{
    encode_list(from.bills, into.initBills(list_size(from.bills)));
}

auto decode(schema::BillHandover::Reader from) -> messages::bill_handover
{
    return {decode_list<messages::bill>(from.getBills())};
}

auto encode(const messages::gossip& from, schema::Gossip::Builder into) -> void
{
    into.setFrom(as_text(from.from.value()));
    into.setSequence(from.sequence);
    into.setConfiguration(from.configuration.value());
    encode_list(from.evidence, into.initEvidence(list_size(from.evidence)));
    encode_list(from.demand, into.initDemand(list_size(from.demand)));
}

auto decode(schema::Gossip::Reader from) -> messages::gossip
{
    messages::gossip into;
    into.from = common::host_id{to_string(from.getFrom())};
    into.sequence = from.getSequence();
    into.configuration = common::log_offset{from.getConfiguration()};
    into.evidence = decode_list<messages::version_evidence>(from.getEvidence());
    into.demand = decode_list<messages::limit_demand>(from.getDemand());
    return into;
}

} // namespace reedramp::wire
