#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "common/units.hpp"
#include "routing/server_instance.hpp"

namespace reedramp::routing {

using common::time_point;

/// What an entry has read of a server's limit in an answer, for its peers.
struct limit_report {
    /// `hash_of` the start.
    std::uint64_t server = 0;
    /// Requests a second from all entries together; none: it takes any number.
    std::optional<double> per_second;
    /// Since the answer.
    std::chrono::milliseconds age{0};
};

/// What a word about a server's limit did.
enum class limit_change : std::uint8_t {
    none,
    /// It takes a limited number from now on.
    named,
    /// Another number, by more than a tenth.
    changed,
    /// It takes any number again.
    lifted,
};

/// How many requests a second servers say that they take from all entries together.
///
/// A server says so in its answers, for as long as it holds; the first answer without it ends it.
/// The newest answer counts, whichever entry got it. Entries tell each other only of answers that
/// they got themselves: words that were passed on would grow younger with each hop, and one that
/// has been taken back would go round among many entries.
class server_limits {
public:
    /// An answer of the server has come here.
    auto note(const server_instance& server, std::optional<double> per_second, time_point now)
        -> limit_change;

    /// An answer names what is no limit. True the first time.
    auto note_odd(const server_instance& server) -> bool;

    /// A peer's word.
    auto hear(const limit_report& told, time_point now) -> limit_change;

    /// For the peers, the newest words first.
    [[nodiscard]] auto tell(time_point now) const -> std::vector<limit_report>;

    /// Whether any server has a limit.
    [[nodiscard]] auto has_any() const -> bool { return this->limited > 0; }

    /// Requests a second from all entries together; none: it takes any number.
    [[nodiscard]] auto per_second(const server_instance& server) const -> std::optional<double>;

    /// Forgets words of long ago.
    auto forget_old(time_point now) -> void;

private:
    struct word {
        std::optional<double> per_second;
        time_point said_at;
        /// The answer came to this entry.
        bool is_own = false;
        /// The number when it last counted as changed.
        double marked = 0.0;
    };

    auto take(std::uint64_t server, const word& newest) -> limit_change;

    /// By the hash of the server's start.
    std::unordered_map<std::uint64_t, word> words;
    /// Servers with a limit.
    std::size_t limited = 0;
    /// Servers that have named what is no limit, by the same hash.
    std::unordered_set<std::uint64_t> odd;
};

} // namespace reedramp::routing
