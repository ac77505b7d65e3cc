#include "router/counted_store.hpp"

#include <utility>

namespace reedramp::router {

namespace {

template <typename Call>
auto counting(Call call, const char* kind, router_metrics& counters) -> Call
{
    return [call = std::move(call), kind, &counters](auto... arguments) {
        counters.count_store_call(kind);
        call(std::move(arguments)...);
    };
}

} // namespace

auto with_call_counts(shared_store store, router_metrics& counters) -> shared_store
{
    store.read_rules = counting(std::move(store.read_rules), "rules", counters);
    store.read_servers = counting(std::move(store.read_servers), "servers", counters);
    store.read_rollout_states =
        counting(std::move(store.read_rollout_states), "rollout_states", counters);
    store.write_rollout_state =
        counting(std::move(store.write_rollout_state), "write_rollout_state", counters);
    store.read_entries = counting(std::move(store.read_entries), "entries", counters);
    store.write_entry = counting(std::move(store.write_entry), "write_entry", counters);
    store.write_barred = counting(std::move(store.write_barred), "write_barred", counters);
    store.drop_barred = counting(std::move(store.drop_barred), "drop_barred", counters);
    return store;
}

} // namespace reedramp::router
