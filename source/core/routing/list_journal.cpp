#include "routing/list_journal.hpp"

namespace reedramp::routing {

namespace {

/// Twice the number of servers that the design is for, all of which may be replaced in one
/// roll-out: about 300 KB. An entry that lacks more requests the whole list, which is no longer
/// than that.
constexpr std::size_t max_changes = 1240;

} // namespace

auto list_journal::note(
    std::uint64_t from, std::uint64_t end, const std::vector<registration_change>& read) -> void
{
    const bool follows = !this->is_empty && from <= this->known_to && from >= this->kept_from;
    if (!follows) {
        this->changes.clear();
        this->kept_from = from;
    }
    this->is_empty = false;
    this->known_to = end;
    for (const auto& change : read) {
        this->changes.push_back({end, change});
    }
    while (this->changes.size() > max_changes) {
        this->kept_from = this->changes.front().end;
        this->changes.pop_front();
    }
}

auto list_journal::since(std::uint64_t position) const
    -> std::optional<std::vector<registration_change>>
{
    if (this->is_empty || position < this->kept_from || position > this->known_to) {
        return std::nullopt;
    }
    std::vector<registration_change> later;
    for (const auto& one : this->changes) {
        if (one.end > position) {
            later.push_back(one.change);
        }
    }
    return later;
}

} // namespace reedramp::routing
