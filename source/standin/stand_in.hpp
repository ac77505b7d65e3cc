#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "common/result.hpp"
#include "daemon/io_pool.hpp"
#include "part.hpp"
#include "settings.hpp"

namespace reedramp::standin {

/// Kind, name and listening port of a running part.
struct part_endpoint {
    std::string kind;
    std::string name;
    std::uint16_t port = 0;
};

/// Runs the configured parts, each on one thread of a pool, until destruction.
class stand_in {
public:
    /// Opens all parts and starts the threads. Errors: that of the first listener that fails to
    /// open.
    static auto start(const stand_in_settings& config) -> common::result<std::unique_ptr<stand_in>>;

    stand_in(const stand_in&) = delete;
    stand_in(stand_in&&) = delete;
    auto operator=(const stand_in&) -> stand_in& = delete;
    auto operator=(stand_in&&) -> stand_in& = delete;
    ~stand_in();

    [[nodiscard]] auto parts() const -> std::vector<part_endpoint>;

    /// Returns the port of the part named `name`, or 0 if there is none.
    [[nodiscard]] auto port_of(const std::string& name) const -> std::uint16_t;

    [[nodiscard]] auto pool() -> daemon::io_pool& { return this->threads; }

private:
    explicit stand_in(std::uint32_t thread_count) : threads(thread_count) {}

    auto open_parts(const stand_in_settings& config) -> common::result<void>;
    /// Returns an environment on the next thread, with its own random generator.
    auto next_environment(std::uint64_t seed) -> part_environment;
    auto add_part(common::result<std::unique_ptr<part_server>> opened) -> common::result<void>;

    daemon::io_pool threads;
    std::vector<std::unique_ptr<part_server>> servers;
};

} // namespace reedramp::standin
