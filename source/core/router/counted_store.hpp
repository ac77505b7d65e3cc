#pragma once

#include "router/router_metrics.hpp"
#include "router/shared_store.hpp"

namespace reedramp::router {

/// The same store, with each call counted by its kind: calls are paid for, refused ones too.
auto counted(shared_store store, router_metrics& counters) -> shared_store;

} // namespace reedramp::router
