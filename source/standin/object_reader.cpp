#include "object_reader.hpp"

#include <utility>

namespace reedramp::standin {

object_reader::object_reader(
    const boost::json::object& object,
    std::string object_path,
    std::vector<settings::problem>& problem_list)
    : source(object), path(std::move(object_path)), problems(problem_list)
{
}

auto object_reader::text(std::string_view key, std::string& result) -> void
{
    const auto* value = this->find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_string()) {
        this->problem(key, "must be a string");
        return;
    }
    const auto& parsed = value->get_string();
    result.assign(parsed.data(), parsed.size());
}

auto object_reader::flag(std::string_view key, bool& result) -> void
{
    const auto* value = this->find(key);
    if (value == nullptr) {
        return;
    }
    if (!value->is_bool()) {
        this->problem(key, "must be true or false");
        return;
    }
    result = value->get_bool();
}

auto object_reader::real(std::string_view key, double& result, double lowest, double highest)
    -> void
{
    const auto* value = this->find(key);
    if (value == nullptr) {
        return;
    }
    const auto parsed = value->is_number() ? value->to_number<double>() : lowest - 1;
    if (parsed < lowest || parsed > highest) {
        this->problem(
            key,
            "must be a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return;
    }
    result = parsed;
}

auto object_reader::texts(std::string_view key, std::vector<std::string>& result) -> void
{
    const auto* value = this->find(key);
    if (value == nullptr) {
        return;
    }
    const auto* items = value->if_array();
    if (items == nullptr) {
        this->problem(key, "must be a list of strings");
        return;
    }
    result.clear();
    for (const auto& item : *items) {
        if (!item.is_string()) {
            this->problem(key, "must be a list of strings");
            return;
        }
        result.emplace_back(item.get_string().data(), item.get_string().size());
    }
}

auto object_reader::object(std::string_view key, const read_hook& read) -> void
{
    const auto* value = this->find(key);
    if (value != nullptr) {
        this->read_inner(*value, this->path + "." + std::string(key), read);
    }
}

auto object_reader::objects(std::string_view key, const read_hook& read) -> void
{
    const auto* value = this->find(key);
    if (value == nullptr) {
        return;
    }
    const auto* items = value->if_array();
    if (items == nullptr) {
        this->problem(key, "must be a list of objects");
        return;
    }
    std::size_t index = 0;
    for (const auto& item : *items) {
        const auto place = std::string(key) + "[" + std::to_string(index) + "]";
        this->read_inner(item, this->path + "." + place, read);
        ++index;
    }
}

auto object_reader::each(
    std::string_view key,
    const std::function<auto(std::string_view name, const boost::json::value& item)->void>& read)
    -> void
{
    const auto* value = this->find(key);
    if (value == nullptr) {
        return;
    }
    const auto* fields = value->if_object();
    if (fields == nullptr) {
        this->problem(key, "must be an object");
        return;
    }
    for (const auto& field : *fields) {
        read(std::string_view(field.key().data(), field.key().size()), field.value());
    }
}

auto object_reader::problem(std::string_view key, std::string message) -> void
{
    this->problems.push_back({this->path + "." + std::string(key), std::move(message)});
}

auto object_reader::finish() -> void
{
    for (const auto& field : this->source) {
        const std::string key(field.key());
        if (!this->requested_keys.contains(key)) {
            this->problem(key, "is unknown");
        }
    }
}

auto object_reader::find(std::string_view key) -> const boost::json::value*
{
    this->requested_keys.emplace(key);
    return this->source.if_contains({key.data(), key.size()});
}

auto object_reader::read_number(
    std::string_view key, std::uint64_t& result, std::uint64_t lowest, std::uint64_t highest)
    -> bool
{
    const auto* value = this->find(key);
    if (value == nullptr) {
        return false;
    }
    boost::system::error_code error;
    const auto parsed = value->to_number<std::uint64_t>(error);
    if (error || parsed < lowest || parsed > highest) {
        this->problem(
            key,
            "must be an integer from " + std::to_string(lowest) + " to " + std::to_string(highest));
        return false;
    }
    result = parsed;
    return true;
}

auto object_reader::read_inner(
    const boost::json::value& item, const std::string& item_path, const read_hook& read) -> void
{
    const auto* fields = item.if_object();
    if (fields == nullptr) {
        this->problems.push_back({item_path, "must be an object"});
        return;
    }
    object_reader inner(*fields, item_path, this->problems);
    read(inner);
    inner.finish();
}

} // namespace reedramp::standin
