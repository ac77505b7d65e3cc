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

/// Prefix of the datagram. Earlier releases read it as the segment count of a peer report, find it
/// too large, and drop the datagram.
constexpr std::string_view datagram_prefix{"\xff\xff\xff\xffLST1", 8};

/// Size of a datagram that fits into one network packet, without its headers.
constexpr std::size_t max_datagram_bytes = 1400;

/// Allows for ten times the 620 servers of the design, at 200 bytes each.
constexpr std::size_t max_response_bytes = 1'200'000;

/// Traversal limit in Cap'n Proto words. Packing shrinks a message to an eighth at best.
constexpr std::uint64_t traversal_words = 8UL * max_response_bytes / sizeof(capnp::word);

/// Larger updates are rejected to bound memory; no deployment has as many servers.
constexpr std::size_t max_changes = 6200;

auto fill(schema::ServerChange::Builder to, const routing::registration_change& from) -> void
{
    to.setId(from.id.value());
    to.setIsGone(!from.now);
    to.setProblem(from.problem);
    if (!from.now) {
        to.setSequence(from.end.last_sequence);
        to.setHasLeft(from.end.has_left);
        return;
    }
    const auto& now = *from.now;
    to.setService(now.service.value());
    to.setAddress(now.address);
    to.setDataCentre(now.data_centre.value());
    to.setVersion(now.version.value());
    to.setSlots(now.slots);
    to.setIsLeaving(now.is_leaving);
    to.setColdMs(milliseconds_field(now.cold_for));
    to.setBornMs(now.started_at.value());
    to.setSequence(now.sequence);
}

auto read_change(schema::ServerChange::Reader from) -> routing::registration_change
{
    routing::registration_change change;
    change.id = common::server_id{text_of(from.getId())};
    change.problem = text_of(from.getProblem());
    if (from.getIsGone()) {
        change.end = {from.getSequence(), from.getHasLeft()};
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
    now.sequence = from.getSequence();
    change.now = std::move(now);
    return change;
}

auto fill(schema::ListNews::Builder to, const list_update& from) -> void
{
    to.setHost(from.host.value());
    to.setAddress(from.address);
    to.setDataCentre(from.data_centre.value());
    to.setListChanged(from.freshness.changed);
    to.setListAgeMs(milliseconds_field(from.freshness.age));
    to.setStoreSteadyMs(milliseconds_field(from.freshness.steady));
    to.setListReader(from.freshness.reader);
    to.setListReading(from.freshness.number);
    to.setRulesKnownTo(from.rules_freshness.changed);
    to.setRulesAgeMs(milliseconds_field(from.rules_freshness.age));
    to.setRulesReader(from.rules_freshness.reader);
    to.setRulesReading(from.rules_freshness.number);
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

auto read_update(schema::ListNews::Reader from) -> list_update
{
    list_update update;
    update.host = common::host_id{text_of(from.getHost())};
    update.address = text_of(from.getAddress());
    update.data_centre = common::data_centre_id{text_of(from.getDataCentre())};
    update.freshness = {
        from.getListChanged(),
        std::chrono::milliseconds{from.getListAgeMs()},
        std::chrono::milliseconds{from.getStoreSteadyMs()},
        from.getListReader(),
        from.getListReading()};
    update.rules_freshness = {
        from.getRulesKnownTo(),
        std::chrono::milliseconds{from.getRulesAgeMs()},
        {},
        from.getRulesReader(),
        from.getRulesReading()};
    update.rules_version = from.getRulesVersion();
    update.digest = from.getDigest();
    if (!from.getIsWhole()) {
        update.part.from = from.getFrom();
    }
    update.part.end = from.getEnd();
    for (const auto change : from.getChanges()) {
        update.part.changes.push_back(read_change(change));
    }
    return update;
}

/// Whether the update is consistent. An inconsistent one is not from an entry and is rejected.
auto is_valid(const list_update& update) -> bool
{
    const bool goes_forward = !update.part.from || *update.part.from <= update.part.end;
    const bool names_all =
        std::ranges::none_of(update.part.changes, [](const routing::registration_change& change) {
            return change.id.value().empty() || (change.now && change.now->address.empty());
        });
    return goes_forward && names_all && update.freshness.changed <= update.part.end &&
           update.part.changes.size() <= max_changes;
}

auto invalid_update() -> tl::unexpected<common::error>
{
    return common::failure(
        common::result_code::malformed_request, "not a valid server list update");
}

auto encode_flat(const list_update& update) -> std::string
{
    capnp::MallocMessageBuilder message;
    fill(message.initRoot<schema::ListNews>(), update);
    return serialise_flat(message);
}

} // namespace

auto encode_datagram(const list_update& update) -> std::string
{
    auto bytes = std::string{datagram_prefix} + encode_flat(update);
    if (bytes.size() <= max_datagram_bytes) {
        return bytes;
    }
    // An empty part at the end position: a receiver that is behind it sees a gap and asks.
    auto without = update;
    without.part = {update.part.end, update.part.end, {}};
    return std::string{datagram_prefix} + encode_flat(without);
}

auto is_list_update(std::string_view datagram) -> bool
{
    return datagram.starts_with(datagram_prefix);
}

auto decode_datagram(std::string_view bytes) -> common::result<list_update>
{
    const bool is_whole =
        bytes.size() > datagram_prefix.size() && bytes.size() % sizeof(capnp::word) == 0;
    if (!is_list_update(bytes) || !is_whole) {
        return invalid_update();
    }
    bytes.remove_prefix(datagram_prefix.size());
    list_update update;
    const bool is_read = read_flat<schema::ListNews>(
        bytes, traversal_words, [&update](schema::ListNews::Reader root) {
            update = read_update(root);
        });
    if (!is_read || !is_valid(update)) {
        return invalid_update();
    }
    return update;
}

auto encode_answer(const list_update& update) -> std::string
{
    capnp::MallocMessageBuilder message;
    fill(message.initRoot<schema::ListNews>(), update);
    kj::VectorOutputStream out;
    capnp::writePackedMessage(out, message);
    const auto bytes = out.getArray();
    return {reinterpret_cast<const char*>(bytes.begin()), bytes.size()};
}

auto decode_answer(std::string_view bytes) -> common::result<list_update>
{
    if (bytes.size() > max_response_bytes) {
        return invalid_update();
    }
    std::optional<list_update> update;
    const auto problem = kj::runCatchingExceptions([bytes, &update] {
        capnp::ReaderOptions limits;
        limits.traversalLimitInWords = traversal_words;
        kj::ArrayInputStream in(
            kj::arrayPtr(reinterpret_cast<const kj::byte*>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader reader(in, limits);
        update = read_update(reader.getRoot<schema::ListNews>());
    });
    if (problem != nullptr || !update || !is_valid(*update)) {
        return invalid_update();
    }
    return std::move(*update);
}

} // namespace reedramp::router
