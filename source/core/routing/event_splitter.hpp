#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedramp::routing {

/// Splits the body of an event stream (text/event-stream) into whole events.
///
/// A server that fails in the middle of an event leaves part of it. If that part were forwarded, it
/// would be joined to the first event of the server that continues the stream, and the caller would
/// read an event that no server sent. Only whole events are therefore passed on.
class event_splitter {
public:
    /// `last_id` is the id of the last event that precedes the stream; -1 if there is none.
    explicit event_splitter(std::int64_t last_id) : newest_id(last_id) {}

    /// Adds received bytes, and appends complete events to `out`. Returns false when an id is out
    /// of order, since the caller must receive no repeated event and miss none, or when 256 KB
    /// have come without an event that has an id.
    auto add(std::string_view bytes, std::string& out) -> bool;

    /// Id of the newest complete event.
    [[nodiscard]] auto last_id() const -> std::int64_t { return this->newest_id; }

    /// Whether part of an event is buffered.
    [[nodiscard]] auto has_partial_event() const -> bool { return !this->partial.empty(); }

private:
    auto accept_event(std::string_view event) -> bool;

    std::int64_t newest_id;
    std::string partial;
    /// Bytes since the newest event that had an id.
    std::size_t without_id = 0;
};

} // namespace reedramp::routing
