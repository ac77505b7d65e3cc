#include <functional>
#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <capnp/message.h>
#include <capnp/serialize.h>
#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include "wire/codec.hpp"

#include "draw.hpp"

namespace reedramp::wire {

namespace {

using testing::draw;
using testing::draw_now;

template <typename Schema, typename Message>
auto write(const Message& message, capnp::MessageBuilder& into) -> void
{
    auto root = into.initRoot<Schema>();
    if constexpr (requires { encode(message, draw_now, root); }) {
        encode(message, draw_now, root);
    }
    else {
        encode(message, root);
    }
}

template <typename Schema>
auto read(typename Schema::Reader from)
{
    if constexpr (requires { decode(from, draw_now); }) {
        return decode(from, draw_now);
    }
    else {
        return decode(from);
    }
}

template <typename Schema, typename Message>
auto require_round_trip(const char* name) -> void
{
    INFO(name);
    REQUIRE(rc::check(name, [] {
        const auto message = draw::any<Message>();
        capnp::MallocMessageBuilder builder;
        write<Schema>(message, builder);
        RC_ASSERT(read<Schema>(builder.getRoot<Schema>().asReader()) == message);
    }));
}

/// Decodes a message that `spoil` has changed in a way that no process of ours would.
template <typename Schema>
auto decode_spoilt(std::function<auto(typename Schema::Builder)->void> spoil) -> void
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<Schema>();
    spoil(root);
    static_cast<void>(read<Schema>(root.asReader()));
}

} // namespace

TEST_CASE("each message comes out of the codec as it went in")
{
    require_round_trip<schema::Error, common::error>("error");
    require_round_trip<schema::RunRequest, messages::run_request>("run_request");
    require_round_trip<schema::OutcomeQuery, messages::outcome_query>("outcome_query");
    require_round_trip<schema::OutcomeAnswer, messages::outcome_answer>("outcome_answer");
    require_round_trip<schema::ProbeRequest, messages::probe_request>("probe_request");
    require_round_trip<schema::ProbeAnswer, messages::probe_answer>("probe_answer");
    require_round_trip<schema::ConfigurationPull, messages::configuration_pull>("pull");
    require_round_trip<schema::ConfigurationPush, messages::configuration_push>("push");
    require_round_trip<schema::ClaimRequest, messages::claim_request>("claim_request");
    require_round_trip<schema::ClaimAnswer, messages::claim_answer>("claim_answer");
    require_round_trip<schema::BillHandover, messages::bill_handover>("bill_handover");
    require_round_trip<schema::Gossip, messages::gossip>("gossip");
}

TEST_CASE("tokens and each end of a run come out of the codec as they went in")
{
    REQUIRE(rc::check("tokens", [] {
        const auto pieces = draw::any<std::vector<messages::tokens_event>>();
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<schema::RunSink::TokensParams>();
        encode(pieces, root.initPieces(static_cast<kj::uint>(pieces.size())));
        RC_ASSERT(decode(root.asReader().getPieces()) == pieces);
    }));
    REQUIRE(rc::check("end", [] {
        const auto ends = std::vector<messages::run_event>{
            draw::any<messages::finished_event>(),
            draw::any<messages::refused_event>(),
            draw::any<messages::failed_event>()};
        for (const auto& end : ends) {
            capnp::MallocMessageBuilder builder;
            write<schema::RunEnd>(end, builder);
            RC_ASSERT(read<schema::RunEnd>(builder.getRoot<schema::RunEnd>()) == end);
        }
    }));
}

