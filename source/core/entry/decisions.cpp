#include "entry/decisions.hpp"

#include <algorithm>
#include <functional>

#include <boost/json.hpp>

namespace reedramp::entry {

namespace json = boost::json;

auto to_json(const decision_record& record) -> std::string
{
    json::array steps;
    for (const auto& step : record.steps) {
        steps.push_back(json::object{
            {"what", step.kind},
            {"chosen", step.chosen},
            {"reason", step.reason},
            {"runner_up", step.runner_up}});
    }
    json::object object{
        {"request", common::to_string(record.request)},
        {"organisation", record.organisation.value()},
        {"configuration", record.configuration.value()},
        {"steps", std::move(steps)}};
    if (record.code) {
        object["result"] = std::string(common::row_of(*record.code).name);
    }
    if (record.run) {
        object["execution"] = std::string(common::to_string(*record.run));
    }
    return json::serialize(object);
}

decision_ring::decision_ring(std::size_t limit)
    : shard_limit(std::max<std::size_t>(1, limit / shard_count))
{
}

auto decision_ring::add(decision_record record) -> void
{
    auto& target = this->shards[std::hash<common::request_id>{}(record.request) % shard_count];
    const std::lock_guard guard(target.lock);
    if (target.records.size() >= this->shard_limit) {
        target.records.pop_front();
    }
    target.records.push_back(std::move(record));
}

auto decision_ring::find(const common::request_id& request) const -> std::optional<decision_record>
{
    const auto& target = this->shards[std::hash<common::request_id>{}(request) % shard_count];
    const std::lock_guard guard(target.lock);
    const auto found = std::find_if(
        target.records.rbegin(), target.records.rend(), [&request](const decision_record& record) {
            return record.request == request;
        });
    if (found == target.records.rend()) {
        return std::nullopt;
    }
    return *found;
}

} // namespace reedramp::entry
