#include "agent/request_checks.hpp"

#include <algorithm>

namespace reedramp::agent::request_checks {

using common::failure;
using common::result_code;
namespace rules = inventory::rules;

namespace {

auto find_server(const inventory::state& current, const common::server_id& id)
    -> const inventory::backend_server*
{
    const auto found = current.servers.find(id);
    return found == current.servers.end() ? nullptr : &found->second;
}

auto has_version(const inventory::backend_server& server, const common::version_id& version) -> bool
{
    return std::find(server.versions.begin(), server.versions.end(), version) !=
           server.versions.end();
}

/// Requests of a pinned session and resumed streams are not new work, so a version whose state is
/// uncertain still serves them. For a withdrawn version they are refused too.
auto origin_of(const messages::run_request& request) -> rules::work_origin
{
    const auto goes_on = request.sent_tokens.value() > 0;
    return request.session || goes_on ? rules::work_origin::pinned_session
                                      : rules::work_origin::new_work;
}

auto check_chat(
    const messages::run_request& request,
    const inventory::state& current,
    const inventory::organisation& owner,
    const inventory::backend_server* server,
    const rules::freshness& fresh) -> common::result<void>
{
    const auto version = rules::serving(current, request.version, fresh, origin_of(request));
    if (!version) {
        return tl::unexpected(version.error());
    }
    if ((*version)->model != request.model) {
        return failure(result_code::unknown_model, "version belongs to another model");
    }
    if (!rules::allowed(current, owner, **version)) {
        return failure(result_code::organisation_not_allowed, "version");
    }
    if (server == nullptr || !has_version(*server, request.version)) {
        return failure(result_code::no_capacity, "version is not served here");
    }
    return {};
}

auto check_service(
    const messages::run_request& request,
    const inventory::state& current,
    const inventory::organisation& owner,
    const inventory::backend_server* server) -> common::result<void>
{
    if (rules::find_service(current, request.service) == nullptr) {
        return failure(result_code::unknown_model, "service");
    }
    if (!rules::allowed(owner, request.service)) {
        return failure(result_code::organisation_not_allowed, "service");
    }
    if (server == nullptr || server->service != request.service) {
        return failure(result_code::no_capacity, "service is not served here");
    }
    return {};
}

} // namespace

auto needs_newer_configuration(
    const messages::run_request& request, const inventory::state& current) -> bool
{
    return current.offset < request.configuration;
}

auto check(
    const messages::run_request& request,
    const inventory::state& current,
    const rules::freshness& fresh,
    const common::server_id& server) -> common::result<void>
{
    if (current.offset.value() == 0) {
        return failure(result_code::not_ready);
    }
    const auto* owner = rules::find_organisation(current, request.organisation);
    if (owner == nullptr) {
        return failure(result_code::organisation_not_allowed, "unknown organisation");
    }
    const auto* here = find_server(current, server);
    return request.kind == messages::work_kind::chat
               ? check_chat(request, current, *owner, here, fresh)
               : check_service(request, current, *owner, here);
}

auto repeat_rule_for(const messages::run_request& request, const inventory::state& current)
    -> messages::repeat_rule
{
    const auto* item = request.kind == messages::work_kind::service
                           ? rules::find_service(current, request.service)
                           : nullptr;
    if (item == nullptr) {
        return request.repeat;
    }
    const auto own = rules::repeat_rule_of(*item, request.method);
    return own == messages::repeat_rule::at_most_once ? own : request.repeat;
}

auto can_serve(
    const inventory::state& current,
    const common::server_id& server,
    const common::version_id& version) -> bool
{
    const auto* here = find_server(current, server);
    if (here == nullptr) {
        return false;
    }
    if (version.value().empty()) {
        return here->kind == inventory::server_kind::service;
    }
    return has_version(*here, version) && !current.is_withdrawn(version);
}

} // namespace reedramp::agent::request_checks
