#include "router/crash_update.hpp"

#include <algorithm>
#include <span>

#include "router/generated/peers.capnp.h"
#include "router/message_bytes.hpp"

namespace reedramp::router {

namespace {

/// Prefix of the datagram. Earlier releases read it as the segment count of a peer report, find it
/// too large, and drop the datagram.
constexpr std::string_view datagram_prefix{
    "\xff\xff\xff\xff"
    "CRS1",
    8};

/// Maximum items of each kind in a datagram. With all the parts that an item can have, it fits into
/// one network packet.
constexpr std::size_t max_items_per_datagram = 8;

/// Returns the items of `all` for datagram `number`; may be empty.
template <typename Item>
auto items_in_part(const std::vector<Item>& all, std::size_t number) -> std::span<const Item>
{
    const auto first = std::min(number * max_items_per_datagram, all.size());
    return std::span{all}.subspan(first, std::min(max_items_per_datagram, all.size() - first));
}

template <typename Builder>
auto write_parts(Builder to, const routing::part_set& parts) -> void
{
    auto list = to.initParts(static_cast<unsigned>(parts.size()));
    for (unsigned i = 0; i < parts.size(); ++i) {
        list.set(i, parts[i].value());
    }
}

template <typename Reader>
auto read_parts(Reader from) -> routing::part_set
{
    std::vector<routing::part_id> parts;
    for (const auto part : from.getParts()) {
        if (parts.size() < routing::max_prompt_parts) {
            parts.emplace_back(part);
        }
    }
    return routing::make_part_set(std::move(parts));
}

auto encode_part(const crash_update& update, std::size_t number) -> std::string
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::CrashNews>();
    root.setHost(update.host.value());
    root.setEra(update.era);
    const auto lost = items_in_part(update.lost, number);
    auto losses = root.initLost(static_cast<unsigned>(lost.size()));
    for (unsigned i = 0; i < lost.size(); ++i) {
        losses[i].setPrint(lost[i].fingerprint.value());
        losses[i].setServer(lost[i].server);
        losses[i].setAgeMs(milliseconds_field(lost[i].age));
        losses[i].setSentAgeMs(milliseconds_field(lost[i].sent_age));
        losses[i].setService(lost[i].prompt.service);
        losses[i].setEngine(lost[i].prompt.engine);
        write_parts(losses[i], lost[i].prompt.parts);
    }
    const auto served = items_in_part(update.served, number);
    auto requests = root.initServed(static_cast<unsigned>(served.size()));
    for (unsigned i = 0; i < served.size(); ++i) {
        requests[i].setPrint(served[i].fingerprint.value());
        requests[i].setAgeMs(milliseconds_field(served[i].age));
    }
    const auto barred = items_in_part(update.barred, number);
    auto refused = root.initBarred(static_cast<unsigned>(barred.size()));
    for (unsigned i = 0; i < barred.size(); ++i) {
        refused[i].setPrint(barred[i].fingerprint.value());
        refused[i].setAgeMs(milliseconds_field(barred[i].age));
        refused[i].setUnseenMs(milliseconds_field(barred[i].unseen));
        refused[i].setIsRecorded(barred[i].is_recorded);
        refused[i].setSuspectedMs(milliseconds_field(barred[i].suspected_age));
        refused[i].setService(barred[i].what.service);
        write_parts(refused[i], barred[i].what.parts);
    }
    const auto served_parts = items_in_part(update.served_parts, number);
    auto parts = root.initServedParts(static_cast<unsigned>(served_parts.size()));
    for (unsigned i = 0; i < served_parts.size(); ++i) {
        parts[i].setPart(served_parts[i].part.value());
        parts[i].setEngine(served_parts[i].engine);
        parts[i].setSentAgeMs(milliseconds_field(served_parts[i].sent_age));
    }
    return std::string{datagram_prefix} + serialise_flat(message);
}

auto read_update(schema::CrashNews::Reader from) -> crash_update
{
    crash_update update;
    update.host = common::host_id{text_of(from.getHost())};
    update.era = from.getEra();
    for (const auto one : from.getLost()) {
        update.lost.push_back(
            {routing::request_fingerprint{one.getPrint()},
             one.getServer(),
             std::chrono::milliseconds{one.getAgeMs()},
             std::chrono::milliseconds{one.getSentAgeMs()},
             {one.getService(), one.getEngine(), read_parts(one)}});
    }
    for (const auto one : from.getServed()) {
        update.served.push_back(
            {routing::request_fingerprint{one.getPrint()},
             std::chrono::milliseconds{one.getAgeMs()}});
    }
    for (const auto one : from.getBarred()) {
        update.barred.push_back(
            {routing::request_fingerprint{one.getPrint()},
             std::chrono::milliseconds{one.getAgeMs()},
             std::chrono::milliseconds{one.getUnseenMs()},
             one.getIsRecorded(),
             {one.getService(), read_parts(one)},
             std::chrono::milliseconds{one.getSuspectedMs()}});
    }
    for (const auto one : from.getServedParts()) {
        update.served_parts.push_back(
            {routing::part_id{one.getPart()},
             one.getEngine(),
             std::chrono::milliseconds{one.getSentAgeMs()}});
    }
    return update;
}

} // namespace

auto encode_datagrams(const crash_update& update) -> std::vector<std::string>
{
    std::vector<std::string> all;
    const auto most = std::max(
        {update.lost.size(),
         update.served.size(),
         update.barred.size(),
         update.served_parts.size()});
    for (std::size_t i = 0; i * max_items_per_datagram < most; ++i) {
        all.push_back(encode_part(update, i));
    }
    return all;
}

auto is_crash_update(std::string_view datagram) -> bool
{
    return datagram.starts_with(datagram_prefix);
}

auto decode_crash_update(std::string_view bytes) -> common::result<crash_update>
{
    crash_update update;
    const bool is_read = is_crash_update(bytes) && read_flat<schema::CrashNews>(
                                                       bytes.substr(datagram_prefix.size()),
                                                       datagram_traversal_limit,
                                                       [&update](schema::CrashNews::Reader root) {
                                                           update = read_update(root);
                                                       });
    if (!is_read) {
        return common::failure(common::result_code::malformed_request, "not a valid crash update");
    }
    return update;
}

} // namespace reedramp::router
