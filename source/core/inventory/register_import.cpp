#include "inventory/register_import.hpp"

#include <algorithm>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace reedramp::inventory {

using common::failure;
using common::result_code;

namespace {

/// One row of a CSV file.
struct csv_row {
    std::size_t line = 0;
    std::vector<std::string> fields;
};

/// Parses CSV according to RFC 4180: fields may be quoted, and quoted fields may contain commas,
/// line breaks and doubled quotes.
class csv_reader {
public:
    explicit csv_reader(std::string_view source) : text(source) {}

    /// The next row that is not blank; nullopt at the end.
    auto next() -> std::optional<csv_row>
    {
        while (this->position < this->text.size()) {
            csv_row row{this->line, {}};
            this->read_row(row);
            const auto is_blank = row.fields.size() == 1 && row.fields.front().empty();
            if (!is_blank) {
                return row;
            }
        }
        return std::nullopt;
    }

private:
    auto read_row(csv_row& row) -> void
    {
        while (true) {
            row.fields.push_back(this->read_field());
            const auto has_more = this->position < this->text.size();
            const auto end = has_more ? this->text[this->position++] : '\n';
            if (end == '\n') {
                ++this->line;
                return;
            }
        }
    }

    auto read_field() -> std::string
    {
        std::string field;
        auto is_quoted = false;
        while (this->position < this->text.size()) {
            const auto letter = this->text[this->position];
            if (!is_quoted && (letter == ',' || letter == '\n')) {
                break;
            }
            ++this->position;
            if (letter == '"') {
                if (is_quoted && this->is_quote_next()) {
                    field.push_back('"');
                    ++this->position;
                    continue;
                }
                is_quoted = !is_quoted;
                continue;
            }
            if (letter == '\n') {
                ++this->line;
            }
            if (letter != '\r') {
                field.push_back(letter);
            }
        }
        return trimmed(field);
    }

    [[nodiscard]] auto is_quote_next() const -> bool
    {
        return this->position < this->text.size() && this->text[this->position] == '"';
    }

    static auto trimmed(const std::string& field) -> std::string
    {
        const auto first = field.find_first_not_of(" \t");
        if (first == std::string::npos) {
            return {};
        }
        const auto last = field.find_last_not_of(" \t");
        return field.substr(first, last - first + 1);
    }

    std::string_view text;
    std::size_t position = 0;
    std::size_t line = 1;
};

/// Looks up a row's fields by the names of their columns.
class column_index {
public:
    explicit column_index(const std::vector<std::string>& names)
    {
        for (std::size_t index = 0; index < names.size(); ++index) {
            this->positions.emplace(names[index], index);
        }
    }

    [[nodiscard]] auto has(const std::string& name) const -> bool
    {
        return this->positions.contains(name);
    }

    [[nodiscard]] auto field(const csv_row& row, const std::string& name) const -> std::string
    {
        const auto found = this->positions.find(name);
        if (found == this->positions.end() || found->second >= row.fields.size()) {
            return {};
        }
        return row.fields[found->second];
    }

private:
    std::map<std::string, std::size_t> positions;
};

auto split_versions(const std::string& text) -> std::vector<common::version_id>
{
    std::vector<common::version_id> made;
    std::size_t begin = 0;
    while (begin < text.size()) {
        const auto end = std::min(text.find(';', begin), text.size());
        const auto first = text.find_first_not_of(' ', begin);
        const auto last = text.find_last_not_of(' ', end - 1);
        if (end > begin && first < end && last != std::string::npos && last >= first) {
            made.emplace_back(text.substr(first, last - first + 1));
        }
        begin = end + 1;
    }
    return made;
}

auto read_server(const csv_row& row, const column_index& index, const register_columns& columns)
    -> backend_server
{
    const auto get = [&](const std::string& name) {
        return index.field(row, name);
    };
    backend_server made;
    made.id = common::server_id{get(columns.id)};
    made.host = common::host_id{get(columns.host)};
    made.data_centre = common::data_centre_id{get(columns.data_centre)};
    made.region = common::region_id{get(columns.region)};
    made.kind = get(columns.kind) == "service" ? server_kind::service : server_kind::engine;
    if (made.kind == server_kind::engine) {
        made.versions = split_versions(get(columns.versions));
    }
    else {
        made.service = common::service_name{get(columns.service)};
    }
    made.checks_fencing = get(columns.checks_fencing) == "yes";
    return made;
}

auto problem_of(
    const backend_server& item,
    const std::string& fencing,
    const state& current,
    const std::set<common::server_id>& seen) -> std::string
{
    if (item.id.value().empty() || item.host.value().empty()) {
        return "a server needs an id and a host";
    }
    if (item.data_centre.value().empty() || item.region.value().empty()) {
        return "a server needs a data centre and a region";
    }
    if (seen.contains(item.id)) {
        return "id " + item.id.value() + " occurs more than once";
    }
    if (!fencing.empty() && fencing != "yes" && fencing != "no") {
        return "fencing must be yes or no, not " + fencing;
    }
    const auto is_service = item.kind == server_kind::service;
    if (is_service && !current.services.contains(item.service)) {
        return "there is no service " + item.service.value();
    }
    for (const auto& id : item.versions) {
        if (!current.versions.contains(id)) {
            return "there is no version " + id.value();
        }
    }
    return {};
}

auto missing_columns(const column_index& index, const register_columns& columns) -> std::string
{
    std::string missing;
    for (const auto* name :
         {&columns.id, &columns.host, &columns.data_centre, &columns.region, &columns.kind}) {
        if (!index.has(*name)) {
            missing += missing.empty() ? *name : ", " + *name;
        }
    }
    return missing;
}

auto is_same(backend_server item, const state& current) -> bool
{
    const auto known = current.servers.find(item.id);
    if (known == current.servers.end()) {
        return false;
    }
    item.changed = known->second.changed;
    return item == known->second;
}

} // namespace

auto import_register(std::string_view csv, const register_columns& columns, const state& current)
    -> common::result<register_import>
{
    csv_reader reader(csv);
    const auto header = reader.next();
    const column_index index(header ? header->fields : std::vector<std::string>{});
    const auto missing = missing_columns(index, columns);
    if (!missing.empty()) {
        return failure(result_code::invalid_record, "the register lacks columns: " + missing);
    }
    register_import made;
    std::string problems;
    std::set<common::server_id> seen;
    while (const auto row = reader.next()) {
        const auto kind = index.field(*row, columns.kind);
        if (kind != "engine" && kind != "service") {
            ++made.skipped;
            continue;
        }
        auto item = read_server(*row, index, columns);
        const auto fencing = index.field(*row, columns.checks_fencing);
        const auto problem = problem_of(item, fencing, current, seen);
        if (!problem.empty()) {
            problems += "line " + std::to_string(row->line) + ": " + problem + "\n";
        }
        seen.insert(item.id);
        if (is_same(item, current)) {
            ++made.unchanged;
            continue;
        }
        made.changes.emplace_back(put_change{std::move(item)});
    }
    if (!problems.empty()) {
        return failure(result_code::invalid_record, std::move(problems));
    }
    for (const auto& [id, item] : current.servers) {
        if (!seen.contains(id)) {
            made.changes.emplace_back(remove_change{{entity_kind::server, id.value()}});
        }
    }
    return made;
}

} // namespace reedramp::inventory
