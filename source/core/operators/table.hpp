#pragma once

#include <string>
#include <vector>

namespace reedramp::operators {

/// A table for a terminal: columns as wide as their widest cell, numbers to the right.
class text_table {
public:
    explicit text_table(std::vector<std::string> column_names);

    /// A row with fewer cells than columns is filled with empty ones.
    auto add(std::vector<std::string> cells) -> void;

    [[nodiscard]] auto empty() const -> bool { return this->rows.empty(); }

    /// Empty if there is no row.
    [[nodiscard]] auto text() const -> std::string;

private:
    std::vector<std::string> names;
    std::vector<std::vector<std::string>> rows;
};

/// "12.5 %" of 125 permille.
auto percent_text(std::uint64_t permille) -> std::string;

/// "0.012500" of 12500 millionths.
auto money_text(std::int64_t micro) -> std::string;

} // namespace reedramp::operators
