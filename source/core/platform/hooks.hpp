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

/// The platform's services as hooks: the append-only log, the list of hosts, the rating service and
/// the weight store. `platform` implements them over HTTP; tests put small fakes in their place.
namespace reedramp::platform {

/// Streams of the log that the system uses. Operators publish on `configuration`.
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
    /// Offset of the oldest record still held.
    common::log_offset oldest;
};

template <typename Answer>
using answer_hook = std::function<auto(common::result<Answer> answer)->void>;

/// The append-only log.
///
/// `append` errors: `log_unavailable` (`not_run`: nothing was sent, or the log said no) or
/// `append_unknown` (`unknown`: the record may be there; read on to find out, never append again
/// blindly). `read` gives records after `after`, waits up to `wait` when there are none, and errors
/// with `log_unavailable` or `log_trimmed` (records right after `after` are gone).
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

/// One row of the platform's list of hosts. The list lags.
struct host_entry {
    common::host_id host;
    common::data_centre_id data_centre;
    common::region_id region;
    host_role role = host_role::entry;
    host_state state = host_state::live;
    /// "IP:port" of the RPC listener of the process on this host.
    std::string rpc;
    /// "IP:port" of its HTTP listener (callers' API on an entry, metrics and health on an agent).
    std::string http;
};

struct host_hooks {
    std::function<auto(answer_hook<std::vector<host_entry>> done)->void> list;
};

/// A rating of one answer, 0.0 (useless) to 1.0 (perfect). Ratings come late, or never.
struct rating {
    common::request_id request;
    double score = 0.0;
};

struct rating_page {
    std::vector<rating> ratings;
    /// Pass this to the next call.
    std::uint64_t next = 0;
};

struct rating_hooks {
    /// Asks the rating service to rate an answer some time.
    std::function<auto(common::request_id request, std::string question, std::string answer)->void>
        submit;
    /// Ratings made since `since`.
    std::function<auto(std::uint64_t since, answer_hook<rating_page> done)->void> fetch;
};

} // namespace reedramp::platform
