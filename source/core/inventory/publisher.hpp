#pragma once

#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "common/hooks.hpp"
#include "common/result.hpp"
#include "common/units.hpp"
#include "inventory/follower.hpp"
#include "inventory/record.hpp"
#include "platform/hooks.hpp"

namespace reedramp::inventory {

struct publisher_hooks {
    platform::log_hooks log;
    common::clock_hook clock;
    common::timer_hook timer;
};

struct publisher_settings {
    /// Interval of the checks whether the record has been read back.
    common::duration check_period = std::chrono::milliseconds(50);
};

/// An accepted record: read back from the log and valid.
struct publication {
    common::record_id id;
    common::log_offset offset;
};

/// Publishes configuration records, each at most once.
///
/// The response to an append may be lost after the record has reached the log, and an immediate
/// second append would then duplicate it. The publisher therefore reads the log first, and appends
/// the same record with the same id again only if the log, read after the loss, does not contain
/// it. If both copies reach the log, the second is a no-op because of its id.
class publisher : public std::enable_shared_from_this<publisher> {
public:
    static auto create(
        publisher_hooks hooks, std::shared_ptr<follower> reader, publisher_settings settings = {})
        -> std::shared_ptr<publisher>;

    /// Errors: `conflict` (with the record that won and what it changed), `invalid_record`,
    /// `version_withdrawn`, `not_ready`, `log_unavailable` (not appended), and `append_unknown` if
    /// the outcome is unknown at the deadline; publishing the same record again is then safe.
    auto publish(
        const record& item,
        common::time_point deadline,
        std::function<auto(common::result<publication> answer)->void> done) -> void;

private:
    struct attempt;
    using attempt_ptr = std::shared_ptr<attempt>;

    publisher(publisher_hooks hooks, std::shared_ptr<follower> reader, publisher_settings settings);

    auto append(const attempt_ptr& item) -> void;
    auto on_append(const attempt_ptr& item, const common::result<common::log_offset>& answer)
        -> void;
    /// Checks after `check_period` whether the record was read back.
    auto schedule_check(const attempt_ptr& item) -> void;
    auto check(const attempt_ptr& item) -> void;
    auto finish_if_decided(const attempt& item) -> bool;

    publisher_hooks hooks;
    std::shared_ptr<follower> reader;
    publisher_settings settings;
};

} // namespace reedramp::inventory
