#include "caller.hpp"

#include <algorithm>
#include <future>
#include <span>

#include "operators/answers.hpp"
#include "operators/requests.hpp"
#include "platform/http_hosts.hpp"

namespace reedramp::ctl {

namespace {

constexpr std::chrono::milliseconds publish_silence{20'000};
constexpr std::chrono::milliseconds quick_silence{2'000};
/// Two thousand connections at once would pass the usual limit of open files.
constexpr std::size_t most_under_way = 256;
constexpr std::size_t state_limit_bytes = 256UL << 20U;

using answer_future = std::future<common::result<http::response>>;

auto start(
    const std::shared_ptr<http::client>& by, const http::endpoint& where, http::request asked)
    -> answer_future
{
    const auto promise = std::make_shared<std::promise<common::result<http::response>>>();
    http::call_events events;
    events.on_done = [promise](common::result<http::response> answer) {
        promise->set_value(std::move(answer));
    };
    by->send(where, std::move(asked), std::move(events));
    return promise->get_future();
}

auto make_client(daemon::io_pool& pool, std::chrono::milliseconds silence)
    -> std::shared_ptr<http::client>
{
    http::client_options wanted;
    wanted.idle_connections = 0;
    wanted.idle_timeout = silence;
    wanted.body_limit_bytes = state_limit_bytes;
    return http::client::create(pool.next_context(), wanted);
}

} // namespace

caller::caller(std::string operator_key)
    : key(std::move(operator_key)), pool(1), patient(make_client(this->pool, publish_silence)),
      quick(make_client(this->pool, quick_silence))
{
    this->pool.start();
}

caller::~caller()
{
    this->pool.stop();
}

auto caller::send(
    const std::shared_ptr<http::client>& by, const http::endpoint& where, http::request asked)
    -> common::result<std::string>
{
    auto answer = operators::body_of(start(by, where, std::move(asked)).get());
    if (!answer && answer.error().code == common::result_code::peer_unavailable) {
        answer.error().detail = http::to_string(where) + ": " + answer.error().detail;
    }
    return answer;
}

auto caller::ask(const http::endpoint& where, http::request asked) -> common::result<std::string>
{
    return this->send(this->patient, where, operators::with_key(std::move(asked), this->key));
}

auto caller::answers_of(const std::vector<addressed_request>& questions)
    -> std::vector<common::result<http::response>>
{
    std::vector<common::result<http::response>> made;
    made.reserve(questions.size());
    while (made.size() < questions.size()) {
        const auto count = std::min(most_under_way, questions.size() - made.size());
        std::vector<answer_future> under_way;
        for (const auto& [where, asked] : std::span(questions).subspan(made.size(), count)) {
            under_way.push_back(start(this->quick, where, asked));
        }
        for (auto& future : under_way) {
            made.push_back(future.get());
        }
    }
    return made;
}

auto caller::ask_all(std::vector<addressed_request> questions, bool with_key)
    -> std::vector<common::result<std::string>>
{
    if (with_key) {
        for (auto& question : questions) {
            question.asked = operators::with_key(std::move(question.asked), this->key);
        }
    }
    std::vector<common::result<std::string>> made;
    made.reserve(questions.size());
    for (const auto& answer : this->answers_of(questions)) {
        made.push_back(operators::body_of(answer));
    }
    return made;
}

auto caller::ask_any(const std::vector<http::endpoint>& entries, const http::request& asked)
    -> common::result<std::string>
{
    auto answer = common::result<std::string>(
        common::failure(common::result_code::peer_unavailable, "no entry is known"));
    for (const auto& where : entries) {
        answer = this->ask(where, asked);
        if (answer || !operators::may_ask_next(answer.error())) {
            return answer;
        }
    }
    return answer;
}

auto caller::hosts(const http::endpoint& where) -> common::result<std::vector<platform::host_entry>>
{
    http::request asked;
    asked.method = "GET";
    asked.target = "/hosts";
    const auto body = this->send(this->quick, where, std::move(asked));
    if (!body) {
        return common::failure(
            common::result_code::platform_unavailable, "host list " + body.error().detail);
    }
    return platform::parse_hosts(*body);
}

auto entries_of(caller& by, const options& given) -> common::result<std::vector<http::endpoint>>
{
    auto made = given.entries;
    if (!given.hosts) {
        return made;
    }
    const auto rows = by.hosts(*given.hosts);
    if (!rows) {
        if (made.empty()) {
            return tl::unexpected(rows.error());
        }
        return made;
    }
    for (const auto& row : *rows) {
        const auto is_live_entry =
            row.role == platform::host_role::entry && row.state == platform::host_state::live;
        const auto where = http::parse_endpoint(row.http);
        if (is_live_entry && where && std::ranges::find(made, *where) == made.end()) {
            made.push_back(*where);
        }
    }
    return made;
}

} // namespace reedramp::ctl
