#include "operators/text_table.hpp"
#include "operators/views.hpp"

#include <algorithm>

#include "platform/json_fields.hpp"

namespace reedramp::operators {

namespace json = boost::json;
using platform::array_field;
using platform::count_field;
using platform::object_field;
using platform::string_field;

namespace {

auto parse_object_or_empty(std::string_view text) -> json::object
{
    return platform::parse_object(text).value_or(json::object{});
}

auto string_or_empty(const json::object& from, std::string_view name) -> std::string
{
    return string_field(from, name).value_or("");
}

auto count_text(const json::object& from, std::string_view name) -> std::string
{
    return std::to_string(count_field(from, name).value_or(0));
}

auto changed_entities_text(const json::object& row) -> std::string
{
    std::string result;
    const auto* touched = array_field(row, "touched");
    if (touched == nullptr) {
        return result;
    }
    for (const auto& name : *touched) {
        if (const auto* text = name.if_string()) {
            result += (result.empty() ? "" : ", ") + std::string(text->data(), text->size());
        }
    }
    return result;
}

auto records_table(const json::array& rows, std::size_t max_records) -> std::string
{
    text_table table({"offset", "record", "author", "result", "what"});
    const auto first = rows.size() - std::min(max_records, rows.size());
    for (auto index = first; index < rows.size(); ++index) {
        const auto* row = rows[index].if_object();
        if (row == nullptr) {
            continue;
        }
        const auto reason = string_or_empty(*row, "why");
        table.add(
            {count_text(*row, "offset"),
             string_or_empty(*row, "id"),
             string_or_empty(*row, "author"),
             string_or_empty(*row, "result"),
             reason.empty() ? changed_entities_text(*row) : reason});
    }
    return table.text();
}

auto totals_table(const json::object& bills, const char* member, const char* title) -> std::string
{
    text_table table({title, "requests", "runs", "prompt tokens", "completion tokens", "money"});
    const auto* totals = object_field(bills, member);
    if (totals == nullptr) {
        return {};
    }
    for (const auto& total : *totals) {
        const auto* row = total.value().if_object();
        if (row == nullptr) {
            continue;
        }
        table.add(
            {std::string(total.key().data(), total.key().size()),
             count_text(*row, "requests"),
             count_text(*row, "lines"),
             count_text(*row, "prompt_tokens"),
             count_text(*row, "completion_tokens"),
             money_text(static_cast<std::int64_t>(count_field(*row, "cost_micro").value_or(0)))});
    }
    return table.text();
}

} // namespace

auto history_text(std::string_view history, std::size_t max_records) -> std::string
{
    const auto answer = parse_object_or_empty(history);
    auto result = "revision " + count_text(answer, "offset") + "\n";
    if (const auto* records = array_field(answer, "records"); records != nullptr) {
        result += records_table(*records, max_records);
    }
    const auto* problems = array_field(answer, "problems");
    if (problems != nullptr && !problems->empty()) {
        result += "\nrefused or unreadable\n" + records_table(*problems, max_records);
    }
    return result;
}

auto bills_text(std::string_view bills) -> std::string
{
    const auto answer = parse_object_or_empty(bills);
    auto result = totals_table(answer, "organisations", "organisation");
    const auto versions = totals_table(answer, "versions", "version");
    result += versions.empty() ? "" : "\n" + versions;
    const auto cost = static_cast<std::int64_t>(count_field(answer, "cost_micro").value_or(0));
    result += "\n" + count_text(answer, "requests") + " requests, " + money_text(cost) +
              " money; repeated bills " + count_text(answer, "repeated") + ", malformed " +
              count_text(answer, "malformed") + "\n";
    return result;
}

auto explanation_text(std::string_view explanation) -> std::string
{
    const auto answer = parse_object_or_empty(explanation);
    auto result = "request " + string_or_empty(answer, "request") + " of " +
                  string_or_empty(answer, "organisation") + ", configuration " +
                  count_text(answer, "configuration") + ", result " +
                  string_or_empty(answer, "result") + ", execution " +
                  string_or_empty(answer, "execution") + "\n";
    const auto* steps = array_field(answer, "steps");
    if (steps == nullptr) {
        return result;
    }
    text_table table({"step", "chosen", "reason", "runner-up"});
    for (const auto& item : *steps) {
        if (const auto* row = item.if_object()) {
            table.add(
                {string_or_empty(*row, "what"),
                 string_or_empty(*row, "chosen"),
                 string_or_empty(*row, "reason"),
                 string_or_empty(*row, "runner_up")});
        }
    }
    return result + table.text();
}

} // namespace reedramp::operators
