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

/// Maximum items of each kind in a datagram. At 16 and 24 bytes each, it fits into one network
/// packet.
constexpr std::size_t max_items_per_datagram = 32;

/// Returns the items of `all` for datagram `number`; may be empty.
template <typename Item>
auto items_in_part(const std::vector<Item>& all, std::size_t number) -> std::span<const Item>
{
    const auto first = std::min(number * max_items_per_datagram, all.size());
    return std::span{all}.subspan(first, std::min(max_items_per_datagram, all.size() - first));
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
             std::chrono::milliseconds{one.getSentAgeMs()}});
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
             one.getIsRecorded()});
    }
    return update;
}

} // namespace

auto encode_datagrams(const crash_update& update) -> std::vector<std::string>
{
    std::vector<std::string> all;
    const auto most = std::max({update.lost.size(), update.served.size(), update.barred.size()});
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
