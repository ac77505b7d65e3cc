#include "entry/admin_api.hpp"

#include <algorithm>
#include <utility>

#include <openssl/crypto.h>

#include <boost/json.hpp>

#include "entry/callers_api.hpp"
#include "inventory/hash.hpp"

namespace reedramp::entry {

namespace json = boost::json;

namespace {

constexpr std::string_view admin_prefix = "/admin/v1/";
constexpr std::string_view explain_prefix = "explain/";
constexpr std::string_view bearer_prefix = "Bearer ";
constexpr std::size_t max_json_depth = 32;

/// Sends the response to one operator request.
struct operator_call {
    common::request_id id;
    common::time_point now;
    std::shared_ptr<http::responder> responder;

    auto send(const common::result<std::string>& answer) const -> void
    {
        if (!answer) {
            this->responder->send(problem_response(answer.error(), this->id, this->now));
            return;
        }
        auto response = json_response(200, *answer);
        response.headers.push_back(
            {std::string(header_names::request_id), common::to_string(this->id)});
        this->responder->send(std::move(response));
    }

    auto fail(common::result_code code, std::string detail = {}) const -> void
    {
        this->send(common::failure(code, std::move(detail)));
    }
};

auto read_version(const std::string& body) -> common::result<common::version_id>
{
    json::parse_options options;
    options.max_depth = max_json_depth;
    json::error_code failed;
    const auto value = json::parse(body, failed, {}, options);
    if (failed || !value.is_object()) {
        return common::failure(common::result_code::malformed_json, "not a JSON object");
    }
    const auto* version = value.as_object().if_contains("version");
    if (version == nullptr || !version->is_string() || version->as_string().empty()) {
        return common::failure(
            common::result_code::malformed_json, "version: a string is required");
    }
    const auto& text = version->as_string();
    return common::version_id(std::string(text.data(), text.size()));
}

auto explain(const admin_hooks& hooks, std::string_view id, const operator_call& call) -> void
{
    const auto request = common::parse_request_id(id);
    if (!request || !hooks.explain) {
        call.fail(common::result_code::not_found, "no such request id");
        return;
    }
    auto found = hooks.explain(*request);
    if (!found) {
        call.fail(common::result_code::not_found, "this entry has no record of the request");
        return;
    }
    call.send(*found);
}

using text_hook = std::function<auto()->common::result<std::string>>;

auto response_text(const text_hook& hook, const operator_call& call) -> void
{
    if (!hook) {
        call.fail(common::result_code::not_found);
        return;
    }
    call.send(hook());
}

auto handle_get(const admin_hooks& hooks, std::string_view path, const operator_call& call) -> void
{
    if (path == "state") {
        response_text(hooks.state, call);
    }
    else if (path == "history") {
        response_text(hooks.history, call);
    }
    else if (path == "status") {
        response_text(hooks.status, call);
    }
    else if (path == "bills" && hooks.bills) {
        hooks.bills([call](const common::result<std::string>& answer) { call.send(answer); });
    }
    else if (path.starts_with(explain_prefix)) {
        explain(hooks, path.substr(explain_prefix.size()), call);
    }
    else {
        call.fail(common::result_code::unknown_path);
    }
}

auto handle_post(
    const admin_hooks& hooks,
    std::string_view path,
    const std::string& body,
    const operator_call& call) -> void
{
    if (path == "records" && hooks.publish) {
        hooks.publish(
            body, [call](const common::result<std::string>& answer) { call.send(answer); });
        return;
    }
    if (path != "withdrawals" || !hooks.withdraw) {
        call.fail(common::result_code::unknown_path);
        return;
    }
    const auto version = read_version(body);
    if (!version) {
        call.send(tl::unexpected(version.error()));
        return;
    }
    hooks.withdraw(
        *version, [call](const common::result<std::string>& answer) { call.send(answer); });
}

} // namespace

admin_api::admin_api(std::vector<std::string> key_hashes, admin_hooks given)
    : hooks(std::move(given)), operator_key_hashes(std::move(key_hashes))
{
}

auto admin_api::allowed(const http::request& request) const -> bool
{
    const auto given = http::find_header(request.headers, header_names::authorization);
    if (!given || !given->starts_with(bearer_prefix)) {
        return false;
    }
    const auto hash = inventory::sha256_hex(given->substr(bearer_prefix.size()));
    return std::any_of(
        this->operator_key_hashes.begin(),
        this->operator_key_hashes.end(),
        [&hash](const std::string& known) {
            return known.size() == hash.size() &&
                   CRYPTO_memcmp(known.data(), hash.data(), hash.size()) == 0;
        });
}

auto admin_api::handle(
    const http::request& request,
    const common::request_id& id,
    common::time_point now,
    const std::shared_ptr<http::responder>& responder) const -> void
{
    const operator_call call{id, now, responder};
    if (!this->allowed(request)) {
        call.fail(common::result_code::operator_not_allowed);
        return;
    }
    auto path = std::string_view(request.target).substr(admin_prefix.size());
    path = path.substr(0, path.find('?'));
    if (request.method == "GET") {
        handle_get(this->hooks, path, call);
    }
    else if (request.method == "POST") {
        handle_post(this->hooks, path, request.body, call);
    }
    else {
        call.fail(common::result_code::method_not_allowed);
    }
}

} // namespace reedramp::entry
