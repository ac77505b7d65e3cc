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
    const std::shared_ptr<http::client>& by, const http::endpoint& where, http::request request)
    -> answer_future
{
    const auto promise = std::make_shared<std::promise<common::result<http::response>>>();
    http::call_events events;
    events.on_done = [promise](common::result<http::response> answer) {
        promise->set_value(std::move(answer));
    };
    by->send(where, std::move(request), std::move(events));
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
    const std::shared_ptr<http::client>& by, const http::endpoint& where, http::request request)
    -> common::result<std::string>
{
    auto answer = operators::response_body(start(by, where, std::move(request)).get());
    if (!answer && answer.error().code == common::result_code::peer_unavailable) {
        answer.error().detail = http::to_string(where) + ": " + answer.error().detail;
    }
    return answer;
}

auto caller::ask(const http::endpoint& where, http::request request) -> common::result<std::string>
{
    return this->send(this->patient, where, operators::with_key(std::move(request), this->key));
}

auto caller::answers_of(const std::vector<addressed_request>& questions)
    -> std::vector<common::result<http::response>>
{
    std::vector<common::result<http::response>> result;
    result.reserve(questions.size());
    while (result.size() < questions.size()) {
        const auto count = std::min(most_under_way, questions.size() - result.size());
        std::vector<answer_future> under_way;
        for (const auto& [where, request] : std::span(questions).subspan(result.size(), count)) {
            under_way.push_back(start(this->quick, where, request));
        }
        for (auto& future : under_way) {
            result.push_back(future.get());
        }
    }
    return result;
}

auto caller::ask_all(std::vector<addressed_request> questions, bool with_key)
    -> std::vector<common::result<std::string>>
{
    if (with_key) {
        for (auto& question : questions) {
            question.request = operators::with_key(std::move(question.request), this->key);
        }
    }
    std::vector<common::result<std::string>> result;
    result.reserve(questions.size());
    for (const auto& answer : this->answers_of(questions)) {
        result.push_back(operators::response_body(answer));
    }
    return result;
}

auto caller::ask_any(const std::vector<http::endpoint>& entries, const http::request& request)
    -> common::result<std::string>
{
    auto answer = common::result<std::string>(
        common::failure(common::result_code::peer_unavailable, "no entry is known"));
    for (const auto& where : entries) {
        answer = this->ask(where, request);
        if (answer || !operators::should_try_next_entry(answer.error())) {
            return answer;
        }
    }
    return answer;
}

auto caller::hosts(const http::endpoint& where) -> common::result<std::vector<platform::host_entry>>
{
    http::request request;
    request.method = "GET";
    request.target = "/hosts";
    const auto body = this->send(this->quick, where, std::move(request));
    if (!body) {
        return common::failure(
            common::result_code::platform_unavailable, "host list " + body.error().detail);
    }
    return platform::parse_hosts(*body);
}

auto entries_of(caller& by, const options& given) -> common::result<std::vector<http::endpoint>>
{
    auto result = given.entries;
    if (!given.hosts) {
        return result;
    }
    const auto rows = by.hosts(*given.hosts);
    if (!rows) {
        if (result.empty()) {
            return tl::unexpected(rows.error());
        }
        return result;
    }
    for (const auto& row : *rows) {
        const auto is_live_entry =
            row.role == platform::host_role::entry && row.state == platform::host_state::live;
        const auto where = http::parse_endpoint(row.http);
        if (is_live_entry && where && std::ranges::find(result, *where) == result.end()) {
            result.push_back(*where);
        }
    }
    return result;
}

} // namespace reedramp::ctl
