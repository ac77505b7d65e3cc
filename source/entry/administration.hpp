#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

#include "billing/ledger.hpp"
#include "common/hooks.hpp"
#include "common/ids.hpp"
#include "entry/admin_api.hpp"
#include "entry/core.hpp"
#include "inventory/follower.hpp"
#include "inventory/publisher.hpp"
#include "platform/hooks.hpp"

namespace reedramp::entry_program {

/// Implements the hooks of the administration API for this entry. Thread-safe.
class administration : public std::enable_shared_from_this<administration> {
public:
    struct dependencies {
        common::host_id self;
        std::shared_ptr<inventory::follower> follower;
        std::shared_ptr<inventory::publisher> publisher;
        platform::log_hooks log;
        common::clock_hook now;
        common::wall_clock_hook wall_now;
        common::random_hook random;
        std::chrono::milliseconds publish_timeout{};
        std::function<auto()->entry::core_counters> counters;
        std::function<auto()->bool> ready;
    };

    explicit administration(dependencies given) : deps(std::move(given)) {}

    auto hooks() -> entry::admin_hooks;

private:
    auto publish(const std::string& text, entry::text_response_hook done) -> void;
    auto withdraw(const common::version_id& version, const entry::text_response_hook& done) -> void;
    auto history() const -> std::string;
    auto status() const -> std::string;
    /// Reads the bill stream from where the last read ended up to its head, then answers with the
    /// totals.
    auto read_bills(entry::text_response_hook done) -> void;
    auto bills_text() -> std::string;

    const dependencies deps;
    std::mutex lock;
    billing::ledger ledger;
};

} // namespace reedramp::entry_program
