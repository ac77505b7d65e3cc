#include "agent/registration_watcher.hpp"

#include <algorithm>
#include <utility>

#include "platform/json_fields.hpp"

namespace reedramp::agent {

registration_watcher::registration_watcher(
    common::server_id whose, std::string text, common::log_offset own)
    : server(std::move(whose)), own_record(std::move(text)), cursor(own), newest_registration(own)
{
}

auto registration_watcher::apply(const platform::read_answer& answer)
    -> common::result<common::log_offset>
{
    if (answer.head < this->cursor) {
        return common::failure(common::result_code::log_unavailable, "log replica lags behind");
    }
    for (const auto& item : answer.records) {
        this->cursor = std::max(this->cursor, item.offset);
        // A copy of the own record comes from a repeated append, not from another agent.
        if (item.data == this->own_record) {
            continue;
        }
        const auto fields = platform::parse_object(item.data);
        const auto named = fields ? platform::string_field(*fields, "server") : std::nullopt;
        if (named == this->server.value()) {
            this->newest_registration = std::max(this->newest_registration, item.offset);
        }
    }
    if (this->cursor < answer.head) {
        return common::log_offset{};
    }
    return this->newest_registration;
}

} // namespace reedramp::agent
