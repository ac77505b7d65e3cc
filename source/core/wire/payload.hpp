#pragma once

#include <cstddef>
#include <variant>

#include "messages/peer.hpp"
#include "messages/run.hpp"

/// About how many bytes a message takes, for what may be large. The sender checks it against its
/// limit: a reader's limit closes the connection, which would end all other calls on it as well.
namespace reedramp::wire {

/// For all fields of fixed or small size.
inline constexpr std::size_t small_message_bytes = 1024;

template <typename Message>
auto payload_bytes(const Message& /*any that is small*/) -> std::size_t
{
    return small_message_bytes;
}

inline auto payload_bytes(const messages::run_request& message) -> std::size_t
{
    return small_message_bytes + message.body.size() + message.sent_text.size() +
           message.path.size();
}

inline auto payload_bytes(const messages::run_event& end) -> std::size_t
{
    const auto* finished = std::get_if<messages::finished_event>(&end);
    return small_message_bytes + (finished == nullptr ? 0 : finished->body.size());
}

inline auto payload_bytes(const messages::outcome_answer& message) -> std::size_t
{
    return small_message_bytes + (message.finished ? message.finished->body.size() : 0);
}

inline auto payload_bytes(const messages::configuration_push& message) -> std::size_t
{
    constexpr std::size_t record_overhead = 32;
    auto bytes = small_message_bytes + message.checkpoint.size();
    for (const auto& record : message.records) {
        bytes += record.data.size() + record_overhead;
    }
    return bytes;
}

inline auto payload_bytes(const messages::bill_handover& message) -> std::size_t
{
    constexpr std::size_t bill_overhead = 256;
    constexpr std::size_t line_overhead = 128;
    auto bytes = small_message_bytes;
    for (const auto& bill : message.bills) {
        bytes += bill_overhead + bill.lines.size() * line_overhead;
    }
    return bytes;
}

} // namespace reedramp::wire
