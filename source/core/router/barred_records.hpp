#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "router/router_core.hpp"

namespace reedramp::router {

/// Persists barred requests, which crash servers, in the store. Without the records, the request
/// would crash as many servers again after all entries were killed at once.
///
/// Each request has one small record. It is written once, by the first entry in rank order that has
/// not learned in time that another one wrote it. An entry that starts without a neighbour reads
/// the records together with those of the entries.
class barred_records : public std::enable_shared_from_this<barred_records> {
public:
    /// `rank` returns this entry's rank among all. The entry of rank 0 writes at once, and each
    /// further one waits one more delay.
    barred_records(
        std::shared_ptr<router_core> core,
        shared_store store,
        std::function<auto()->std::size_t> rank);

    /// Writes records that the store lacks. Call it several times a second.
    auto tick() -> void;

    /// Applies the records read from the store. The entry of rank 0 deletes expired ones.
    auto apply_stored(const std::vector<barred_record>& all) -> void;

private:
    auto write_record(const routing::barred_report& one) -> void;
    auto drop_record(const barred_record& one) -> void;
    [[nodiscard]] auto unix_ms() const -> std::uint64_t;

    std::shared_ptr<router_core> core;
    shared_store store;
    std::function<auto()->std::size_t> rank;
    time_point next_try{};
    bool is_busy = false;
};

} // namespace reedramp::router
