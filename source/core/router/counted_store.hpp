#pragma once

#include "router/router_metrics.hpp"
#include "router/shared_store.hpp"

namespace reedramp::router {

/// Wraps the store so that each call is counted by kind. All calls are billed, refused ones too.
auto with_call_counts(shared_store store, router_metrics& counters) -> shared_store;

} // namespace reedramp::router
