#pragma once

#include <string>
#include <vector>

namespace reedramp::operators {

/// A table for a terminal. Columns are as wide as their widest cell; numeric columns are
/// right-aligned.
class text_table {
public:
    explicit text_table(std::vector<std::string> titles);

    /// Adds a row; missing cells at its end are empty.
    auto add(std::vector<std::string> cells) -> void;

    [[nodiscard]] auto empty() const -> bool { return this->rows.empty(); }

    /// The formatted table; empty if it has no rows.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::vector<std::string> column_titles;
    std::vector<std::vector<std::string>> rows;
};

/// Formats permille as percent: "12.5 %" for 125.
auto percent_text(std::uint64_t permille) -> std::string;

/// Formats an amount in millionths: "0.012500" for 12500.
auto money_text(std::int64_t micro) -> std::string;

} // namespace reedramp::operators
