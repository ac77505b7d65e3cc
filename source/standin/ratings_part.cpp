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
constexpr double whole_permille = 1000.0;
constexpr double score_without_table = 0.8;
constexpr auto any_task = "*";

/// A question names its task in brackets: "[tagging] Which roof type ...".
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
    ratings_part(part_server& given_server, const ratings_settings& given)
        : server(given_server), wanted(given),
          ratings(
              given_server.tools().clock,
              given_server.tools().timers,
              [this](const platform::rated_answer& submitted) { return this->score(submitted); })
    {
        this->ratings.set_delay(std::chrono::milliseconds(given.delay_ms));
    }

    auto random() const -> double { return common::random_unit(this->server.tools().random); }

    auto score(const platform::rated_answer& submitted) const -> std::optional<double>
    {
        if (this->random() * whole_permille < this->wanted.missing_permille) {
            return std::nullopt;
        }
        const auto noise = (2.0 * this->random() - 1.0) * this->wanted.noise;
        const auto reading = read_answer(submitted.answer);
        if (!reading || reading->bad || !reading->in_order) {
            return this->wanted.bad_score + noise;
        }
        return this->quality(reading->version, task_of(submitted.question)) + noise;
    }

    auto quality(const std::string& version, const std::string& task) const -> double
    {
        const auto tasks = this->wanted.quality.find(version);
        if (tasks == this->wanted.quality.end()) {
            return score_without_table;
        }
        const auto own = tasks->second.find(task);
        const auto found = own != tasks->second.end() ? own : tasks->second.find(any_task);
        return found == tasks->second.end() ? score_without_table : found->second;
    }

    auto serve(const http::request& asked, const responder_pointer& out) -> void
    {
        const auto path = path_of(asked.target);
        if (path == "/ratings/submit" && asked.method == "POST") {
            this->submit(asked, out);
            return;
        }
        if (path == "/ratings" && asked.method == "GET") {
            this->fetch(query_count(asked.target, "since").value_or(0), out);
            return;
        }
        out->send(error_response(status_not_found, "no such path"));
    }

    auto submit(const http::request& asked, const responder_pointer& out) -> void
    {
        const auto fields = platform::parse_object(asked.body);
        const auto request = fields ? platform::string_field(*fields, "request") : std::nullopt;
        const auto id = request ? common::parse_request_id(*request) : std::nullopt;
        if (!id) {
            out->send(error_response(status_bad_request, "needs request, question and answer"));
            return;
        }
        auto question = platform::string_field(*fields, "question").value_or("");
        auto answer = platform::string_field(*fields, "answer").value_or("");
        this->ratings.submit({*id, std::move(question), std::move(answer)});
        this->server.reply(out, json_response(status_ok, "{}"));
    }

    auto fetch(std::uint64_t since, const responder_pointer& out) -> void
    {
        const auto page = this->ratings.page_after(since);
        boost::json::array rows;
        rows.reserve(page.ratings.size());
        for (const auto& made : page.ratings) {
            rows.emplace_back(boost::json::object{
                {"request", common::to_string(made.request)}, {"score", made.score}});
        }
        const boost::json::object body{{"ratings", std::move(rows)}, {"next", page.next}};
        this->server.reply(out, json_response(status_ok, boost::json::serialize(body)));
    }

    part_server& server;
    ratings_settings wanted;
    platform::fake_ratings ratings;
};

} // namespace

auto open_ratings(
    const part_tools& tools, const std::string& address, const ratings_settings& wanted)
    -> opened_part
{
    part_description about{"ratings", "ratings", {address, wanted.port}};
    auto server = std::make_unique<part_server>(std::move(about), tools);
    const auto part = std::make_shared<ratings_part>(*server, wanted);
    part_server::hooks hooks;
    hooks.serve = [part](const http::request& asked, const responder_pointer& out) {
        part->serve(asked, out);
    };
    const auto opened = server->open(std::move(hooks));
    if (!opened) {
        return tl::unexpected(opened.error());
    }
    return server;
}

} // namespace reedramp::standin
