#pragma once

#include <chrono>
#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <tl/expected.hpp>

/// Settings files: a declared schema, a check that lists every problem, typed access.
namespace reedramp::settings {

/// What a key's JSON value has to be.
enum class value_type : std::uint8_t {
    text,
    integer,
    /// An integer or a fraction.
    real,
    boolean,
    /// "IP:port", with an IPv6 number in brackets. Port 0 stands for any free port.
    address,
    text_list,
    address_list,
    /// An object whose values are all strings.
    text_map,
    /// A time: a number of milliseconds, or text with its unit, "8.5 s" or "8500 ms". Kept as whole
    /// milliseconds.
    time,
};

using text_list = std::vector<std::string>;
using text_map = std::map<std::string, std::string>;
using value = std::variant<std::string, std::int64_t, double, bool, text_list, text_map>;

/// One key of a settings file. Its path is dotted: "http.listen" is the member `listen` of the
/// object `http`.
struct key {
    std::string path = {};
    value_type type = value_type::text;
    /// One sentence for people.
    std::string doc = {};
    /// The value when the key is absent; none for a key that must be there.
    std::optional<value> fallback = std::nullopt;
    /// "ms", "bytes", ...; empty for a plain number or text.
    std::string unit = {};
    /// Bounds of a number, or of the length of a text, list or map.
    double lowest = -std::numeric_limits<double>::infinity();
    double highest = std::numeric_limits<double>::infinity();
    /// The texts that are allowed; empty for any.
    text_list choices = {};
    /// Its value is not printed or logged.
    bool secret = false;
};

using schema = std::vector<key>;

/// One thing that is wrong with a settings file.
struct problem {
    /// JSON path: "$.http.listen".
    std::string path;
    std::string message;

    // The linter takes the 0 that the compiler compares with for a null pointer.
    auto operator<=>(const problem&) const = default; // NOLINT(modernize-use-nullptr)
};

/// "$.http.listen: has to be an address like 127.0.0.1:8080".
auto to_string(const problem& found) -> std::string;

/// Settings that match their schema: each key has a value of its type.
///
/// @throws std::logic_error from each getter, for a path that is not in the schema or of another
/// type: a defect of the program, not of the file.
class values {
public:
    explicit values(std::map<std::string, value, std::less<>> contents);

    /// Of a `text` or `address`.
    [[nodiscard]] auto text(std::string_view path) const -> const std::string&;
    /// Of an `integer`, or the milliseconds of a `time`.
    [[nodiscard]] auto integer(std::string_view path) const -> std::int64_t;
    [[nodiscard]] auto real(std::string_view path) const -> double;
    [[nodiscard]] auto boolean(std::string_view path) const -> bool;
    /// Of a `time`.
    [[nodiscard]] auto milliseconds(std::string_view path) const -> std::chrono::milliseconds;
    /// Of an `integer` whose lowest bound is not negative.
    [[nodiscard]] auto size(std::string_view path) const -> std::size_t;
    /// Of a `text_list` or `address_list`.
    [[nodiscard]] auto texts(std::string_view path) const -> const text_list&;
    [[nodiscard]] auto map(std::string_view path) const -> const text_map&;

private:
    template <typename Type>
    [[nodiscard]] auto get(std::string_view path) const -> const Type&;

    std::map<std::string, value, std::less<>> contents;
};

/// Checks JSON text against the schema. On failure gives all problems, sorted by path: text that is
/// not JSON, unknown keys, missing ones, wrong types, values out of range, bad addresses.
auto parse(const schema& keys, std::string_view json_text)
    -> tl::expected<values, std::vector<problem>>;

/// Whether the text ends inside its JSON, as that of a file does which is still being written.
auto is_incomplete(std::string_view json_text) -> bool;

/// A Markdown table of the keys with type, unit, range, default and doc.
auto markdown_table(const schema& keys) -> std::string;

} // namespace reedramp::settings
