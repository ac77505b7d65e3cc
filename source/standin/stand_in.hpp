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

/// Where a part listens.
struct open_part {
    std::string kind;
    std::string name;
    std::uint16_t port = 0;
};

/// The parts that the settings ask for, each on one of the threads. They run until destruction.
class stand_in {
public:
    /// Errors: that of the first listener that could not be opened.
    static auto start(const stand_in_settings& wanted) -> common::result<std::unique_ptr<stand_in>>;

    stand_in(const stand_in&) = delete;
    stand_in(stand_in&&) = delete;
    auto operator=(const stand_in&) -> stand_in& = delete;
    auto operator=(stand_in&&) -> stand_in& = delete;
    ~stand_in();

    [[nodiscard]] auto parts() const -> std::vector<open_part>;

    /// Port of the part with this name; 0 if there is none.
    [[nodiscard]] auto port_of(const std::string& name) const -> std::uint16_t;

    [[nodiscard]] auto pool() -> daemon::io_pool& { return this->threads; }

private:
    explicit stand_in(std::uint32_t thread_count) : threads(thread_count) {}

    auto open_parts(const stand_in_settings& wanted) -> common::result<void>;
    auto next_tools(std::uint64_t seed) -> part_tools;
    auto keep(common::result<std::unique_ptr<part_server>> opened) -> common::result<void>;

    daemon::io_pool threads;
    std::vector<std::unique_ptr<part_server>> servers;
};

} // namespace reedramp::standin
