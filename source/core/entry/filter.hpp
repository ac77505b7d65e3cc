#pragma once

#include <cstdint>
#include <functional>
#include <string_view>
#include <vector>

#include "entry/exchange.hpp"

namespace reedramp::entry {

enum class filter_step : std::uint8_t {
    /// The next filter runs.
    proceed,
    /// Stops the chain: the filter has ended the exchange, or will resume the chain later.
    stop,
};

/// One stage of request processing. The name appears in logs and identifies the filter for
/// restarts.
struct filter {
    std::string_view name;
    std::function<auto(const exchange_ptr& item)->filter_step> on_request;
    /// Called once when the exchange has ended, if `on_request` has run. May be empty.
    std::function<auto(exchange& item)->void> on_end = nullptr;
};

/// An ordered list of filters. Immutable; shared by all requests of one kind.
class filter_chain {
public:
    explicit filter_chain(std::vector<filter> in_order) : filters(std::move(in_order)) {}

    /// Runs filters from the exchange's next one until one stops the chain. Only on the exchange's
    /// queue.
    auto run(const exchange_ptr& item) const -> void;

    /// Restarts the chain at the filter of this name, for another attempt.
    auto restart_at(const exchange_ptr& item, std::string_view name) const -> void;

    /// Calls `on_end` of all filters that have run, in reverse order.
    auto end(exchange& item) const -> void;

private:
    std::vector<filter> filters;
};

/// Continues a chain that a filter has stopped. May be called from any thread.
auto resume(const exchange_ptr& item) -> void;

/// The filters, each defined in a file of its own; `core_context` sets their order.
auto make_authenticate() -> filter;
auto make_organisation_rules() -> filter;
auto make_session() -> filter;
auto make_version_choice() -> filter;
auto make_limits() -> filter;
auto make_billing() -> filter;
auto make_placement() -> filter;
auto make_claim() -> filter;
auto make_dispatch() -> filter;
auto make_list_models() -> filter;
auto make_open_session() -> filter;

namespace filter_names {
inline constexpr std::string_view version_choice = "version_choice";
inline constexpr std::string_view placement = "placement";
} // namespace filter_names

} // namespace reedramp::entry
