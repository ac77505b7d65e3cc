#include <algorithm>
#include <utility>

#include "answer.hpp"
#include "parts.hpp"
#include "platform/fake_platform.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint16_t status_ok = 200;
constexpr std::uint16_t status_bad_request = 400;
constexpr std::uint16_t status_not_found = 404;
constexpr double permille_scale = 1000.0;
/// Score of versions and tasks without an entry in `ratings_settings::quality`.
constexpr double default_score = 0.8;
constexpr auto any_task = "*";

/// Returns the task that a question names in brackets, as in "[tagging] Which roof type ...", or
/// `any_task`.
auto task_of(std::string_view question) -> std::string
{
    const auto begin = question.find('[');
    const auto end = question.find(']', begin);
    if (begin == std::string_view::npos || end == std::string_view::npos) {
        return any_task;
    }
    return std::string(question.substr(begin + 1, end - begin - 1));
}

struct ratings_part {
    ratings_part(part_server& given_server, const ratings_settings& given_config)
        : server(given_server), config(given_config),
          ratings(
              given_server.environment().clock,
              given_server.environment().timers,
              [this](const platform::rated_answer& submitted) { return this->score(submitted); })
    {
        this->ratings.set_delay(std::chrono::milliseconds(given_config.delay_ms));
    }

    auto random() const -> double { return common::random_unit(this->server.environment().random); }

    auto score(const platform::rated_answer& submitted) const -> std::optional<double>
    {
        if (this->random() * permille_scale < this->config.missing_permille) {
            return std::nullopt;
        }
        const auto noise = (2.0 * this->random() - 1.0) * this->config.noise;
        const auto reading = read_answer(submitted.answer);
        if (!reading || reading->bad || !reading->in_order) {
            return this->config.bad_score + noise;
        }
        return this->quality(reading->version, task_of(submitted.question)) + noise;
    }

    auto quality(const std::string& version, const std::string& task) const -> double
    {
        const auto tasks = this->config.quality.find(version);
        if (tasks == this->config.quality.end()) {
            return default_score;
        }
        const auto task_score = tasks->second.find(task);
        const auto found =
            task_score != tasks->second.end() ? task_score : tasks->second.find(any_task);
        return found == tasks->second.end() ? default_score : found->second;
    }

    auto serve(const http::request& request, const responder_pointer& responder) -> void
    {
        const auto path = strip_query(request.target);
        if (path == "/ratings/submit" && request.method == "POST") {
            this->submit(request, responder);
            return;
        }
        if (path == "/ratings" && request.method == "GET") {
            this->fetch(parse_query_number(request.target, "since").value_or(0), responder);
            return;
        }
        responder->send(error_response(status_not_found, "no such path"));
    }

    auto submit(const http::request& request, const responder_pointer& responder) -> void
    {
        const auto fields = platform::parse_object(request.body);
        const auto request_id_text =
            fields ? platform::string_field(*fields, "request") : std::nullopt;
        const auto id = request_id_text ? common::parse_request_id(*request_id_text) : std::nullopt;
        if (!id) {
            responder->send(
                error_response(status_bad_request, "needs request, question and answer"));
            return;
        }
        auto question = platform::string_field(*fields, "question").value_or("");
        auto answer = platform::string_field(*fields, "answer").value_or("");
        this->ratings.submit({*id, std::move(question), std::move(answer)});
        this->server.reply(responder, json_response(status_ok, "{}"));
    }

    auto fetch(std::uint64_t since, const responder_pointer& responder) -> void
    {
        const auto page = this->ratings.page_after(since);
        boost::json::array rows;
        rows.reserve(page.ratings.size());
        for (const auto& rating : page.ratings) {
            rows.emplace_back(boost::json::object{
                {"request", common::to_string(rating.request)}, {"score", rating.score}});
        }
        const boost::json::object body{{"ratings", std::move(rows)}, {"next", page.next}};
        this->server.reply(responder, json_response(status_ok, boost::json::serialize(body)));
    }

    part_server& server;
    ratings_settings config;
    platform::fake_ratings ratings;
};

} // namespace

auto open_ratings(
    const part_environment& environment, const std::string& address, const ratings_settings& config)
    -> part_result
{
    part_description description{"ratings", "ratings", {address, config.port}};
    auto server = std::make_unique<part_server>(std::move(description), environment);
    const auto part = std::make_shared<ratings_part>(*server, config);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& request, const responder_pointer& responder) {
        part->serve(request, responder);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
