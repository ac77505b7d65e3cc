#include "stand_in.hpp"

#include <random>
#include <utility>

#include "daemon/clock.hpp"
#include "parts.hpp"

namespace reedramp::standin {

auto stand_in::start(const stand_in_settings& config) -> common::result<std::unique_ptr<stand_in>>
{
    std::unique_ptr<stand_in> instance(new stand_in(config.threads));
    const auto opened = instance->open_parts(config);
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    instance->threads.start();
    return instance;
}

stand_in::~stand_in()
{
    // Timer callbacks hold pointers to the parts: stop the threads before the parts are destroyed.
    this->threads.stop();
}

auto stand_in::parts() const -> std::vector<part_endpoint>
{
    std::vector<part_endpoint> listed;
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

auto stand_in::open_parts(const stand_in_settings& config) -> common::result<void>
{
    auto seed = config.seed;
    const auto open = [this, &config, &seed](auto open_one, const auto& part) {
        return this->add_part(open_one(this->next_environment(seed++), config.address, part));
    };
    common::result<void> opened;
    if (config.log) {
        opened = opened ? open(open_log, *config.log) : opened;
    }
    if (config.hosts) {
        opened = opened ? open(open_hosts, *config.hosts) : opened;
    }
    if (config.ratings) {
        opened = opened ? open(open_ratings, *config.ratings) : opened;
    }
    if (config.weights) {
        opened = opened ? open(open_weights, *config.weights) : opened;
    }
    for (const auto& engine : config.engines) {
        opened = opened ? open(open_engine, engine) : opened;
    }
    for (const auto& service : config.services) {
        opened = opened ? open(open_service, service) : opened;
    }
    return opened;
}

auto stand_in::next_environment(std::uint64_t seed) -> part_environment
{
    const auto generator = std::make_shared<std::mt19937_64>(seed);
    return {
        &this->threads.next_context(),
        daemon::boot_time,
        this->threads.timers(),
        [generator] { return (*generator)(); },
    };
}

auto stand_in::add_part(common::result<std::unique_ptr<part_server>> opened) -> common::result<void>
{
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    this->servers.push_back(std::move(*opened));
    return {};
}

} // namespace reedramp::standin
