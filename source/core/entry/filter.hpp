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
    /// The chain stops here: the filter has ended the exchange, or it resumes the chain later.
    stop,
};

/// One decision on a request's way. The name is for logs and restarts.
struct filter {
    std::string_view name;
    std::function<auto(const exchange_ptr& item)->filter_step> on_request;
    /// Runs once when the exchange has ended, if `on_request` has run. May be empty.
    std::function<auto(exchange& item)->void> on_end = nullptr;
};

/// Filters in their order. Immutable; shared by all requests of one kind.
class filter_chain {
public:
    explicit filter_chain(std::vector<filter> in_order) : filters(std::move(in_order)) {}

    /// Runs from the exchange's next filter on until one stops. On the exchange's queue only.
    auto run(const exchange_ptr& item) const -> void;

    /// Goes back to the filter of this name, for another attempt.
    auto restart_at(const exchange_ptr& item, std::string_view name) const -> void;

    /// Runs `on_end` of the filters that were reached, the last one first.
    auto end(exchange& item) const -> void;

private:
    std::vector<filter> filters;
};

/// Lets a filter that has stopped the chain go on, from any thread.
auto resume(const exchange_ptr& item) -> void;

/// The filters, in the order of the chain; each is in a file of its own.
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
