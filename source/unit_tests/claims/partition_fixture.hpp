#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

#include "claims/claim_arbiter.hpp"
#include "platform/fake_log.hpp"
#include "platform/fake_time.hpp"

namespace reedramp::claims {

using namespace std::chrono_literals;

/// Claim of key number `key` by request number `request`, which names an agent.
inline auto make_claim(std::uint64_t key, std::uint64_t request, std::uint64_t body = 1)
    -> messages::claim_request
{
    messages::claim_request made;
    made.organisation = common::organisation_id{"carrier-north"};
    made.key = {key, key};
    made.body = body;
    made.request = {request, request};
    made.server = common::server_id{"engine-" + std::to_string(request % 3)};
    made.incarnation = common::incarnation_id{request};
    made.attempt = common::attempt_number{1};
    return made;
}

inline auto make_name_claim(std::uint64_t name, std::uint64_t request, std::string version)
    -> messages::claim_request
{
    auto made = make_claim(name, request);
    made.server = {};
    made.incarnation = {};
    made.version = common::version_id{std::move(version)};
    return made;
}

/// The answer to one claim; empty until it arrives.
using answer_slot = std::shared_ptr<std::optional<messages::claim_answer>>;

/// Arbiters of one partition with a fake log on virtual time.
struct partition_fixture {
    platform::fake_time time{common::time_point{1h}};
    platform::fake_log log{time.clock(), time.timers()};
    std::uint64_t random = 0;
    claim_arbiter_config config = make_config();

    static auto make_config() -> claim_arbiter_config
    {
        claim_arbiter_config made;
        made.stream = "claims-00";
        return made;
    }

    auto hooks() -> claim_arbiter_hooks
    {
        return {this->log.hooks(), this->time.clock(), this->time.timers(), [this] {
                    return ++this->random;
                }};
    }

    /// Starts an arbiter and gives it one second to replay the window.
    auto start_arbiter() -> std::shared_ptr<claim_arbiter>
    {
        auto made = claim_arbiter::create(this->config, this->hooks());
        made->start();
        this->time.run_for(1s);
        return made;
    }

    static auto submit(const std::shared_ptr<claim_arbiter>& from, messages::claim_request claim)
        -> answer_slot
    {
        auto slot = std::make_shared<std::optional<messages::claim_answer>>();
        from->claim(
            std::move(claim), [slot](messages::claim_answer answer) { *slot = std::move(answer); });
        return slot;
    }

    /// Submits the claim and waits three seconds for the answer.
    auto decide(const std::shared_ptr<claim_arbiter>& from, messages::claim_request claim)
        -> messages::claim_answer
    {
        const auto slot = submit(from, std::move(claim));
        this->time.run_for(3s);
        return slot->value_or(messages::claim_answer{});
    }
};

} // namespace reedramp::claims
