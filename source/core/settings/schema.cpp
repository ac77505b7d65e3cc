#include "settings/schema.hpp"

#include <algorithm>
#include <set>
#include <stdexcept>
#include <utility>

#include <boost/json/parse.hpp>
#include <boost/json/stream_parser.hpp>

#include "settings/check.hpp"

namespace reedramp::settings {

namespace {

/// Reads one file against one schema and gathers what is wrong.
class reader {
public:
    explicit reader(const schema& keys_to_use)
    {
        for (const auto& item : keys_to_use) {
            this->keys.emplace(item.path, &item);
            this->add_objects_of(item.path);
        }
    }

    /// `prefix` is "" for the root, else the object's path with a dot behind it.
    auto read_object(const boost::json::object& found, const std::string& prefix) -> void
    {
        for (const auto& member : found) {
            const auto path = prefix + std::string{member.key()};
            const auto known = this->keys.find(path);
            if (known != this->keys.end()) {
                this->read_key(*known->second, member.value());
            }
            else if (!this->objects.contains(path)) {
                this->note(path, "is not a known key");
            }
            else if (member.value().is_object()) {
                this->read_object(member.value().as_object(), path + ".");
            }
            else {
                this->note(path, "has to be an object");
            }
        }
    }

    auto fill_absent() -> void
    {
        for (const auto& [path, item] : this->keys) {
            if (this->seen.contains(path)) {
                continue;
            }
            if (item->fallback) {
                this->contents.emplace(path, *item->fallback);
            }
            else {
                this->note(path, "is missing");
            }
        }
    }

    auto note(const std::string& path, std::string message) -> void
    {
        this->problems.push_back({path.empty() ? "$" : "$." + path, std::move(message)});
    }

    auto finish() -> tl::expected<values, std::vector<problem>>
    {
        if (this->problems.empty()) {
            return values{std::move(this->contents)};
        }
        std::ranges::sort(this->problems);
        return tl::unexpected(std::move(this->problems));
    }

private:
    auto add_objects_of(const std::string& path) -> void
    {
        for (auto dot = path.find('.'); dot != std::string::npos; dot = path.find('.', dot + 1)) {
            this->objects.insert(path.substr(0, dot));
        }
    }

    auto read_key(const key& which, const boost::json::value& found) -> void
    {
        this->seen.insert(which.path);
        auto read = read_value(which, found);
        if (read) {
            this->contents.emplace(which.path, std::move(*read));
        }
        else {
            this->note(which.path, read.error());
        }
    }

    std::map<std::string, const key*> keys;
    /// Paths of objects that hold keys.
    std::set<std::string> objects;
    std::set<std::string> seen;
    std::map<std::string, value, std::less<>> contents;
    std::vector<problem> problems;
};

} // namespace

auto to_string(const problem& found) -> std::string
{
    return found.path + ": " + found.message;
}

values::values(std::map<std::string, value, std::less<>> contents_to_hold)
    : contents(std::move(contents_to_hold))
{
}

template <typename Type>
auto values::get(std::string_view path) const -> const Type&
{
    const auto found = this->contents.find(path);
    const auto* typed = found == this->contents.end() ? nullptr : std::get_if<Type>(&found->second);
    if (typed == nullptr) {
        throw std::logic_error{"no setting of this type: " + std::string{path}};
    }
    return *typed;
}

auto values::text(std::string_view path) const -> const std::string&
{
    return this->get<std::string>(path);
}

auto values::integer(std::string_view path) const -> std::int64_t
{
    return this->get<std::int64_t>(path);
}

auto values::real(std::string_view path) const -> double
{
    return this->get<double>(path);
}

auto values::boolean(std::string_view path) const -> bool
{
    return this->get<bool>(path);
}

auto values::milliseconds(std::string_view path) const -> std::chrono::milliseconds
{
    return std::chrono::milliseconds{this->integer(path)};
}

auto values::size(std::string_view path) const -> std::size_t
{
    const auto number = this->integer(path);
    if (number < 0) {
        throw std::logic_error{"setting may be negative: " + std::string{path}};
    }
    return static_cast<std::size_t>(number);
}

auto values::texts(std::string_view path) const -> const text_list&
{
    return this->get<text_list>(path);
}

auto values::map(std::string_view path) const -> const text_map&
{
    return this->get<text_map>(path);
}

auto is_incomplete(std::string_view json_text) -> bool
{
    boost::json::stream_parser parser;
    boost::json::error_code problem;
    parser.write(json_text.data(), json_text.size(), problem);
    return !problem && !parser.done();
}

auto parse(const schema& keys, std::string_view json_text)
    -> tl::expected<values, std::vector<problem>>
{
    reader result{keys};
    boost::json::error_code failed;
    const auto root = boost::json::parse({json_text.data(), json_text.size()}, failed);
    if (failed) {
        result.note({}, "is not JSON: " + failed.message());
        return result.finish();
    }
    if (!root.is_object()) {
        result.note({}, "has to be an object");
        return result.finish();
    }
    result.read_object(root.as_object(), {});
    result.fill_absent();
    return result.finish();
}

} // namespace reedramp::settings
