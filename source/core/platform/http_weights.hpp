#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "common/ids.hpp"
#include "http/client.hpp"
#include "http/message.hpp"
#include "platform/hooks.hpp"

namespace reedramp::platform {

/// The weight store's answer to a fetch: completed, or to be retried later.
struct weight_answer {
    bool fetched = false;
    /// Set if the store is at its rate limit.
    std::chrono::seconds retry_after{0};
};

struct weight_hooks {
    /// Fetches a version's weights; the answer is delivered when the transfer has completed.
    std::function<
        auto(common::version_id version, std::uint64_t bytes, answer_hook<weight_answer> done)
            ->void>
        fetch;
};

/// Hooks for the weight store over HTTP: `POST /weights/fetch`. Error: `platform_unavailable`.
auto make_http_weights(std::shared_ptr<http::client> client, http::endpoint where) -> weight_hooks;

} // namespace reedramp::platform
