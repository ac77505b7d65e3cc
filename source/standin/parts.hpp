#pragma once

#include <memory>
#include <string>

#include "common/result.hpp"
#include "part.hpp"
#include "settings.hpp"

/// The parts of the stand-in. Each `open_...` listens and gives the running part, or the error of
/// the listener.
namespace reedramp::standin {

using opened_part = common::result<std::unique_ptr<part_server>>;

/// The append-only log: `POST /log/<stream>/append`, `GET /log/<stream>/read`.
auto open_log(const part_tools& tools, const std::string& address, const log_settings& wanted)
    -> opened_part;

/// The list of hosts: `GET /hosts`, `PUT` and `DELETE /hosts/<host>`.
auto open_hosts(const part_tools& tools, const std::string& address, const hosts_settings& wanted)
    -> opened_part;

/// The rating service: `POST /ratings/submit`, `GET /ratings`.
auto open_ratings(
    const part_tools& tools, const std::string& address, const ratings_settings& wanted)
    -> opened_part;

/// The weight store: `POST /weights/fetch`.
auto open_weights(
    const part_tools& tools, const std::string& address, const weights_settings& wanted)
    -> opened_part;

/// A model engine: `POST /v1/chat/completions`, `GET /load`, `POST /orders`.
auto open_engine(const part_tools& tools, const std::string& address, const engine_settings& wanted)
    -> opened_part;

/// A plain service: any method and path; `GET /runs` gives the counters.
auto open_service(
    const part_tools& tools, const std::string& address, const service_settings& wanted)
    -> opened_part;

} // namespace reedramp::standin
