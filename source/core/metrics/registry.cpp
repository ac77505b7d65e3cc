#include "metrics/registry.hpp"

#include <cmath>
#include <cstdio>
#include <stdexcept>

namespace reedramp::metrics {

namespace {

/// One in so many buckets is printed: enough for a dashboard, at a quarter of the lines.
constexpr std::size_t printed_bucket_step = 4;

auto escape(std::string_view text) -> std::string
{
    std::string escaped;
    for (const char letter : text) {
        if (letter == '\n') {
            escaped += "\\n";
            continue;
        }
        if (letter == '\\' || letter == '"') {
            escaped += '\\';
        }
        escaped += letter;
    }
    return escaped;
}

auto number_text(double number) -> std::string
{
    if (std::isinf(number)) {
        return "+Inf";
    }
    constexpr std::size_t longest = 32;
    std::array<char, longest> text{};
    std::snprintf(text.data(), text.size(), "%.9g", number);
    return text.data();
}

/// `{name="value",...}`, or nothing without labels.
auto label_text(const labels& which) -> std::string
{
    if (which.empty()) {
        return {};
    }
    std::string text;
    for (const auto& item : which) {
        text += text.empty() ? "{" : ",";
        text += item.name + "=\"" + escape(item.value) + "\"";
    }
    return text + "}";
}

auto write_histogram(
    std::string& text, const std::string& name, const labels& which, const histogram& one) -> void
{
    const auto taken = one.read();
    for (std::size_t index = 0; index < taken.buckets.size(); index += 1) {
        const auto& bucket = taken.buckets[index];
        const bool is_last = index + 1 == taken.buckets.size();
        if (!is_last && index % printed_bucket_step != 0) {
            continue;
        }
        auto with_bound = which;
        with_bound.push_back({"le", number_text(bucket.upper)});
        text += name + "_bucket" + label_text(with_bound) + " " +
                std::to_string(bucket.cumulative) + "\n";
    }
    text += name + "_sum" + label_text(which) + " " + number_text(taken.sum) + "\n";
    text += name + "_count" + label_text(which) + " " + std::to_string(taken.count) + "\n";
}

} // namespace

auto registry::counter_of(std::string_view name, std::string_view help, const labels& which)
    -> counter&
{
    const std::lock_guard guard(this->lock);
    auto& found = this->member_of(series_kind::counter, name, help, which).as_counter;
    if (found == nullptr) {
        found = std::make_unique<counter>();
    }
    return *found;
}

auto registry::gauge_of(std::string_view name, std::string_view help, const labels& which) -> gauge&
{
    const std::lock_guard guard(this->lock);
    auto& found = this->member_of(series_kind::gauge, name, help, which).as_gauge;
    if (found == nullptr) {
        found = std::make_unique<gauge>();
    }
    return *found;
}

auto registry::histogram_of(
    std::string_view name, std::string_view help, const labels& which, histogram_range range)
    -> histogram&
{
    const std::lock_guard guard(this->lock);
    auto& found = this->member_of(series_kind::histogram, name, help, which).as_histogram;
    if (found == nullptr) {
        found = std::make_unique<histogram>(range);
    }
    return *found;
}

auto registry::prometheus_text() const -> std::string
{
    const std::lock_guard guard(this->lock);
    std::string text;
    for (const auto& [name, group] : this->families) {
        static constexpr std::array<std::string_view, 3> kinds{"counter", "gauge", "histogram"};
        text += "# HELP " + name + " " + escape(group.help) + "\n";
        text += "# TYPE " + name + " ";
        text += kinds.at(static_cast<std::size_t>(group.kind));
        text += "\n";
        for (const auto& [which, one] : group.members) {
            write_series(text, name, which, one);
        }
    }
    return text;
}

/// Under the lock.
auto registry::member_of(
    series_kind kind, std::string_view name, std::string_view help, const labels& which) -> series&
{
    auto found = this->families.find(name);
    if (found == this->families.end()) {
        found = this->families.try_emplace(std::string{name}).first;
        found->second.kind = kind;
        found->second.help = help;
    }
    if (found->second.kind != kind) {
        throw std::logic_error{"metric of two kinds: " + std::string{name}};
    }
    return found->second.members[which];
}

auto registry::write_series(
    std::string& text, const std::string& name, const labels& which, const series& one) -> void
{
    if (one.as_counter != nullptr) {
        text += name + label_text(which) + " " + std::to_string(one.as_counter->value()) + "\n";
    }
    if (one.as_gauge != nullptr) {
        text += name + label_text(which) + " " + std::to_string(one.as_gauge->value()) + "\n";
    }
    if (one.as_histogram != nullptr) {
        write_histogram(text, name, which, *one.as_histogram);
    }
}

} // namespace reedramp::metrics
