#pragma once

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include <catch2/catch.hpp>

#include "daemon/io_pool.hpp"
#include "http/client.hpp"
#include "stand_in.hpp"

/// A running stand-in and a client connected to it over loopback.
struct stand_in_fixture {
    using client_pointer = std::shared_ptr<reedramp::http::client>;

    explicit stand_in_fixture(
        const std::string& settings, std::chrono::milliseconds idle_timeout = max_wait)
        : started(reedramp::standin::stand_in::start(
              reedramp::standin::parse_settings(settings).value())),
          pool(1)
    {
        REQUIRE(this->started);
        reedramp::http::client_options options;
        options.idle_timeout = idle_timeout;
        this->client = reedramp::http::client::create(this->pool.next_context(), options);
        this->pool.start();
    }

    ~stand_in_fixture() { this->pool.stop(); }

    [[nodiscard]] auto where(const std::string& part) const -> reedramp::http::endpoint
    {
        return {"127.0.0.1", this->started.value()->port_of(part)};
    }

    auto call(const std::string& part, std::string method, std::string target, std::string body)
        -> reedramp::common::result<reedramp::http::response>
    {
        reedramp::http::request request;
        request.method = std::move(method);
        request.target = std::move(target);
        request.body = std::move(body);
        return this->wait_for<reedramp::http::response>([&](auto done) {
            this->client->send(this->where(part), std::move(request), {{}, {}, std::move(done)});
        });
    }

    auto set_faults(const std::string& part, const std::string& json) -> void
    {
        REQUIRE(this->call(part, "POST", "/faults", json)->status == 200);
    }

    /// Calls `start` with a callback and waits for the answer passed to the callback.
    template <typename Answer, typename Start>
    static auto wait_for(Start start) -> reedramp::common::result<Answer>
    {
        using result = reedramp::common::result<Answer>;
        const auto promise = std::make_shared<std::promise<result>>();
        auto future = promise->get_future();
        start([promise](result answer) { promise->set_value(std::move(answer)); });
        REQUIRE(future.wait_for(max_wait) == std::future_status::ready);
        return future.get();
    }

    static constexpr std::chrono::milliseconds max_wait{20000};

    reedramp::common::result<std::unique_ptr<reedramp::standin::stand_in>> started;
    reedramp::daemon::io_pool pool;
    client_pointer client;
};
