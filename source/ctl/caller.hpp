#pragma once

#include <chrono>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "common/result.hpp"
#include "daemon/io_pool.hpp"
#include "http/client.hpp"
#include "http/message.hpp"
#include "options.hpp"
#include "platform/hooks.hpp"

namespace reedramp::ctl {

/// A request and where it goes.
struct addressed_request {
    http::endpoint where;
    http::request request;
};

/// Sends requests and waits for their answers, from a thread that is none of the pool's.
class caller {
public:
    explicit caller(std::string operator_key);
    ~caller();
    caller(const caller&) = delete;
    caller(caller&&) = delete;
    auto operator=(const caller&) -> caller& = delete;
    auto operator=(caller&&) -> caller& = delete;

    /// One question to an entry or an agent, with the operator's key.
    auto ask(const http::endpoint& where, http::request request) -> common::result<std::string>;

    /// Asks all at once; answers in the order of the questions. A process that is silent for two
    /// seconds counts as not answering. Without the operator's key if `with_key` is false.
    auto ask_all(std::vector<addressed_request> questions, bool with_key)
        -> std::vector<common::result<std::string>>;

    /// As `ask_all` without the key, but gives answers with any status.
    auto answers_of(const std::vector<addressed_request>& questions)
        -> std::vector<common::result<http::response>>;

    /// Asks one entry after the other until one answers for good. Only for what may be asked twice.
    auto ask_any(const std::vector<http::endpoint>& entries, const http::request& request)
        -> common::result<std::string>;

    auto hosts(const http::endpoint& where) -> common::result<std::vector<platform::host_entry>>;

private:
    auto send(
        const std::shared_ptr<http::client>& by, const http::endpoint& where, http::request request)
        -> common::result<std::string>;

    std::string key;
    daemon::io_pool pool;
    /// Waits as long as an entry takes to publish.
    std::shared_ptr<http::client> patient;
    std::shared_ptr<http::client> quick;
};

/// Entries to ask: those given, then live ones of the host list.
auto entries_of(caller& by, const options& given) -> common::result<std::vector<http::endpoint>>;

} // namespace reedramp::ctl
