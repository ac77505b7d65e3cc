#include "operators/table.hpp"
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

auto object_of(std::string_view text) -> json::object
{
    return platform::parse_object(text).value_or(json::object{});
}

auto word(const json::object& from, std::string_view name) -> std::string
{
    return string_field(from, name).value_or("");
}

auto count_text(const json::object& from, std::string_view name) -> std::string
{
    return std::to_string(count_field(from, name).value_or(0));
}

auto touched_text(const json::object& row) -> std::string
{
    std::string made;
    const auto* touched = array_field(row, "touched");
    if (touched == nullptr) {
        return made;
    }
    for (const auto& name : *touched) {
        if (const auto* text = name.if_string()) {
            made += (made.empty() ? "" : ", ") + std::string(text->data(), text->size());
        }
    }
    return made;
}

auto records_table(const json::array& rows, std::size_t most) -> std::string
{
    text_table table({"offset", "record", "author", "result", "what"});
    const auto first = rows.size() - std::min(most, rows.size());
    for (auto index = first; index < rows.size(); ++index) {
        const auto* row = rows[index].if_object();
        if (row == nullptr) {
            continue;
        }
        const auto why = word(*row, "why");
        table.add(
            {count_text(*row, "offset"),
             word(*row, "id"),
             word(*row, "author"),
             word(*row, "result"),
             why.empty() ? touched_text(*row) : why});
    }
    return table.text();
}

auto sums_table(const json::object& bills, const char* member, const char* title) -> std::string
{
    text_table table({title, "requests", "runs", "prompt tokens", "completion tokens", "money"});
    const auto* sums = object_field(bills, member);
    if (sums == nullptr) {
        return {};
    }
    for (const auto& sum : *sums) {
        const auto* row = sum.value().if_object();
        if (row == nullptr) {
            continue;
        }
        table.add(
            {std::string(sum.key().data(), sum.key().size()),
             count_text(*row, "requests"),
             count_text(*row, "lines"),
             count_text(*row, "prompt_tokens"),
             count_text(*row, "completion_tokens"),
             money_text(static_cast<std::int64_t>(count_field(*row, "cost_micro").value_or(0)))});
    }
    return table.text();
}

} // namespace

auto history_text(std::string_view history, std::size_t most) -> std::string
{
    const auto answer = object_of(history);
    auto made = "revision " + count_text(answer, "offset") + "\n";
    if (const auto* records = array_field(answer, "records"); records != nullptr) {
        made += records_table(*records, most);
    }
    const auto* problems = array_field(answer, "problems");
    if (problems != nullptr && !problems->empty()) {
        made += "\nrefused or unreadable\n" + records_table(*problems, most);
    }
    return made;
}

auto bills_text(std::string_view bills) -> std::string
{
    const auto answer = object_of(bills);
    auto made = sums_table(answer, "organisations", "organisation");
    const auto versions = sums_table(answer, "versions", "version");
    made += versions.empty() ? "" : "\n" + versions;
    const auto cost = static_cast<std::int64_t>(count_field(answer, "cost_micro").value_or(0));
    made += "\n" + count_text(answer, "requests") + " requests, " + money_text(cost) +
            " money; repeated bills " + count_text(answer, "repeated") + ", malformed " +
            count_text(answer, "malformed") + "\n";
    return made;
}

auto explanation_text(std::string_view explanation) -> std::string
{
    const auto answer = object_of(explanation);
    auto made = "request " + word(answer, "request") + " of " + word(answer, "organisation") +
                ", configuration " + count_text(answer, "configuration") + ", result " +
                word(answer, "result") + ", execution " + word(answer, "execution") + "\n";
    const auto* steps = array_field(answer, "steps");
    if (steps == nullptr) {
        return made;
    }
    text_table table({"step", "chosen", "reason", "runner-up"});
    for (const auto& item : *steps) {
        if (const auto* row = item.if_object()) {
            table.add(
                {word(*row, "what"),
                 word(*row, "chosen"),
                 word(*row, "reason"),
                 word(*row, "runner_up")});
        }
    }
    return made + table.text();
}

} // namespace reedramp::operators
