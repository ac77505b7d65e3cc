#pragma once

#include <string>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "platform/hooks.hpp"

namespace reedramp::agent {

/// Follows the stream `registrations` from an agent's own record on, to learn of a newer agent of
/// the same backend server. Not thread-safe.
class registration_watcher {
public:
    /// `text` is the agent's own record, `own` the offset that an answer brought for it.
    registration_watcher(common::server_id server, std::string text, common::log_offset own);

    /// The offset to read after.
    [[nodiscard]] auto read_after() const -> common::log_offset { return this->cursor; }

    /// Takes the answer to a read after `read_after()`. Gives the newest registration of the server
    /// when all that the log holds was read, 0 when there is more to read. Errors with
    /// `log_unavailable` when the answer is of a replica that is behind: it proves nothing.
    auto apply(const platform::read_answer& answer) -> common::result<common::log_offset>;

private:
    common::server_id server;
    std::string own_record;
    common::log_offset cursor;
    common::log_offset newest_registration;
};

} // namespace reedramp::agent
