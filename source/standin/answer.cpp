#include "answer.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdio>

#include <xxhash.h>

namespace reedramp::standin {

namespace {

constexpr std::string_view length_marker = "tokens=";
constexpr std::uint64_t max_answer_tokens = 100'000'000;
constexpr std::uint64_t default_min_tokens = 16;
constexpr std::uint64_t default_token_range = 48;
constexpr int hexadecimal_base = 16;

auto parse_number(std::string_view digits, int base) -> std::optional<std::uint64_t>
{
    std::uint64_t number = 0;
    const auto* last = digits.data() + digits.size();
    const auto parsed = std::from_chars(digits.data(), last, number, base);
    if (parsed.ec != std::errc{} || parsed.ptr != last) {
        return std::nullopt;
    }
    return number;
}

/// Removes the first word from `text` and returns it; empty at the end.
auto next_word(std::string_view& text) -> std::string_view
{
    const auto begin = text.find_first_not_of(' ');
    if (begin == std::string_view::npos) {
        text = {};
        return {};
    }
    text.remove_prefix(begin);
    const auto word = text.substr(0, text.find(' '));
    text.remove_prefix(word.size());
    return word;
}

/// Parses the first token, "t0@<version>/<hash>" or "x0@...".
auto parse_first_token(std::string_view word) -> std::optional<answer_reading>
{
    const auto at = word.find('@');
    const auto slash = word.rfind('/');
    if (at == std::string_view::npos || slash == std::string_view::npos || slash < at) {
        return std::nullopt;
    }
    const auto marker = word.substr(0, at);
    const auto hash = parse_number(word.substr(slash + 1), hexadecimal_base);
    if ((marker != "t0" && marker != "x0") || !hash) {
        return std::nullopt;
    }
    answer_reading reading;
    reading.in_order = true;
    reading.bad = marker == "x0";
    reading.tokens = 1;
    reading.version = word.substr(at + 1, slash - at - 1);
    reading.prompt_hash = static_cast<std::uint32_t>(*hash);
    return reading;
}

} // namespace

auto hash_prompt(std::string_view prompt) -> std::uint32_t
{
    return XXH32(prompt.data(), prompt.size(), 0);
}

auto answer_length(std::string_view prompt) -> std::uint64_t
{
    const auto found = prompt.rfind(length_marker);
    if (found != std::string_view::npos) {
        const auto digits = prompt.substr(found + length_marker.size());
        std::uint64_t number = 0;
        const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (parsed.ec == std::errc{}) {
            return std::min(number, max_answer_tokens);
        }
    }
    return default_min_tokens + hash_prompt(prompt) % default_token_range;
}

auto append_token(std::string& to, const answer_plan& plan, std::uint64_t index) -> void
{
    constexpr std::size_t max_decimal_digits = 20;
    std::array<char, max_decimal_digits> digits{};
    const auto written = std::to_chars(digits.data(), digits.data() + digits.size(), index);
    to += plan.bad ? " x" : " t";
    to.append(digits.data(), written.ptr);
    if (index != 0) {
        return;
    }
    const auto hash = std::to_chars(
        digits.data(), digits.data() + digits.size(), plan.prompt_hash, hexadecimal_base);
    to += '@';
    to += plan.version;
    to += '/';
    to.append(digits.data(), hash.ptr);
}

auto read_answer(std::string_view text) -> std::optional<answer_reading>
{
    auto reading = parse_first_token(next_word(text));
    if (!reading) {
        return std::nullopt;
    }
    for (auto word = next_word(text); !word.empty(); word = next_word(text)) {
        const auto is_bad = word.front() == 'x';
        const auto number = parse_number(word.substr(1), 10);
        if ((word.front() != 't' && !is_bad) || number != reading->tokens) {
            reading->in_order = false;
        }
        reading->bad = reading->bad || is_bad;
        ++reading->tokens;
    }
    return reading;
}

} // namespace reedramp::standin
