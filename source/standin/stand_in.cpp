#include "stand_in.hpp"

#include <random>
#include <utility>

#include "daemon/clock.hpp"
#include "parts.hpp"

namespace reedramp::standin {

auto stand_in::start(const stand_in_settings& wanted) -> common::result<std::unique_ptr<stand_in>>
{
    std::unique_ptr<stand_in> made(new stand_in(wanted.threads));
    const auto opened = made->open_parts(wanted);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    made->threads.start();
    return made;
}

stand_in::~stand_in()
{
    // Timers refer to the parts; none may fire while they are destroyed.
    this->threads.stop();
}

auto stand_in::parts() const -> std::vector<open_part>
{
    std::vector<open_part> listed;
    listed.reserve(this->servers.size());
    for (const auto& server : this->servers) {
        listed.push_back({server->kind(), server->name(), server->port()});
    }
    return listed;
}

auto stand_in::port_of(const std::string& name) const -> std::uint16_t
{
    for (const auto& server : this->servers) {
        if (server->name() == name) {
            return server->port();
        }
    }
    return 0;
}

auto stand_in::open_parts(const stand_in_settings& wanted) -> common::result<void>
{
    auto seed = wanted.seed;
    const auto open = [this, &wanted, &seed](auto open_one, const auto& part) {
        return this->keep(open_one(this->next_tools(seed++), wanted.address, part));
    };
    common::result<void> opened;
    if (wanted.log) {
        opened = opened ? open(open_log, *wanted.log) : opened;
    }
    if (wanted.hosts) {
        opened = opened ? open(open_hosts, *wanted.hosts) : opened;
    }
    if (wanted.ratings) {
        opened = opened ? open(open_ratings, *wanted.ratings) : opened;
    }
    if (wanted.weights) {
        opened = opened ? open(open_weights, *wanted.weights) : opened;
    }
    for (const auto& engine : wanted.engines) {
        opened = opened ? open(open_engine, engine) : opened;
    }
    for (const auto& service : wanted.services) {
        opened = opened ? open(open_service, service) : opened;
    }
    return opened;
}

auto stand_in::next_tools(std::uint64_t seed) -> part_tools
{
    const auto generator = std::make_shared<std::mt19937_64>(seed);
    return {
        &this->threads.next_context(),
        daemon::boot_time,
        this->threads.timers(),
        [generator] { return (*generator)(); },
    };
}

auto stand_in::keep(common::result<std::unique_ptr<part_server>> opened) -> common::result<void>
{
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->servers.push_back(std::move(*opened));
    return {};
}

} // namespace reedramp::standin
