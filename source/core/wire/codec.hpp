#pragma once

#include <vector>

#include "common/result.hpp"
#include "messages/peer.hpp"
#include "messages/run.hpp"
#include "wire/generated/reedramp.capnp.h"

/// Translates between `messages` and the schema. Only `wire` and its tests include this.
///
/// `decode` throws `kj::Exception` on a value that no process of the system sends: an enumerator or
/// a number out of range, or a message whose pointers are broken. Cap'n Proto throws the same from
/// its readers, and its RPC turns it into the failure of that one call.
namespace reedramp::wire {

/// Longest time that is taken from a message; more would overflow when added to a point in time.
inline constexpr common::duration longest_time = std::chrono::hours{24 * 365};

/// Points in time travel as the time left; the codec of a message that may hold one takes `now`.
auto encode(const common::error& from, common::time_point now, schema::Error::Builder into) -> void;
auto decode(schema::Error::Reader from, common::time_point now) -> common::error;

auto encode(const messages::run_request& from, schema::RunRequest::Builder into) -> void;
auto decode(schema::RunRequest::Reader from) -> messages::run_request;

auto encode(
    const std::vector<messages::tokens_event>& from, capnp::List<schema::Tokens>::Builder into)
    -> void;
auto decode(capnp::List<schema::Tokens>::Reader from) -> std::vector<messages::tokens_event>;

/// `from` must not hold a `tokens_event`.
auto encode(const messages::run_event& from, common::time_point now, schema::RunEnd::Builder into)
    -> void;
auto decode(schema::RunEnd::Reader from, common::time_point now) -> messages::run_event;

auto encode(const messages::outcome_query& from, schema::OutcomeQuery::Builder into) -> void;
auto decode(schema::OutcomeQuery::Reader from) -> messages::outcome_query;

auto encode(
    const messages::outcome_answer& from,
    common::time_point now,
    schema::OutcomeAnswer::Builder into) -> void;
auto decode(schema::OutcomeAnswer::Reader from, common::time_point now) -> messages::outcome_answer;

auto encode(const messages::probe_request& from, schema::ProbeRequest::Builder into) -> void;
auto decode(schema::ProbeRequest::Reader from) -> messages::probe_request;

auto encode(const messages::probe_answer& from, schema::ProbeAnswer::Builder into) -> void;
auto decode(schema::ProbeAnswer::Reader from) -> messages::probe_answer;

auto encode(const messages::configuration_pull& from, schema::ConfigurationPull::Builder into)
    -> void;
auto decode(schema::ConfigurationPull::Reader from) -> messages::configuration_pull;

auto encode(const messages::configuration_push& from, schema::ConfigurationPush::Builder into)
    -> void;
auto decode(schema::ConfigurationPush::Reader from) -> messages::configuration_push;

auto encode(const messages::claim_request& from, schema::ClaimRequest::Builder into) -> void;
auto decode(schema::ClaimRequest::Reader from) -> messages::claim_request;

auto encode(
    const messages::claim_answer& from, common::time_point now, schema::ClaimAnswer::Builder into)
    -> void;
auto decode(schema::ClaimAnswer::Reader from, common::time_point now) -> messages::claim_answer;

auto encode(const messages::bill_handover& from, schema::BillHandover::Builder into) -> void;
auto decode(schema::BillHandover::Reader from) -> messages::bill_handover;

auto encode(const messages::gossip& from, schema::Gossip::Builder into) -> void;
auto decode(schema::Gossip::Reader from) -> messages::gossip;

} // namespace reedramp::wire
