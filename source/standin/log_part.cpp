#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "parts.hpp"
#include "platform/fake_log.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
constexpr std::uint16_t status_gone = 410;
constexpr std::uint16_t status_too_many = 429;
constexpr std::uint64_t default_read_limit = 1000;
constexpr std::uint64_t longest_wait_ms = 60'000;
constexpr std::string_view prefix = "/log/";

/// The stream and the verb of "/log/<stream>/<verb>".
struct log_path {
    std::string stream;
    std::string_view verb;
};

auto parse_path(std::string_view path) -> std::optional<log_path>
{
    const auto slash = path.rfind('/');
    if (!path.starts_with(prefix) || slash <= prefix.size()) {
        return std::nullopt;
    }
    const auto stream = path.substr(prefix.size(), slash - prefix.size());
    return log_path{std::string(stream), path.substr(slash + 1)};
}

auto format_records(const platform::read_answer& answer, std::size_t limit) -> std::string
{
    boost::json::array rows;
    const auto count = std::min(answer.records.size(), limit);
    rows.reserve(count);
    for (std::size_t index = 0; index < count; ++index) {
        const auto& record = answer.records[index];
        rows.emplace_back(
            boost::json::object{{"offset", record.offset.value()}, {"data", record.data}});
    }
    const boost::json::object body{
        {"records", std::move(rows)},
        {"head", answer.head.value()},
        {"oldest", answer.oldest.value()},
    };
    return boost::json::serialize(body);
}

/// A record travels back inside a JSON text, which holds no other bytes than UTF-8.
auto is_utf8(const std::string& data) -> bool
{
    boost::system::error_code failed;
    boost::json::parse(boost::json::serialize(boost::json::string(data)), failed);
    return !failed;
}

/// The fake log behind HTTP. Its faults are those of the fake log.
struct log_part {
    log_part(part_server& given_server, const log_settings& wanted)
        : server(given_server), log(given_server.tools().clock, given_server.tools().timers),
          hooks(this->log.hooks())
    {
        faults initial;
        initial.appends_per_second = wanted.appends_per_second;
        initial.kept_records = wanted.kept_records;
        this->server.set_faults(initial);
        this->apply(initial);
    }

    auto apply(const faults& current) -> void
    {
        platform::log_faults wanted;
        wanted.down = current.down;
        wanted.slow = std::chrono::milliseconds(current.slow_ms);
        wanted.lose_answer_every = current.lose_answer_every;
        wanted.lose_append_every = current.lose_append_every;
        wanted.appends_per_second = current.appends_per_second;
        this->log.set_faults(wanted);
        this->log.keep(current.kept_records);
    }

    auto serve(http::request asked, const responder_pointer& out) -> void
    {
        const auto path = parse_path(path_of(asked.target));
        if (path && path->verb == "append" && asked.method == "POST") {
            this->append(path->stream, std::move(asked.body), out);
            return;
        }
        if (path && path->verb == "read" && asked.method == "GET") {
            this->read(path->stream, asked.target, out);
            return;
        }
        out->send(error_response(status_not_found, "no such path"));
    }

    auto append(std::string stream, std::string data, const responder_pointer& out) -> void
    {
        if (!is_utf8(data)) {
            out->send(error_response(status_bad_request, "not UTF-8"));
            return;
        }
        this->hooks.append(std::move(stream), std::move(data), [out](const auto& answer) {
            if (answer) {
                const boost::json::object body{{"offset", answer->value()}};
                out->send(json_response(status_ok, boost::json::serialize(body)));
                return;
            }
            if (answer.error().code == common::result_code::append_unknown) {
                out->abort();
                return;
            }
            // While the log is down, no request gets here; so this one was over the rate.
            out->send(error_response(status_too_many, answer.error().detail));
        });
    }

    auto read(const std::string& stream, std::string_view target, const responder_pointer& out)
        -> void
    {
        const auto after = query_count(target, "after").value_or(0);
        const auto limit = query_count(target, "limit").value_or(default_read_limit);
        const auto wait = std::min(query_count(target, "wait_ms").value_or(0), longest_wait_ms);
        this->hooks.read(
            stream,
            common::log_offset{after},
            std::chrono::milliseconds(wait),
            [this, stream, limit, out](const auto& answer) {
                if (answer) {
                    out->send(json_response(status_ok, format_records(*answer, limit)));
                    return;
                }
                this->send_read_error(stream, answer.error(), out);
            });
    }

    auto send_read_error(
        const std::string& stream, const common::error& why, const responder_pointer& out) -> void
    {
        if (why.code != common::result_code::log_trimmed) {
            out->send(error_response(common::row_of(why.code).http_status, why.detail));
            return;
        }
        const boost::json::object body{
            {"oldest", this->log.oldest(stream).value()},
            {"head", this->log.head(stream).value()},
        };
        out->send(json_response(status_gone, boost::json::serialize(body)));
    }

    part_server& server;
    platform::fake_log log;
    platform::log_hooks hooks;
};

} // namespace

auto open_log(const part_tools& tools, const std::string& address, const log_settings& wanted)
    -> opened_part
{
    part_description about{"log", "log", {address, wanted.port}};
    auto server = std::make_unique<part_server>(std::move(about), tools);
    const auto part = std::make_shared<log_part>(*server, wanted);
    part_server::hooks hooks;
    hooks.serve = [part](http::request asked, const responder_pointer& out) {
        part->serve(std::move(asked), out);
    };
    hooks.faults_changed = [part](const faults& current) {
        part->apply(current);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
