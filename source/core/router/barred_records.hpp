#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "router/router_core.hpp"

namespace reedramp::router {

/// Keeps the requests that end servers in the store. All entries may be killed in one moment, and
/// what they know is gone with them: the request then ended as many servers again.
///
/// One small record a request, written once: by the first entry, by rank, that is not told in time
/// that another one has. Who starts without a neighbour reads them with the entries' own records.
class barred_records : public std::enable_shared_from_this<barred_records> {
public:
    /// `rank` gives this entry's place among all; the one with place 0 writes at once, each further
    /// one waits that much longer.
    barred_records(
        std::shared_ptr<router_core> core,
        shared_store store,
        std::function<auto()->std::size_t> rank);

    /// Writes what the store lacks. Call it some times a second.
    auto tick() -> void;

    /// What the store has. Records that count no more are taken out by the first entry.
    auto take(const std::vector<barred_record>& all) -> void;

private:
    auto write(const routing::barred_report& one) -> void;
    auto drop(const barred_record& one) -> void;
    [[nodiscard]] auto unix_ms() const -> std::uint64_t;

    std::shared_ptr<router_core> core;
    shared_store store;
    std::function<auto()->std::size_t> rank;
    time_point next_try{};
    bool is_busy = false;
};

} // namespace reedramp::router
