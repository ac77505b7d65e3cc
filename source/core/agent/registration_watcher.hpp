#pragma once

#include <string>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "platform/hooks.hpp"

namespace reedramp::agent {

/// Reads the stream `registrations` from the agent's own record on, to detect a newer agent of the
/// same backend server. Not thread-safe.
class registration_watcher {
public:
    /// `text` is the agent's own record and `own` its offset from the append's answer.
    registration_watcher(common::server_id server, std::string text, common::log_offset own);

    /// Offset after which to read next.
    [[nodiscard]] auto read_after() const -> common::log_offset { return this->cursor; }

    /// Applies the answer to a read after `read_after()`. Returns the offset of the server's newest
    /// registration if the log was read to its head, 0 if there is more to read. Errors with
    /// `log_unavailable` if the answer comes from a replica that lags behind.
    auto apply(const platform::read_answer& answer) -> common::result<common::log_offset>;

private:
    common::server_id server;
    std::string own_record;
    common::log_offset cursor;
    common::log_offset newest_registration;
};

} // namespace reedramp::agent
