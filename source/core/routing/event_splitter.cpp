#include "routing/event_splitter.hpp"

#include <charconv>

namespace reedramp::routing {

namespace {

/// Maximum size of an event, and of what may come without one that has an id. Engines' events have
/// some hundred bytes; servers that never end their events would otherwise fill the entry's memory.
constexpr std::size_t max_event_bytes = 256UL * 1024UL;

/// Position and length of the blank line that ends an event.
struct event_end {
    std::size_t at = std::string::npos;
    std::size_t size = 0;
};

auto find_end(std::string_view text) -> event_end
{
    const auto unix_end = text.find("\n\n");
    const auto dos_end = text.find("\r\n\r\n");
    if (dos_end < unix_end) {
        return {dos_end, 4};
    }
    return {unix_end, 2};
}

auto id_of(std::string_view event) -> std::optional<std::int64_t>
{
    constexpr std::string_view field = "id:";
    std::size_t line_start = 0;
    while (line_start < event.size()) {
        const auto line_end = std::min(event.find('\n', line_start), event.size());
        auto line = event.substr(line_start, line_end - line_start);
        line_start = line_end + 1;
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        while (line.starts_with(' ')) {
            line.remove_prefix(1);
        }
        std::int64_t id = 0;
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), id);
        if (parsed.ec == std::errc{}) {
            return id;
        }
    }
    return std::nullopt;
}

} // namespace

auto event_splitter::add(std::string_view bytes, std::string& out) -> bool
{
    this->partial += bytes;
    this->without_id += bytes.size();
    std::string_view unread = this->partial;
    bool in_order = true;
    while (in_order) {
        const auto end = find_end(unread);
        if (end.at == std::string::npos) {
            break;
        }
        const auto event = unread.substr(0, end.at + end.size);
        in_order = this->accept_event(event);
        if (in_order) {
            out += event;
            unread.remove_prefix(event.size());
        }
    }
    this->partial.erase(0, this->partial.size() - unread.size());
    return in_order && this->without_id <= max_event_bytes;
}

auto event_splitter::accept_event(std::string_view event) -> bool
{
    const auto id = id_of(event);
    if (!id) {
        return true;
    }
    // A stream that starts at -1 accepts any first id, since servers choose the first number. The
    // ids are subtracted, not incremented, because a caller may name the largest possible number.
    const bool is_next = *id > this->newest_id && *id - this->newest_id == 1;
    const bool follows = this->newest_id < 0 || is_next;
    if (follows) {
        this->newest_id = *id;
        this->without_id = 0;
    }
    return follows;
}

} // namespace reedramp::routing
