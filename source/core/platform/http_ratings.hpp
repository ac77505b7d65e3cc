#pragma once

#include <memory>

#include "http/client.hpp"
#include "http/message.hpp"
#include "platform/hooks.hpp"

namespace reedramp::platform {

/// Hooks for the rating service over HTTP: `POST /ratings/submit` and `GET /ratings?since=K`.
///
/// A lost submission is not retried: ratings are a sample, and a missing one only makes an estimate
/// less precise. Error of `fetch`: `platform_unavailable`.
auto make_http_ratings(std::shared_ptr<http::client> client, http::endpoint where) -> rating_hooks;

} // namespace reedramp::platform
