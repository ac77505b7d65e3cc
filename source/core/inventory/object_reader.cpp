#include <algorithm>
#include <utility>

#include "inventory/entity_json.hpp"

namespace reedramp::inventory {

namespace {

constexpr std::size_t max_id_size = 128;
constexpr std::size_t max_text_size = 4096;

auto is_id_character(char letter) -> bool
{
    const auto is_letter = (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z');
    const auto is_digit = letter >= '0' && letter <= '9';
    return is_letter || is_digit ||
           std::string_view("._:/@+-").find(letter) != std::string_view::npos;
}

auto is_id(std::string_view text) -> bool
{
    return !text.empty() && text.size() <= max_id_size &&
           std::ranges::all_of(text, is_id_character);
}

auto text_of(const boost::json::value& source) -> std::string_view
{
    const auto& text = source.get_string();
    return {text.data(), text.size()};
}

} // namespace

object_reader::object_reader(const boost::json::value& source, std::string given_path)
    : object(source.if_object()), path(std::move(given_path))
{
    if (this->object == nullptr) {
        this->fail("", "must be an object");
    }
}

auto object_reader::member(std::string_view name) -> const boost::json::value*
{
    this->known.emplace_back(name);
    if (this->object == nullptr) {
        return nullptr;
    }
    return this->object->if_contains({name.data(), name.size()});
}

auto object_reader::id(std::string_view name) -> std::string
{
    auto found = this->id_or_empty(name);
    if (found.empty()) {
        this->fail(name, "is missing");
    }
    return found;
}

auto object_reader::id_or_empty(std::string_view name) -> std::string
{
    auto text = this->text_or_empty(name);
    if (!text.empty() && !is_id(text)) {
        this->fail(name, "must be 1 to 128 letters, digits or ._:/@+-");
        return {};
    }
    return text;
}

auto object_reader::text_or_empty(std::string_view name) -> std::string
{
    const auto* found = this->member(name);
    if (found == nullptr) {
        return {};
    }
    if (!found->is_string() || found->get_string().size() > max_text_size) {
        this->fail(name, "must be a text of at most 4096 bytes");
        return {};
    }
    return std::string(text_of(*found));
}

auto object_reader::number_or(
    std::string_view name, std::uint64_t fallback, std::uint64_t max_value) -> std::uint64_t
{
    const auto* found = this->member(name);
    if (found == nullptr) {
        return fallback;
    }
    const auto is_whole = found->is_uint64() || (found->is_int64() && found->get_int64() >= 0);
    if (!is_whole) {
        this->fail(name, "must be a whole number, 0 or more");
        return fallback;
    }
    const auto number = found->to_number<std::uint64_t>();
    if (number > max_value) {
        this->fail(name, "must be at most " + std::to_string(max_value));
        return fallback;
    }
    return number;
}

auto object_reader::flag_or(std::string_view name, bool fallback) -> bool
{
    const auto* found = this->member(name);
    if (found == nullptr) {
        return fallback;
    }
    if (!found->is_bool()) {
        this->fail(name, "must be true or false");
        return fallback;
    }
    return found->get_bool();
}

auto object_reader::elements(std::string_view name) -> const boost::json::array&
{
    static const boost::json::array none;
    const auto* found = this->member(name);
    if (found == nullptr) {
        return none;
    }
    if (!found->is_array()) {
        this->fail(name, "must be an array");
        return none;
    }
    return found->get_array();
}

auto object_reader::ids(std::string_view name) -> std::vector<std::string>
{
    std::vector<std::string> found;
    for (const auto& element : this->elements(name)) {
        if (!element.is_string() || !is_id(text_of(element))) {
            this->fail(name, "must hold ids of 1 to 128 letters, digits or ._:/@+-");
            return {};
        }
        found.emplace_back(text_of(element));
    }
    return found;
}

auto object_reader::path_of(std::string_view name) const -> std::string
{
    if (name.empty()) {
        return this->path.empty() ? "the record" : this->path;
    }
    return this->path.empty() ? std::string(name) : this->path + "." + std::string(name);
}

auto object_reader::fail(std::string_view name, std::string_view what) -> void
{
    this->adopt(this->path_of(name) + " " + std::string(what));
}

auto object_reader::adopt(const std::string& inner_problem) -> void
{
    if (this->first_problem.empty()) {
        this->first_problem = inner_problem;
    }
}

auto object_reader::problem() -> std::string
{
    if (!this->first_problem.empty() || this->object == nullptr) {
        return this->first_problem;
    }
    for (const auto& entry : *this->object) {
        const std::string_view name(entry.key().data(), entry.key().size());
        if (std::ranges::find(this->known, name) == this->known.end()) {
            this->fail(name, "is not a known member");
            break;
        }
    }
    return this->first_problem;
}

} // namespace reedramp::inventory
