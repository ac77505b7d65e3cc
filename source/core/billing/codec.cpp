#include "billing/codec.hpp"

#include <cstdint>
#include <optional>
#include <utility>

#include <boost/json.hpp>

namespace reedramp::billing {

namespace {

namespace json = boost::json;
using common::result_code;

// A bill is an array rather than an object, since its field names would take more bytes than its
// content: [request, organisation, task, at, [[version, server, prompt, completion, cost], ...]].
constexpr std::size_t bill_fields = 5;
constexpr std::size_t line_fields = 5;

/// Memory that a container uses per bill besides the bill itself.
constexpr std::size_t container_overhead_bytes = 64;

auto line_to_json(const messages::bill_line& line) -> json::array
{
    return {
        json::string(line.version.value()),
        json::string(line.server.value()),
        line.used.prompt_tokens.value(),
        line.used.completion_tokens.value(),
        line.cost.value()};
}

auto bill_to_json(const messages::bill& item) -> json::array
{
    json::array lines;
    for (const auto& line : item.lines) {
        lines.push_back(line_to_json(line));
    }
    return {
        json::string(common::to_string(item.request)),
        json::string(item.organisation.value()),
        json::string(item.task.value()),
        item.at.value(),
        std::move(lines)};
}

/// Reads the values of an array. `failed` is set when a value has the wrong type, and stays set.
struct value_reader {
    const json::array& values;
    bool failed = false;

    auto text(std::size_t index) -> std::string
    {
        const auto* value = this->values[index].if_string();
        if (value == nullptr) {
            this->failed = true;
            return {};
        }
        return {value->data(), value->size()};
    }

    auto count(std::size_t index) -> std::uint64_t
    {
        const auto number = this->number(index);
        this->failed = this->failed || number < 0;
        return static_cast<std::uint64_t>(number);
    }

    auto number(std::size_t index) -> std::int64_t
    {
        const auto* value = this->values[index].if_int64();
        if (value == nullptr) {
            this->failed = true;
            return 0;
        }
        return *value;
    }
};

auto line_from_json(const json::value& value) -> std::optional<messages::bill_line>
{
    const auto* values = value.if_array();
    if (values == nullptr || values->size() != line_fields) {
        return std::nullopt;
    }
    value_reader reader{*values};
    messages::bill_line line;
    line.version = common::version_id{reader.text(0)};
    line.server = common::server_id{reader.text(1)};
    line.used.prompt_tokens = common::token_count{reader.count(2)};
    line.used.completion_tokens = common::token_count{reader.count(3)};
    line.cost = common::micro_money{reader.number(4)};
    if (reader.failed) {
        return std::nullopt;
    }
    return line;
}

auto bill_from_json(const json::value& value) -> std::optional<messages::bill>
{
    const auto* values = value.if_array();
    if (values == nullptr || values->size() != bill_fields) {
        return std::nullopt;
    }
    const auto* lines = (*values)[4].if_array();
    value_reader reader{*values};
    const auto request = common::parse_request_id(reader.text(0));
    if (!request || lines == nullptr) {
        return std::nullopt;
    }
    messages::bill item;
    item.request = *request;
    item.organisation = common::organisation_id{reader.text(1)};
    item.task = common::task_name{reader.text(2)};
    item.at = common::wall_time_ms{reader.number(3)};
    for (const auto& entry : *lines) {
        auto line = line_from_json(entry);
        if (!line) {
            return std::nullopt;
        }
        item.lines.push_back(std::move(*line));
    }
    if (reader.failed) {
        return std::nullopt;
    }
    return item;
}

auto malformed() -> tl::unexpected<common::error>
{
    return common::failure(result_code::invalid_record, "malformed record of bills");
}

} // namespace

auto serialise(const batch& content) -> std::string
{
    json::array bills;
    for (const auto& item : content.bills) {
        bills.push_back(bill_to_json(item));
    }
    json::object record;
    record["id"] = common::to_string(content.id);
    record["bills"] = std::move(bills);
    return json::serialize(record);
}

auto parse(std::string_view record) -> common::result<batch>
{
    json::error_code failed;
    const auto value = json::parse({record.data(), record.size()}, failed);
    const auto* fields = failed ? nullptr : value.if_object();
    if (fields == nullptr) {
        return malformed();
    }
    const auto* id = fields->if_contains("id");
    const auto* bills = fields->if_contains("bills");
    if (id == nullptr || !id->is_string() || bills == nullptr || !bills->is_array()) {
        return malformed();
    }
    const auto& id_text = id->get_string();
    const auto batch_id = common::parse_request_id({id_text.data(), id_text.size()});
    if (!batch_id) {
        return malformed();
    }
    batch content{*batch_id, {}};
    for (const auto& entry : bills->get_array()) {
        auto item = bill_from_json(entry);
        if (!item) {
            return malformed();
        }
        content.bills.push_back(std::move(*item));
    }
    return content;
}

auto size_of(const messages::bill& item) -> std::size_t
{
    auto bytes = sizeof(item) + container_overhead_bytes + item.organisation.value().capacity() +
                 item.task.value().capacity();
    for (const auto& line : item.lines) {
        bytes += sizeof(line) + line.version.value().capacity() + line.server.value().capacity();
    }
    return bytes;
}

} // namespace reedramp::billing
