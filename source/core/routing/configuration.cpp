#include "routing/configuration.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::routing {

namespace {

auto plain_host(std::string_view host) -> std::string
{
    std::string name{host.substr(0, host.find(':'))};
    std::ranges::transform(name, name.begin(), [](char letter) {
        return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
    });
    return name;
}

} // namespace

route_table::route_table(configuration rules_to_hold) : content(std::move(rules_to_hold))
{
    for (const auto& item : this->content.routes) {
        this->by_host[plain_host(item.host)].push_back(&item);
    }
    for (auto& [host, routes] : this->by_host) {
        std::ranges::stable_sort(routes, [](const route* left, const route* right) {
            return left->path_prefix.size() > right->path_prefix.size();
        });
    }
    for (const auto& one : this->content.organisations) {
        for (const auto& key : one.keys) {
            this->by_key.emplace(key, &one);
        }
    }
}

auto route_table::find(std::string_view host, std::string_view path) const -> const route*
{
    const auto found = this->by_host.find(plain_host(host));
    if (found == this->by_host.end()) {
        return nullptr;
    }
    const auto only_path = path.substr(0, path.find('?'));
    const auto match = std::ranges::find_if(found->second, [only_path](const route* item) {
        return only_path.starts_with(item->path_prefix);
    });
    return match == found->second.end() ? nullptr : *match;
}

auto route_table::owner_of(const std::string& key) const -> const organisation*
{
    const auto found = this->by_key.find(key);
    return found == this->by_key.end() ? nullptr : found->second;
}

auto route_table::find_service(const common::service_name& name) const -> const service*
{
    const auto found = std::ranges::find(this->content.services, name, &service::name);
    return found == this->content.services.end() ? nullptr : &*found;
}

auto is_repeatable(const route& on) -> bool
{
    return on.kind == request_kind::idempotent ||
           (on.kind == request_kind::stream && on.is_resumable);
}

auto choose_service(const route& from, double draw) -> const common::service_name&
{
    std::uint64_t total = 0;
    for (const auto& target : from.targets) {
        total += target.weight;
    }
    auto rest = draw * static_cast<double>(total);
    for (const auto& target : from.targets) {
        rest -= static_cast<double>(target.weight);
        if (rest < 0.0) {
            return target.service;
        }
    }
    return from.targets.back().service;
}

} // namespace reedramp::routing