TEST_CASE("times out of range are cut, so that adding them to a clock cannot overflow")
{
    struct row {
        std::int64_t sent;
        common::duration taken;
    };

    const auto rows = std::vector<row>{
        {std::numeric_limits<std::int64_t>::min(), common::duration::zero()},
        {-1, common::duration::zero()},
        {5, common::duration{5}},
        {std::numeric_limits<std::int64_t>::max(), longest_time},
    };
    for (const auto& [sent, taken] : rows) {
        capnp::MallocMessageBuilder builder;
        auto root = builder.initRoot<schema::RunRequest>();
        root.setTimeLeftNs(sent);
        CHECK(decode(root.asReader()).time_left == taken);
        auto error = builder.initRoot<schema::Error>();
        error.setHasRetry(true);
        error.setRetryAfterNs(sent);
        CHECK(decode(error.asReader(), draw_now).retry_at == draw_now + taken);
    }
}

TEST_CASE("values that no process of ours sends are refused")
{
    using infinity = std::numeric_limits<double>;
    const std::vector<std::pair<std::string, std::function<auto()->void>>> rows = {
        {"kind",
         [] {
             decode_spoilt<schema::RunRequest>(
                 [](auto root) { root.setKind(static_cast<schema::WorkKind>(2)); });
         }},
        {"repeat",
         [] {
             decode_spoilt<schema::RunRequest>(
                 [](auto root) { root.setRepeat(static_cast<schema::RepeatRule>(65535)); });
         }},
        {"execution",
         [] {
             decode_spoilt<schema::Error>(
                 [](auto root) { root.setRun(static_cast<schema::Execution>(3)); });
         }},
        {"outcome",
         [] {
             decode_spoilt<schema::OutcomeAnswer>(
                 [](auto root) { root.setState(static_cast<schema::OutcomeState>(6)); });
         }},
        {"claim",
         [] {
             decode_spoilt<schema::ClaimAnswer>(
                 [](auto root) { root.setState(static_cast<schema::ClaimState>(3)); });
         }},
        {"scope",
         [] {
             decode_spoilt<schema::Gossip>([](auto root) {
                 root.initDemand(1)[0].setScope(static_cast<schema::DemandScope>(3));
             });
         }},
        {"not a number",
         [] {
             decode_spoilt<schema::Gossip>(
                 [](auto root) { root.initEvidence(1)[0].setRatingSum(infinity::quiet_NaN()); });
         }},
        {"infinite",
         [] {
             decode_spoilt<schema::Gossip>([](auto root) {
                 root.initEvidence(1)[0].initLogWealth(1).set(0, infinity::infinity());
             });
         }},
        {"evidence from the future",
         [] {
             decode_spoilt<schema::ConfigurationPush>([](auto root) { root.setEvidenceAgeNs(-1); });
         }},
    };
    for (const auto& [name, decode_it] : rows) {
        INFO(name);
        CHECK_THROWS_AS(decode_it(), kj::Exception);
    }
}

TEST_CASE("a result code of a newer process stays an error")
{
    capnp::MallocMessageBuilder builder;
    auto root = builder.initRoot<schema::Error>();
    root.setCode(999);
    CHECK(decode(root.asReader(), draw_now).code == common::result_code::internal_error);
}

TEST_CASE("broken bytes are refused or read, and never read past")
{
    // A peer with a fault sends a message with some bytes changed. The reader sees either a value
    // or an exception for this one call; the sanitizers see that nothing else is touched.
    REQUIRE(rc::check("broken bytes", [] {
        capnp::MallocMessageBuilder builder;
        write<schema::Gossip>(draw::any<messages::gossip>(), builder);
        auto words = capnp::messageToFlatArray(builder);
        auto bytes = words.asBytes();
        const auto changes = *rc::gen::inRange(1, 6);
        for (int change = 0; change < changes; ++change) {
            const auto where = *rc::gen::inRange<std::size_t>(0, bytes.size());
            bytes[where] = *rc::gen::arbitrary<std::uint8_t>();
        }
        const auto thrown = kj::runCatchingExceptions([&words] {
            capnp::FlatArrayMessageReader reader(words);
            static_cast<void>(decode(reader.getRoot<schema::Gossip>()));
        });
        static_cast<void>(thrown);
    }));
}

} // namespace reedramp::wire
