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
constexpr std::uint64_t max_wait_ms = 60'000;
constexpr std::string_view path_prefix = "/log/";

/// Parsed path "/log/<stream>/<verb>".
struct log_path {
    std::string stream;
    std::string_view verb;
};

auto parse_path(std::string_view path) -> std::optional<log_path>
{
    const auto slash = path.rfind('/');
    if (!path.starts_with(path_prefix) || slash <= path_prefix.size()) {
        return std::nullopt;
    }
    const auto stream = path.substr(path_prefix.size(), slash - path_prefix.size());
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

/// Checks whether data is valid UTF-8, which it must be because reads return it as a JSON string.
auto is_utf8(const std::string& data) -> bool
{
    boost::system::error_code error;
    boost::json::parse(boost::json::serialize(boost::json::string(data)), error);
    return !error;
}

/// Serves `platform::fake_log` over HTTP. The fake log applies the faults itself.
struct log_part {
    log_part(part_server& given_server, const log_settings& config)
        : server(given_server),
          log(given_server.environment().clock, given_server.environment().timers),
          hooks(this->log.hooks())
    {
        faults initial;
        initial.appends_per_second = config.appends_per_second;
        initial.kept_records = config.kept_records;
        this->server.set_faults(initial);
        this->apply(initial);
    }

    auto apply(const faults& current) -> void
    {
        platform::log_faults config;
        config.down = current.down;
        config.slow = std::chrono::milliseconds(current.slow_ms);
        config.lose_answer_every = current.lose_answer_every;
        config.lose_append_every = current.lose_append_every;
        config.appends_per_second = current.appends_per_second;
        this->log.set_faults(config);
        this->log.keep(current.kept_records);
    }

    auto serve(http::request request, const responder_pointer& responder) -> void
    {
        const auto path = parse_path(strip_query(request.target));
        if (path && path->verb == "append" && request.method == "POST") {
            this->append(path->stream, std::move(request.body), responder);
            return;
        }
        if (path && path->verb == "read" && request.method == "GET") {
            this->read(path->stream, request.target, responder);
            return;
        }
        responder->send(error_response(status_not_found, "no such path"));
    }

    auto append(std::string stream, std::string data, const responder_pointer& responder) -> void
    {
        if (!is_utf8(data)) {
            responder->send(error_response(status_bad_request, "not UTF-8"));
            return;
        }
        this->hooks.append(std::move(stream), std::move(data), [responder](const auto& answer) {
            if (answer) {
                const boost::json::object body{{"offset", answer->value()}};
                responder->send(json_response(status_ok, boost::json::serialize(body)));
                return;
            }
            if (answer.error().code == common::result_code::append_unknown) {
                responder->abort();
                return;
            }
            // `part_server` rejects requests while the log is down, so the append exceeded the
            // rate.
            responder->send(error_response(status_too_many, answer.error().detail));
        });
    }

    auto
    read(const std::string& stream, std::string_view target, const responder_pointer& responder)
        -> void
    {
        const auto after = parse_query_number(target, "after").value_or(0);
        const auto limit = parse_query_number(target, "limit").value_or(default_read_limit);
        const auto wait = std::min(parse_query_number(target, "wait_ms").value_or(0), max_wait_ms);
        this->hooks.read(
            stream,
            common::log_offset{after},
            std::chrono::milliseconds(wait),
            [this, stream, limit, responder](const auto& answer) {
                if (answer) {
                    responder->send(json_response(status_ok, format_records(*answer, limit)));
                    return;
                }
                this->send_read_error(stream, answer.error(), responder);
            });
    }

    auto send_read_error(
        const std::string& stream, const common::error& error, const responder_pointer& responder)
        -> void
    {
        if (error.code != common::result_code::log_trimmed) {
            responder->send(error_response(common::row_of(error.code).http_status, error.detail));
            return;
        }
        const boost::json::object body{
            {"oldest", this->log.oldest(stream).value()},
            {"head", this->log.head(stream).value()},
        };
        responder->send(json_response(status_gone, boost::json::serialize(body)));
    }

    part_server& server;
    platform::fake_log log;
    platform::log_hooks hooks;
};

} // namespace

auto open_log(
    const part_environment& environment, const std::string& address, const log_settings& config)
    -> part_result
{
    part_description description{"log", "log", {address, config.port}};
    auto server = std::make_unique<part_server>(std::move(description), environment);
    const auto part = std::make_shared<log_part>(*server, config);
    part_server::hooks hooks;
    hooks.serve = [part](http::request request, const responder_pointer& responder) {
        part->serve(std::move(request), responder);
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
