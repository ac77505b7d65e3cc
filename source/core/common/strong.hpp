#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

/// Lowest library: ids, units, result codes, hooks for time and chance, sharded state, log lines.
namespace reedramp::common {

/// A value of type `Value` that does not mix with values of another `Tag`.
///
/// Swapping an organisation id and a version id in a call compiles when both are strings; with
/// `strong` it does not.
template <typename Tag, typename Value>
class strong {
public:
    using value_type = Value;

    constexpr strong() = default;

    constexpr explicit strong(Value initial) : content(std::move(initial)) {}

    [[nodiscard]] constexpr auto value() const -> const Value& { return this->content; }

    // clang-tidy 14 takes the zero that a defaulted comparison is compared with for a null pointer.
    constexpr auto operator<=>(const strong&) const = default; // NOLINT(modernize-use-nullptr)

private:
    Value content{};
};

template <typename Tag, typename Value>
auto operator<<(std::ostream& out, const strong<Tag, Value>& item) -> std::ostream&
{
    return out << item.value();
}

} // namespace reedramp::common

template <typename Tag, typename Value>
struct std::hash<reedramp::common::strong<Tag, Value>> {
    auto operator()(const reedramp::common::strong<Tag, Value>& item) const -> std::size_t
    {
        return std::hash<Value>{}(item.value());
    }
};
