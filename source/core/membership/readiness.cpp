#include "membership/readiness.hpp"

namespace reedramp::membership {

auto readiness::update(bool has_configuration, const server_coverage& seen, common::time_point now)
    -> bool
{
    const std::lock_guard guard(this->lock);
    if (this->is_ready) {
        return true;
    }
    if (!has_configuration || !seen.list_was_read) {
        return false;
    }
    if (this->settled_at == common::never) {
        this->settled_at = now + this->settings.settle;
    }
    this->is_ready = seen.listed == seen.servers || now >= this->settled_at;
    return this->is_ready;
}

} // namespace reedramp::membership
