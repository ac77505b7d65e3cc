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
    /// Time between two looks at whether the record has been read back.
    common::duration look_period = std::chrono::milliseconds(50);
};

/// An accepted record: seen in the log as valid.
struct publication {
    common::record_id id;
    common::log_offset offset;
};

/// Publishes records of the configuration, each at most once.
///
/// The answer to an append may be lost after the record has reached the log. A second append at
/// once could then repeat it, so the publisher first reads on; only when the log, read after the
/// loss, does not show the record, is the same record (same id) appended again. Should both land,
/// the second is a no-op by its id.
class publisher : public std::enable_shared_from_this<publisher> {
public:
    static auto create(
        publisher_hooks hooks, std::shared_ptr<follower> reader, publisher_settings settings = {})
        -> std::shared_ptr<publisher>;

    /// Errors: `conflict` (names who won and what changed), `invalid_record`, `version_withdrawn`,
    /// `log_unavailable` (not appended), `append_unknown` (not resolved by the deadline; publishing
    /// the same record again is safe).
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
    /// Looks after a while whether the record was read back.
    auto look_later(const attempt_ptr& item) -> void;
    auto look(const attempt_ptr& item) -> void;
    auto finish_if_decided(const attempt& item) -> bool;

    publisher_hooks hooks;
    std::shared_ptr<follower> reader;
    publisher_settings settings;
};

} // namespace reedramp::inventory
