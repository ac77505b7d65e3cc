#include <array>
#include <cmath>
#include <cstdio>

#include "settings/schema.hpp"

namespace reedramp::settings {

namespace {

auto type_text(value_type type) -> std::string
{
    static constexpr std::array<std::string_view, 9> names{
        "text",
        "integer",
        "number",
        "true or false",
        "IP:port",
        "list of texts",
        "list of IP:port",
        "object of texts",
        "time"};
    return std::string{names.at(static_cast<std::size_t>(type))};
}

auto number_text(double number) -> std::string
{
    constexpr std::size_t longest = 32;
    std::array<char, longest> text{};
    std::snprintf(text.data(), text.size(), "%.15g", number);
    return text.data();
}

auto range_text(const key& item) -> std::string
{
    std::string text;
    for (const auto& choice : item.choices) {
        text += (text.empty() ? "" : ", ") + choice;
    }
    if (std::isfinite(item.lowest)) {
        text += "from " + number_text(item.lowest);
    }
    if (std::isfinite(item.highest)) {
        text += (text.empty() ? "to " : " to ") + number_text(item.highest);
    }
    return text;
}

struct value_printer {
    auto operator()(const std::string& text) const -> std::string { return "`\"" + text + "\"`"; }

    auto operator()(std::int64_t number) const -> std::string { return std::to_string(number); }

    auto operator()(double number) const -> std::string { return number_text(number); }

    auto operator()(bool flag) const -> std::string { return flag ? "true" : "false"; }

    auto operator()(const text_list& list) const -> std::string
    {
        std::string text;
        for (const auto& member : list) {
            text += (text.empty() ? "" : ", ") + member;
        }
        return "`[" + text + "]`";
    }

    auto operator()(const text_map& map) const -> std::string
    {
        std::string text;
        for (const auto& [name, content] : map) {
            text += text.empty() ? "" : ", ";
            text += name;
            text += ": ";
            text += content;
        }
        return "`{" + text + "}`";
    }
};

auto fallback_text(const key& item) -> std::string
{
    return item.fallback ? std::visit(value_printer{}, *item.fallback) : "needed";
}

} // namespace

auto markdown_table(const schema& keys) -> std::string
{
    std::string text = "| key | type | unit | range | default | meaning |\n";
    text += "|---|---|---|---|---|---|\n";
    for (const auto& item : keys) {
        text += "| `" + item.path + "` | " + type_text(item.type) + " | " + item.unit + " | " +
                range_text(item) + " | " + fallback_text(item) + " | " + item.doc + " |\n";
    }
    return text;
}

} // namespace reedramp::settings
