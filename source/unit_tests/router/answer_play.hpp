#pragma once

#include <functional>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "entry_fleet.hpp"

/// Entries, servers that say something of themselves in their answers, and callers, without a
/// network.
namespace reedramp::router::testing {

struct answer_play_shape {
    std::size_t entries = 4;
    std::size_t servers = 12;
    /// Requests a second, over all entries.
    std::size_t per_second = 100;
    /// Part of the datagrams that are lost.
    double loss = 0.0;
    std::uint64_t seed = 1;
};

/// One request that has come to a server.
struct arrival {
    common::time_point at;
    std::size_t entry = 0;
    std::string server;
    /// How often the entry had been started anew.
    std::size_t process = 0;
};

/// One answer that has come to an entry.
struct given_answer {
    common::time_point at;
    arrival of;
    std::uint16_t status = 0;
};

/// What a server answers to it.
struct server_answer {
    std::uint16_t status = 200;
    std::vector<http::header> headers = {};
};

/// Callers ask at entries drawn by chance; each server answers after a while, as the test says.
class answer_play {
public:
    explicit answer_play(const answer_play_shape& shape);

    auto run(milliseconds time) -> void;

    /// A new process on an entry's host.
    auto start_anew(std::size_t entry) -> void;

    [[nodiscard]] auto now() const -> common::time_point { return this->fleet.now; }

    [[nodiscard]] auto name_of(std::size_t server) const -> std::string;

    /// Whether the process that sent this request had read an answer of its server by `time`.
    [[nodiscard]] auto had_answer(const arrival& one, common::time_point time) const -> bool;

    /// The most requests in any `window` that came to the server after `from`, of those that
    /// `counts`.
    [[nodiscard]] auto max_count_within(
        const std::string& server,
        milliseconds window,
        common::time_point from,
        const std::function<auto(const arrival& one)->bool>& counts = {}) const -> std::size_t;

    /// Requests that came to the server from `from` on.
    [[nodiscard]] auto arrivals_at(const std::string& server, common::time_point from) const
        -> std::size_t;

    /// Callers with this status.
    [[nodiscard]] auto with_status(int status) const -> std::size_t;

    entry_fleet fleet;
    std::mt19937_64 random;
    /// Without, all requests are served.
    std::function<auto(const arrival& one)->server_answer> answer;
    std::vector<arrival> arrivals;
    std::vector<given_answer> given;
    std::vector<std::shared_ptr<caller>> callers;

private:
    struct begun {
        std::shared_ptr<sent_request> call;
        arrival came;
        common::time_point ends_at;
    };

    auto ask() -> void;
    auto take_new_sends() -> void;
    auto answer_due() -> void;

    answer_play_shape shape;
    std::vector<std::size_t> taken;
    std::vector<std::size_t> processes;
    std::vector<begun> under_way;
    common::time_point next_request;
};

} // namespace reedramp::router::testing
