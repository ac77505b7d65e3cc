#include "closed_loop.hpp"

#include <algorithm>
#include <charconv>
#include <chrono>
#include <cstdio>
#include <future>
#include <mutex>
#include <optional>
#include <string_view>
#include <utility>

namespace reedramp::bench {

namespace {

using steady = std::chrono::steady_clock;

constexpr std::uint16_t status_ok = 200;
constexpr std::string_view usage_key = "\"completion_tokens\":";
constexpr std::string_view stream_end = "data: [DONE]";
/// Bytes kept from the end of an answer; they contain the usage and the end marker of a stream.
constexpr std::size_t kept_tail = 2048;

/// Reads the number of completion tokens from the usage in an answer; empty if the answer is
/// incomplete.
auto parse_completion_tokens(std::string_view text, bool stream) -> std::optional<std::uint64_t>
{
    if (stream && text.find(stream_end) == std::string_view::npos) {
        return std::nullopt;
    }
    const auto at = text.rfind(usage_key);
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = text.substr(at + usage_key.size());
    std::uint64_t found = 0;
    const auto read = std::from_chars(digits.data(), digits.data() + digits.size(), found);
    return read.ec == std::errc{} ? std::optional(found) : std::nullopt;
}

/// Workers of one run; the shared counters are guarded by `lock`.
class closed_loop : public std::enable_shared_from_this<closed_loop> {
public:
    closed_loop(loop_settings settings, std::vector<std::shared_ptr<http::client>> given_clients)
        : wanted(std::move(settings)), clients(std::move(given_clients)),
          active_workers(this->wanted.workers)
    {
        this->result.targets.resize(this->wanted.targets.size());
    }

    auto run() -> loop_result
    {
        auto ended = this->finished.get_future();
        this->started_at = steady::now();
        for (std::size_t worker = 0; worker < this->wanted.workers; ++worker) {
            this->send_next(worker, worker);
        }
        ended.wait();
        const std::chrono::duration<double> took = steady::now() - this->started_at;
        this->result.seconds = took.count();
        return std::move(this->result);
    }

private:
    auto send_next(std::size_t worker, std::size_t turn) -> void
    {
        const auto all = this->wanted.requests + this->wanted.warm_up;
        std::size_t number = 0;
        {
            const std::lock_guard guard(this->lock);
            number = this->sent_count++;
            if (number == this->wanted.warm_up) {
                this->started_at = steady::now();
            }
            if (number >= all) {
                this->active_workers -= 1;
                if (this->active_workers == 0) {
                    this->finished.set_value();
                }
                return;
            }
        }
        this->send_chat(worker, turn, number);
    }

    auto send_chat(std::size_t worker, std::size_t turn, std::size_t number) -> void
    {
        const auto index = turn % this->wanted.targets.size();
        const auto tail = std::make_shared<std::string>();
        const auto sent = steady::now();
        http::call_events events;
        events.on_chunk = [tail](const std::string& chunk) {
            tail->append(chunk);
            if (tail->size() > 2 * kept_tail) {
                tail->erase(0, tail->size() - kept_tail);
            }
        };
        events.on_done = [self = this->shared_from_this(), worker, turn, number, index, tail, sent](
                             const common::result<http::response>& answer) {
            const std::chrono::duration<double, std::micro> took = steady::now() - sent;
            const auto good = answer && answer->status == status_ok;
            const auto tokens = good ? parse_completion_tokens(*tail, self->wanted.stream)
                                     : std::optional<std::uint64_t>{};
            if (!tokens) {
                self->print_first_failure(answer, *tail);
            }
            if (number >= self->wanted.warm_up) {
                self->count(index, took.count(), tokens);
            }
            self->send_next(worker, turn + 1);
        };
        this->clients[worker % this->clients.size()]->send(
            this->wanted.targets[index].where,
            this->make_chat_request(this->wanted.targets[index].model, number),
            std::move(events));
    }

    auto count(std::size_t index, double micros, std::optional<std::uint64_t> tokens) -> void
    {
        const std::lock_guard guard(this->lock);
        auto& target = this->result.targets[index];
        if (!tokens) {
            target.failed += 1;
            return;
        }
        target.micros.push_back(micros);
        target.tokens += *tokens;
    }

    /// Prints only the first failure, since all requests of a broken run usually fail the same way.
    auto print_first_failure(const common::result<http::response>& answer, const std::string& tail)
        -> void
    {
        const std::lock_guard guard(this->lock);
        if (std::exchange(this->has_printed_failure, true)) {
            return;
        }
        const auto why = answer ? "status " + std::to_string(answer->status) + " " + tail
                                : answer.error().detail;
        std::fprintf(stderr, "first failure: %s\n", why.c_str());
    }

    [[nodiscard]] auto make_chat_request(const std::string& model, std::size_t number) const
        -> http::request
    {
        http::request made;
        made.method = "POST";
        made.target = "/v1/chat/completions";
        made.headers = {
            {"Content-Type", "application/json"},
            {"Authorization", "Bearer " + this->wanted.api_key},
            {"Reedramp-Task", "bench"}};
        made.body =
            R"({"model":")" + model + R"(","stream":)" + (this->wanted.stream ? "true" : "false") +
            R"(,"stream_options":{"include_usage":true},"max_tokens":)" +
            std::to_string(this->wanted.tokens) +
            R"(,"messages":[{"role":"user","content":"tokens=)" +
            std::to_string(this->wanted.tokens) + " message " + std::to_string(number) + R"("}]})";
        return made;
    }

    loop_settings wanted;
    std::vector<std::shared_ptr<http::client>> clients;
    std::mutex lock;
    std::size_t sent_count = 0;
    std::size_t active_workers;
    steady::time_point started_at;
    loop_result result;
    bool has_printed_failure = false;
    std::promise<void> finished;
};

} // namespace

auto run_loop(
    const loop_settings& wanted, const std::vector<std::shared_ptr<http::client>>& clients)
    -> loop_result
{
    return std::make_shared<closed_loop>(wanted, clients)->run();
}

} // namespace reedramp::bench
