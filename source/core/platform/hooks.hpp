#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "common/ids.hpp"
#include "common/result.hpp"
#include "messages/peer.hpp"

/// Interfaces to the platform's services as hooks: the append-only log, the list of hosts, the
/// rating service and the weight store. They are implemented over HTTP, and by in-memory fakes for
/// tests.
namespace reedramp::platform {

/// The streams of the log that the system uses. Operators publish to `configuration`.
namespace streams {
inline constexpr auto configuration = "configuration";
inline constexpr auto claims = "claims";
inline constexpr auto bills = "bills";
inline constexpr auto registrations = "registrations";
} // namespace streams

struct read_answer {
    std::vector<messages::log_record> records;
    /// Offset of the newest record of the stream; 0 for an empty stream.
    common::log_offset head;
    /// Offset of the oldest record that has not been trimmed.
    common::log_offset oldest;
};

template <typename Answer>
using answer_hook = std::function<auto(common::result<Answer> answer)->void>;

/// The append-only log.
///
/// Errors of `append`: `log_unavailable` (`not_run`: nothing was sent, or the log refused the
/// record), or `append_unknown` (`unknown`: the record may have been appended; the caller has to
/// read the log to find out and must not simply append again). `read` returns the records after
/// `after`; if there are none, it waits for new ones up to `wait`. Errors of `read`:
/// `log_unavailable`, or `log_trimmed` if the records right after `after` have been trimmed.
struct log_hooks {
    std::function<
        auto(std::string stream, std::string data, answer_hook<common::log_offset> done)->void>
        append;
    std::function<auto(
                      std::string stream,
                      common::log_offset after,
                      std::chrono::milliseconds wait,
                      answer_hook<read_answer> done)
                      ->void>
        read;
};

enum class host_role : std::uint8_t { entry, server };
enum class host_state : std::uint8_t { live, leaving };

/// A row of the platform's list of hosts. The list lags behind the actual state.
struct host_entry {
    common::host_id host;
    common::data_centre_id data_centre;
    common::region_id region;
    host_role role = host_role::entry;
    host_state state = host_state::live;
    /// "IP:port" of the RPC listener of the process on this host.
    std::string rpc;
    /// "IP:port" of the process's HTTP listener: the callers' API of an entry, metrics and health
    /// of an agent.
    std::string http;
};

struct host_hooks {
    std::function<auto(answer_hook<std::vector<host_entry>> done)->void> list;
};

/// A rating of an answer, from 0.0 (useless) to 1.0 (perfect). Ratings may arrive late or never.
struct rating {
    common::request_id request;
    double score = 0.0;
};

struct rating_page {
    std::vector<rating> ratings;
    /// The value of `since` for the next call.
    std::uint64_t next = 0;
};

struct rating_hooks {
    /// Submits an answer for rating. The rating, if any, is returned by a later `fetch`.
    std::function<auto(common::request_id request, std::string question, std::string answer)->void>
        submit;
    /// Fetches the ratings made since `since`.
    std::function<auto(std::uint64_t since, answer_hook<rating_page> done)->void> fetch;
};

} // namespace reedramp::platform
