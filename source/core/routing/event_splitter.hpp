#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace reedramp::routing {

/// Cuts the body of an event stream (text/event-stream) into whole events.
///
/// A server that fails in the middle of an event leaves a piece of it behind. Passed on, that piece
/// would be joined with the first event of the server that goes on, and the caller would read an
/// event that no server sent. So only whole events leave this class.
class event_splitter {
public:
    /// `last_id` is the id after which the stream begins, -1 for the beginning.
    explicit event_splitter(std::int64_t last_id) : newest_id(last_id) {}

    /// Takes bytes in, and appends the whole events to `out`. False when an id is out of order,
    /// since a repeated or missing event must not reach the caller, or when an event has no end in
    /// 1 MB.
    auto add(std::string_view bytes, std::string& out) -> bool;

    /// Id of the newest whole event.
    [[nodiscard]] auto last_id() const -> std::int64_t { return this->newest_id; }

    /// A part of an event is held.
    [[nodiscard]] auto has_rest() const -> bool { return !this->rest.empty(); }

private:
    auto take_event(std::string_view event) -> bool;

    std::int64_t newest_id;
    std::string rest;
};

} // namespace reedramp::routing
