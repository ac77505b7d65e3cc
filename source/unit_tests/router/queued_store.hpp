#pragma once

#include <algorithm>
#include <deque>
#include <iterator>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <catch2/catch.hpp>

#include "router/rollout_writer.hpp"
#include "router/servers_follower.hpp"
#include "router_fixture.hpp"

/// A store whose calls are completed by the test, and followers of it.
namespace reedramp::router::testing {

template <typename Document>
auto reading(std::vector<Document> documents, std::uint64_t end, bool whole)
    -> stream_reading<Document>
{
    return {std::move(documents), stream_position{end}, whole};
}

template <typename Document>
auto fails(common::result_code code) -> common::result<stream_reading<Document>>
{
    return common::failure(code);
}

/// A store that queues its calls until the test completes them.
struct queued_store {
    template <typename Document>
    using hook = answer_hook<stream_reading<Document>>;

    std::deque<std::pair<std::optional<stream_position>, hook<rules_document>>> rules;
    std::deque<std::pair<std::optional<stream_position>, hook<routing::registration_change>>>
        servers;
    std::deque<hook<routing::rollout_status>> outcomes;
    std::deque<std::pair<routing::rollout_status, answer_hook<stream_position>>> writes;

    auto hooks() -> shared_store
    {
        shared_store store;
        store.read_rules = [this](auto from, auto, auto done) {
            this->rules.emplace_back(from, std::move(done));
        };
        store.read_servers = [this](auto from, auto done) {
            this->servers.emplace_back(from, std::move(done));
        };
        store.read_rollout_states = [this](auto done) {
            this->outcomes.push_back(std::move(done));
        };
        store.write_rollout_state = [this](const auto& status, auto, auto done) {
            this->writes.emplace_back(status, std::move(done));
        };
        return store;
    }

    template <typename Queue>
    static auto next_call(Queue& queue)
    {
        REQUIRE_FALSE(queue.empty());
        auto first = std::move(queue.front());
        queue.pop_front();
        return first;
    }
};

inline auto make_registration_change(const std::string& id) -> routing::registration_change
{
    const common::server_id name{id};
    return {
        name,
        routing::registration{
            name,
            common::service_name{"engines"},
            "127.0.0.1:1",
            common::data_centre_id{"dc"},
            common::version_id{"v1"},
            8,
            false}};
}

inline const common::service_name engines{"engines"};
inline const common::version_id target{"v2"};

inline auto
make_follower(router_fixture& fixture, queued_store& store, servers_follower_hooks hooks = {})
    -> std::shared_ptr<servers_follower>
{
    return std::make_shared<servers_follower>(
        fixture.core,
        store.hooks(),
        follower_options{},
        std::make_shared<servers_list>(fixture.core, follower_options{}),
        std::move(hooks));
}

/// Starts a follower that has read the servers `ids`, up to a position equal to their number.
inline auto
follow_servers(router_fixture& fixture, queued_store& store, const std::vector<std::string>& ids)
    -> void
{
    make_follower(fixture, store)->start();
    std::vector<routing::registration_change> known;
    std::ranges::transform(ids, std::back_inserter(known), make_registration_change);
    const auto end = known.size();
    queued_store::next_call(store.servers)
        .second(reading<routing::registration_change>(std::move(known), end, true));
}

/// Orders a roll-out and returns the state writer of an entry of this rank.
inline auto writer_of(router_fixture& fixture, queued_store& store, std::size_t rank)
    -> std::shared_ptr<rollout_writer>
{
    fixture.core->rollouts.apply_order({engines, target, seconds{20}}, fixture.now);
    return std::make_shared<rollout_writer>(fixture.core, store.hooks(), [rank] { return rank; });
}

} // namespace reedramp::router::testing
