#include "membership/readiness.hpp"

namespace reedramp::membership {

auto readiness::update(
    bool has_configuration, const server_coverage& coverage, common::time_point now) -> bool
{
    const std::lock_guard guard(this->lock);
    if (this->is_ready) {
        return true;
    }
    if (!has_configuration || !coverage.list_was_read) {
        return false;
    }
    if (this->wait_ends_at == common::never) {
        this->wait_ends_at = now + this->settings.server_wait;
    }
    this->is_ready = coverage.listed == coverage.servers || now >= this->wait_ends_at;
    return this->is_ready;
}

} // namespace reedramp::membership
