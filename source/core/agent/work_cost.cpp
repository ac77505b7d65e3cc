#include "agent/work_cost.hpp"

#include <algorithm>

#include "agent/engine_protocol.hpp"

namespace reedramp::agent {

namespace {

constexpr std::uint64_t bytes_per_token = 4;
/// Number of prompt tokens that cost as much as one completion token.
constexpr std::uint64_t prompt_tokens_per_unit = 16;
/// Expected length of an answer without a limit from the caller, and the maximum expected with one.
/// Callers often set limits that their answers never reach.
constexpr std::uint64_t default_completion_tokens = 128;
constexpr std::uint64_t max_expected_completion_tokens = 512;

} // namespace

auto expected_cost(const messages::run_request& request) -> common::token_count
{
    if (request.kind == messages::work_kind::service) {
        return common::token_count{1};
    }
    const auto prompt = request.body.size() / bytes_per_token / prompt_tokens_per_unit;
    const auto limit = request.max_tokens.value();
    const auto completion =
        limit == 0 ? default_completion_tokens : std::min(limit, max_expected_completion_tokens);
    return common::token_count{prompt + completion};
}

auto actual_cost(const messages::run_request& request, const messages::usage& used)
    -> common::token_count
{
    if (request.kind == messages::work_kind::service) {
        return common::token_count{1};
    }
    const auto prompt = used.prompt_tokens.value() / prompt_tokens_per_unit;
    return common::token_count{prompt + used.completion_tokens.value()};
}

auto make_backend_call(const messages::run_request& request) -> common::result<backend_call>
{
    backend_call call;
    call.kind = request.kind;
    call.request = request.key.request;
    call.stream = request.stream;
    if (request.kind == messages::work_kind::service) {
        call.method = request.method;
        call.path = request.path;
        call.content_type = request.content_type;
        call.body = request.body;
        return call;
    }
    auto body = build_engine_body(request);
    if (!body) {
        return tl::unexpected(body.error());
    }
    call.method = "POST";
    call.path = chat_path;
    call.content_type = "application/json";
    call.body = std::move(*body);
    return call;
}

} // namespace reedramp::agent
