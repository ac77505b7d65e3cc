#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/ids.hpp"
#include "common/units.hpp"
#include "routing/configuration.hpp"

namespace reedramp::overload {

using common::time_point;

/// Work per second that an organisation asks of a service through the sender, in the load tracker's
/// unit, as sent to peers. `key` is the `usage_key` of both. Some rows hold totals of a service
/// instead, under keys of their own.
struct usage_report {
    std::uint32_t key = 0;
    double rate = 0.0;
};

/// Rate of work over an exponentially decaying window.
class work_meter {
public:
    auto add(double work, time_point now, std::chrono::duration<double> window) -> void;

    /// Work per second.
    [[nodiscard]] auto rate(time_point now, std::chrono::duration<double> window) const -> double;

    /// As `rate`, but a meter that has run for less than its window does not start from zero.
    [[nodiscard]] auto rate_since_start(time_point now, std::chrono::duration<double> window) const
        -> double;

private:
    double sum = 0.0;
    time_point updated{};
    std::optional<time_point> started;
};

struct share_options {
    /// Window of the organisations' usage.
    std::chrono::milliseconds window{2000};
    /// Window over which the work sent to a service shows how much it can take. Longer than an
    /// overload takes to become visible, and covering most of a wave of the usual load.
    std::chrono::milliseconds room_window{10000};
    /// Age at which the sums over all entries are computed anew: one interval of peers' reports.
    std::chrono::milliseconds refresh{100};
    /// Maximum organisations in one report.
    std::size_t max_reported = 8;
};

/// Tracks the work that each organisation asks of each service over all entries, and which
/// organisations use more than their max-min fair share of it. Weights are equal; ranks do not
/// matter. Requests without an organisation count as those of one organisation with an empty name.
///
/// A service's room is the work that was sent to it lately. The pressure does not measure it: it
/// follows the length of queues, so it may be five while the load is a tenth above the capacity.
class organisation_shares {
public:
    explicit organisation_shares(share_options options = {});

    /// Takes over which organisations and services exist. Drops the own work of
    /// others; peers' rows of others do not count.
    auto set_rules(const routing::configuration& rules) -> void;

    /// Notes a send. `is_first` is false for a further send of the same request.
    auto note_sent(
        const common::service_name& service,
        const common::organisation_id& organisation,
        double work,
        bool is_first,
        time_point now) -> void;

    /// Notes a request that was refused for scarcity. Without these, an organisation that gives way
    /// would seem to need less, and be admitted again while it still asks for as much.
    auto note_refused(
        const common::service_name& service,
        const common::organisation_id& organisation,
        double work,
        time_point now) -> void;

    /// Replaces a peer's earlier rows. They count until `trusted_until`.
    auto apply_reports(
        const common::host_id& peer, std::vector<usage_report> rows, time_point trusted_until)
        -> void;

    /// Report to send to peers: the organisations with the largest own rates, and totals.
    [[nodiscard]] auto make_reports(time_point now) const -> std::vector<usage_report>;

    /// How many times its fair share the organisation uses; exactly 1 for all that stay within it,
    /// for all while `pressure` is below 1, and if no other organisation uses the service. The work
    /// of one request does not count, so that an organisation that sends one is not beyond its
    /// share.
    [[nodiscard]] auto excess(
        const common::service_name& service,
        const common::organisation_id& organisation,
        double pressure,
        time_point now) -> double;

    /// Number of organisations with an excess above 1.
    [[nodiscard]] auto
    count_beyond(const common::service_name& service, double pressure, time_point now)
        -> std::size_t;

private:
    struct own_usage {
        work_meter asked;
        /// Work of all sends of the newest request.
        double request = 0.0;
    };

    struct service_totals {
        work_meter sent_now;
        work_meter sent_lately;
        /// Mean work of a request, smoothed.
        double mean_request = 0.0;
        std::uint32_t now_key = 0;
        std::uint32_t lately_key = 0;
    };

    struct peer_rows {
        std::vector<usage_report> rows;
        time_point trusted_until{};
    };

    /// Usage of a service by one organisation over all entries.
    struct usage {
        std::uint32_t key = 0;
        /// As far as reported.
        double rate = 0.0;
        /// With an estimate of what reports left out.
        double estimate = 0.0;
    };

    /// Sum of the peers' rows of one key.
    struct row_sum {
        double rate = 0.0;
        /// Number of truncated reports that have such a row.
        std::size_t truncated = 0;
    };

    /// Reports with as many organisations as fit.
    struct truncated_reports {
        std::size_t reports = 0;
        /// Sum of the smallest rate of each; the rates left out are not larger.
        double least_rates = 0.0;
    };

    auto totals_of(const common::service_name& service) -> service_totals&;
    auto refresh_sums(time_point now) -> void;
    [[nodiscard]] auto rate_of(std::uint32_t key, time_point now) const -> double;
    /// Estimate of the rate that truncated reports left out. The balancer spreads callers evenly,
    /// so an organisation's rate at this entry stands for that at the others.
    [[nodiscard]] auto unreported_rate_of(std::uint32_t key, time_point now) const -> double;
    [[nodiscard]] auto usages_of(const common::service_name& service, time_point now) const
        -> std::vector<usage>;
    /// Highest rate that is within the share; infinite if all are.
    [[nodiscard]] auto fair_rate(
        const service_totals& totals,
        const std::vector<usage>& usages,
        double pressure,
        time_point now) const -> double;
    [[nodiscard]] auto
    excess_of(const usage& one, const service_totals& totals, double fair_rate) const -> double;

    share_options options;
    std::unordered_map<std::uint32_t, own_usage> ours;
    std::map<common::service_name, service_totals> services;
    /// Keys of all configured organisations, by service.
    std::map<common::service_name, std::vector<std::uint32_t>> keys;
    std::map<common::host_id, peer_rows> peers;
    std::unordered_set<std::uint32_t> known_keys;
    /// Of the peers' rows.
    std::unordered_map<std::uint32_t, row_sum> peer_sums;
    truncated_reports truncated;
    time_point sums_valid_until{};
};

/// Hash of the names of a service and an organisation, the same in all processes.
auto usage_key(const common::service_name& service, std::string_view organisation) -> std::uint32_t;

} // namespace reedramp::overload
