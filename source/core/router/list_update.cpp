#include "router/list_update.hpp"

#include <algorithm>
#include <optional>
#include <vector>

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <capnp/serialize.h>
#include <kj/exception.h>
#include <kj/io.h>

#include "router/generated/peers.capnp.h"
#include "router/message_bytes.hpp"

namespace reedramp::router {

namespace {

/// Stands before the message in a datagram. Read as any other message of a peer, it names more
/// segments than there can be, so that earlier releases drop it.
constexpr std::string_view mark{"\xff\xff\xff\xffLST1", 8};

/// A datagram that crosses the network in one piece, less its headers.
constexpr std::size_t largest_datagram = 1400;

/// Ten times the 620 servers that the design is for, at 200 bytes each.
constexpr std::size_t largest_answer = 1'200'000;

/// Words of Cap'n Proto that a message may make the reader visit; packing shortens to an eighth at
/// best.
constexpr std::uint64_t traversal_words = 8UL * largest_answer / sizeof(capnp::word);

/// A service that comes with more than this is none of ours, and no message may fill the memory.
constexpr std::size_t most_changes = 6200;

auto fill(schema::ServerChange::Builder to, const routing::registration_change& from) -> void
{
    to.setId(from.id.value());
    to.setIsGone(!from.now);
    to.setProblem(from.problem);
    if (!from.now) {
        return;
    }
    const auto& now = *from.now;
    to.setService(now.service.value());
    to.setAddress(now.address);
    to.setDataCentre(now.data_centre.value());
    to.setVersion(now.version.value());
    to.setSlots(now.slots);
    to.setIsLeaving(now.is_leaving);
    to.setColdMs(told_ms(now.cold_for));
    to.setBornMs(now.started_at.value());
}

auto read_change(schema::ServerChange::Reader from) -> routing::registration_change
{
    routing::registration_change change;
    change.id = common::server_id{text_of(from.getId())};
    change.problem = text_of(from.getProblem());
    if (from.getIsGone()) {
        return change;
    }
    routing::registration now;
    now.id = change.id;
    now.service = common::service_name{text_of(from.getService())};
    now.address = text_of(from.getAddress());
    now.data_centre = common::data_centre_id{text_of(from.getDataCentre())};
    now.version = common::version_id{text_of(from.getVersion())};
    now.slots = from.getSlots();
    now.is_leaving = from.getIsLeaving();
    now.cold_for = std::chrono::milliseconds{from.getColdMs()};
    now.started_at = routing::start_time{from.getBornMs()};
    change.now = std::move(now);
    return change;
}

auto fill(schema::ListNews::Builder to, const list_update& from) -> void
{
    to.setHost(from.host.value());
    to.setAddress(from.address);
    to.setDataCentre(from.data_centre.value());
    to.setListChanged(from.freshness.changed);
    to.setListAgeMs(told_ms(from.freshness.age));
    to.setStoreSteadyMs(told_ms(from.freshness.steady));
    to.setListReader(from.freshness.reader);
    to.setListReading(from.freshness.number);
    to.setRulesVersion(from.rules_version);
    to.setDigest(from.digest);
    to.setFrom(from.part.from.value_or(0));
    to.setIsWhole(!from.part.from);
    to.setEnd(from.part.end);
    auto changes = to.initChanges(static_cast<unsigned>(from.part.changes.size()));
    for (unsigned i = 0; i < from.part.changes.size(); ++i) {
        fill(changes[i], from.part.changes[i]);
    }
}

auto read_news(schema::ListNews::Reader from) -> list_update
{
    list_update news;
    news.host = common::host_id{text_of(from.getHost())};
    news.address = text_of(from.getAddress());
    news.data_centre = common::data_centre_id{text_of(from.getDataCentre())};
    news.freshness = {
        from.getListChanged(),
        std::chrono::milliseconds{from.getListAgeMs()},
        std::chrono::milliseconds{from.getStoreSteadyMs()},
        from.getListReader(),
        from.getListReading()};
    news.rules_version = from.getRulesVersion();
    news.digest = from.getDigest();
    if (!from.getIsWhole()) {
        news.part.from = from.getFrom();
    }
    news.part.end = from.getEnd();
    for (const auto change : from.getChanges()) {
        news.part.changes.push_back(read_change(change));
    }
    return news;
}

/// Whether an entry could have sent this. What is out of order in itself changes nothing here.
auto is_sound(const list_update& news) -> bool
{
    const bool goes_forward = !news.part.from || *news.part.from <= news.part.end;
    const bool names_all =
        std::ranges::none_of(news.part.changes, [](const routing::registration_change& change) {
            return change.id.value().empty() || (change.now && change.now->address.empty());
        });
    return goes_forward && names_all && news.freshness.changed <= news.part.end &&
           news.part.changes.size() <= most_changes;
}

auto no_news() -> tl::unexpected<common::error>
{
    return common::failure(common::result_code::malformed_request, "no news of the list");
}

auto encode_flat(const list_update& news) -> std::string
{
    capnp::MallocMessageBuilder message;
    fill(message.initRoot<schema::ListNews>(), news);
    return flat_bytes(message);
}

} // namespace

auto encode_datagram(const list_update& news) -> std::string
{
    auto bytes = std::string{mark} + encode_flat(news);
    if (bytes.size() <= largest_datagram) {
        return bytes;
    }
    // From its end to its end: whoever stands before that sees a gap.
    auto without = news;
    without.part = {news.part.end, news.part.end, {}};
    return std::string{mark} + encode_flat(without);
}

auto is_list_update(std::string_view datagram) -> bool
{
    return datagram.starts_with(mark);
}

auto decode_datagram(std::string_view bytes) -> common::result<list_update>
{
    const bool is_whole = bytes.size() > mark.size() && bytes.size() % sizeof(capnp::word) == 0;
    if (!is_list_update(bytes) || !is_whole) {
        return no_news();
    }
    bytes.remove_prefix(mark.size());
    list_update news;
    const bool is_read = read_flat<schema::ListNews>(
        bytes, traversal_words, [&news](schema::ListNews::Reader root) { news = read_news(root); });
    if (!is_read || !is_sound(news)) {
        return no_news();
    }
    return news;
}

auto encode_answer(const list_update& news) -> std::string
{
    capnp::MallocMessageBuilder message;
    fill(message.initRoot<schema::ListNews>(), news);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

auto decode_answer(std::string_view bytes) -> common::result<list_update>
{
    if (bytes.size() > largest_answer) {
        return no_news();
    }
    std::optional<list_update> news;
    const auto problem = kj::runCatchingExceptions([bytes, &news] {
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = traversal_words;
        kj::ArrayInputStream in(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in, limits);
        news = read_news(reader.getRoot<schema::ListNews>());
    });
    if (problem != nullptr || !news || !is_sound(*news)) {
        return no_news();
    }
    return std::move(*news);
}

} // namespace reedramp::router
