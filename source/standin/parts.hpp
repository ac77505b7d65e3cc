#pragma once

#include <memory>
#include <string>

#include "common/result.hpp"
#include "part.hpp"
#include "settings.hpp"

/// The parts of the stand-in. Each `open_...` function binds the listener and returns the running
/// part, or the listener's error.
namespace reedramp::standin {

using part_result = common::result<std::unique_ptr<part_server>>;

/// The append-only log: `POST /log/<stream>/append`, `GET /log/<stream>/read`.
auto open_log(
    const part_environment& environment, const std::string& address, const log_settings& config)
    -> part_result;

/// The host list: `GET /hosts`, `PUT` and `DELETE /hosts/<host>`.
auto open_hosts(
    const part_environment& environment, const std::string& address, const hosts_settings& config)
    -> part_result;

/// The rating service: `POST /ratings/submit`, `GET /ratings`.
auto open_ratings(
    const part_environment& environment, const std::string& address, const ratings_settings& config)
    -> part_result;

/// The weight store: `POST /weights/fetch`.
auto open_weights(
    const part_environment& environment, const std::string& address, const weights_settings& config)
    -> part_result;

/// A model engine: `POST /v1/chat/completions`, `GET /load`, `POST /orders`.
auto open_engine(
    const part_environment& environment, const std::string& address, const engine_settings& config)
    -> part_result;

/// A plain service, which accepts any method and path. `GET /runs` and `GET /runs/bodies` return
/// its run counters.
auto open_service(
    const part_environment& environment, const std::string& address, const service_settings& config)
    -> part_result;

} // namespace reedramp::standin
