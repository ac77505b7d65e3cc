#include "router/crash_update.hpp"

#include <algorithm>
#include <span>

#include "router/generated/peers.capnp.h"
#include "router/message_bytes.hpp"

namespace reedramp::router {

namespace {

/// Stands before the message in a datagram. Read as any other message of a peer, it names more
/// segments than there can be, so that earlier releases drop it.
constexpr std::string_view mark{
    "\xff\xff\xff\xff"
    "CRS1",
    8};

/// Of each kind in a datagram: at 16 and 24 bytes each, it crosses the network in one piece.
constexpr std::size_t most_in_datagram = 32;

/// The `number`th part of `all`, which may be empty.
template <typename Item>
auto part_of(const std::vector<Item>& all, std::size_t number) -> std::span<const Item>
{
    const auto first = std::min(number * most_in_datagram, all.size());
    return std::span{all}.subspan(first, std::min(most_in_datagram, all.size() - first));
}

auto encode_part(const crash_update& news, std::size_t number) -> std::string
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<schema::CrashNews>();
    root.setHost(news.host.value());
    root.setEra(news.era);
    const auto lost = part_of(news.lost, number);
    auto losses = root.initLost(static_cast<unsigned>(lost.size()));
    for (unsigned i = 0; i < lost.size(); ++i) {
        losses[i].setPrint(lost[i].fingerprint.value());
        losses[i].setServer(lost[i].server);
        losses[i].setAgeMs(told_ms(lost[i].age));
        losses[i].setSentAgeMs(told_ms(lost[i].sent_age));
    }
    const auto served = part_of(news.served, number);
    auto requests = root.initServed(static_cast<unsigned>(served.size()));
    for (unsigned i = 0; i < served.size(); ++i) {
        requests[i].setPrint(served[i].fingerprint.value());
        requests[i].setAgeMs(told_ms(served[i].age));
    }
    const auto barred = part_of(news.barred, number);
    auto refused = root.initBarred(static_cast<unsigned>(barred.size()));
    for (unsigned i = 0; i < barred.size(); ++i) {
        refused[i].setPrint(barred[i].fingerprint.value());
        refused[i].setAgeMs(told_ms(barred[i].age));
        refused[i].setUnseenMs(told_ms(barred[i].unseen));
        refused[i].setIsRecorded(barred[i].is_recorded);
    }
    return std::string{mark} + flat_bytes(message);
}

auto read_news(schema::CrashNews::Reader from) -> crash_update
{
    crash_update news;
    news.host = common::host_id{text_of(from.getHost())};
    news.era = from.getEra();
    for (const auto one : from.getLost()) {
        news.lost.push_back(
            {routing::request_fingerprint{one.getPrint()},
             one.getServer(),
             std::chrono::milliseconds{one.getAgeMs()},
             std::chrono::milliseconds{one.getSentAgeMs()}});
    }
    for (const auto one : from.getServed()) {
        news.served.push_back(
            {routing::request_fingerprint{one.getPrint()},
             std::chrono::milliseconds{one.getAgeMs()}});
    }
    for (const auto one : from.getBarred()) {
        news.barred.push_back(
            {routing::request_fingerprint{one.getPrint()},
             std::chrono::milliseconds{one.getAgeMs()},
             std::chrono::milliseconds{one.getUnseenMs()},
             one.getIsRecorded()});
    }
    return news;
}

} // namespace

auto encode_datagrams(const crash_update& news) -> std::vector<std::string>
{
    std::vector<std::string> all;
    const auto most = std::max({news.lost.size(), news.served.size(), news.barred.size()});
    for (std::size_t i = 0; i * most_in_datagram < most; ++i) {
        all.push_back(encode_part(news, i));
    }
    return all;
}

auto is_crash_update(std::string_view datagram) -> bool
{
    return datagram.starts_with(mark);
}

auto decode_crash_news(std::string_view bytes) -> common::result<crash_update>
{
    crash_update news;
    const bool is_read = is_crash_update(bytes) &&
                         read_flat<schema::CrashNews>(
                             bytes.substr(mark.size()),
                             datagram_words,
                             [&news](schema::CrashNews::Reader root) { news = read_news(root); });
    if (!is_read) {
        return common::failure(common::result_code::malformed_request, "no news of crashes");
    }
    return news;
}

} // namespace reedramp::router
