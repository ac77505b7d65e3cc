#include "operators/text_table.hpp"

#include <algorithm>
#include <array>
#include <cstdio>
#include <utility>

namespace reedramp::operators {

namespace {

constexpr std::size_t column_gap = 2;

auto is_number(const std::string& cell) -> bool
{
    return !cell.empty() && cell.find_first_not_of("0123456789.-% ") == std::string::npos;
}

auto add_cell(std::string& line, const std::string& cell, std::size_t width, bool right_aligned)
    -> void
{
    const std::string padding(width - cell.size(), ' ');
    line += right_aligned ? padding + cell : cell + padding;
}

} // namespace

text_table::text_table(std::vector<std::string> titles) : column_titles(std::move(titles)) {}

auto text_table::add(std::vector<std::string> cells) -> void
{
    cells.resize(this->column_titles.size());
    this->rows.push_back(std::move(cells));
}

auto text_table::text() const -> std::string
{
    if (this->rows.empty()) {
        return {};
    }
    const auto columns = this->column_titles.size();
    std::vector<std::size_t> widths(columns);
    std::vector<bool> right_aligned(columns, true);
    for (std::size_t column = 0; column < columns; ++column) {
        widths[column] = this->column_titles[column].size();
        for (const auto& row : this->rows) {
            widths[column] = std::max(widths[column], row[column].size());
            right_aligned[column] = right_aligned[column] && is_number(row[column]);
        }
    }
    std::string result;
    const auto add_line = [&](const std::vector<std::string>& cells) {
        std::string line;
        for (std::size_t column = 0; column < columns; ++column) {
            add_cell(line, cells[column], widths[column], right_aligned[column]);
            line.append(column_gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        result += line + "\n";
    };
    add_line(this->column_titles);
    for (const auto& row : this->rows) {
        add_line(row);
    }
    return result;
}

auto percent_text(std::uint64_t permille) -> std::string
{
    return std::to_string(permille / 10) + "." + std::to_string(permille % 10) + " %";
}

auto money_text(std::int64_t micro) -> std::string
{
    constexpr double millionths = 1e6;
    constexpr std::size_t buffer_size = 32;
    std::array<char, buffer_size> text{};
    std::snprintf(text.data(), text.size(), "%.6f", static_cast<double>(micro) / millionths);
    return text.data();
}

} // namespace reedramp::operators
