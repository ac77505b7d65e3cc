#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "entry_fleet.hpp"

/// Entries, servers that end under some requests, and callers, without a network.
namespace reedramp::router::testing {

struct crash_play_shape {
    std::size_t entries = 4;
    std::size_t servers = 16;
    /// Part of the datagrams that are lost.
    double loss = 0.0;
    std::uint64_t seed = 1;
    /// A server that ended starts again under its id, and says when it has; else another one
    /// starts.
    bool returns_under_id = false;
};

/// Who asks, and how.
struct asked_by {
    std::string path = "/stream/1";
    std::string key = "key";
    std::vector<http::header> headers = {};
};

/// A caller's request, and what became of it.
struct played_request {
    std::size_t entry = 0;
    std::string attempt;
    std::string body;
    std::shared_ptr<caller> out;
};

/// One arrival of a request at a server.
struct played_send {
    common::time_point at;
    std::size_t entry = 0;
    std::string server;
    std::string attempt;
    std::string body;
};

/// Servers answer each request after a while. One whose body says so ends the server that begins
/// it, with all that this server has under way. A server that has ended refuses connections; its
/// registration goes, and another one starts in its place.
class crash_play {
public:
    explicit crash_play(const crash_play_shape& shape);

    /// A request at an entry, under a new attempt id.
    auto ask(std::size_t entry, const std::string& body, const asked_by& how = {})
        -> std::shared_ptr<caller>;

    /// The same at an entry drawn by chance, of those that live.
    auto ask_anywhere(const std::string& body, const asked_by& how = {}) -> std::shared_ptr<caller>;

    /// When the last of the entries that live and are not frozen had the request barred; `never`
    /// while one has not.
    [[nodiscard]] auto known_to_all(const std::string& body) const -> common::time_point;

    /// A new process on an entry's host.
    auto start_anew(std::size_t entry) -> void;

    /// Ends a server for a reason of its own.
    auto crash(const std::string& server) -> void;

    auto run(milliseconds time) -> void;

    /// Body of a request that ends servers; those with other `name`s are other requests.
    static auto ending(const std::string& name) -> std::string;

    /// When the request had ended its third server; `never` if it has not.
    [[nodiscard]] auto third_end(const std::string& body) const -> common::time_point;

    /// Arrivals of the request at servers later than `time`.
    [[nodiscard]] auto arrivals_after(const std::string& body, common::time_point time) const
        -> std::size_t;

    /// Servers that live.
    [[nodiscard]] auto living() const -> std::vector<std::string>;

    [[nodiscard]] auto now() const -> common::time_point;

    entry_fleet fleet;
    std::vector<played_request> asked;
    std::vector<played_send> sends;
    std::mt19937_64 random;

private:
    struct begun {
        std::shared_ptr<sent_request> call;
        std::string server;
        std::string body;
        common::time_point ends_at;
    };

    auto take_new_sends() -> void;
    auto answer_due() -> void;
    auto replace_due() -> void;
    auto end_server(const std::string& server) -> void;
    auto start_server(const std::string& id) -> void;
    auto note_known() -> void;

    crash_play_shape shape;
    std::vector<std::size_t> taken;
    std::map<std::string, common::time_point> known_at;
    std::vector<begun> under_way;
    std::set<std::string> alive;
    /// When the registration of one that ended goes, and another one starts.
    std::multimap<common::time_point, std::string> to_remove;
    std::multimap<common::time_point, std::string> to_start;
    std::map<std::string, std::vector<common::time_point>> ends_of;
    std::size_t started = 0;
    std::size_t attempts = 0;
};

} // namespace reedramp::router::testing
