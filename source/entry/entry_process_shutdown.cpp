#include <utility>

#include "common/log.hpp"
#include "daemon/clock.hpp"
#include "entry_process.hpp"

/// The graceful shutdown: callers first, then bills.
namespace reedramp::entry_program {

namespace {

constexpr common::duration check_period = std::chrono::milliseconds(50);
/// How long peers are asked to take the bills over, and the pause between two of them.
constexpr common::duration hand_over_timeout = std::chrono::seconds(30);
constexpr common::duration hand_over_pause = std::chrono::milliseconds(500);

} // namespace

auto entry_process::shut_down(std::function<auto(std::size_t cut)->void> done) -> void
{
    common::log(common::log_part::entry, common::log_level::info, "leaving");
    const auto now = daemon::boot_time();
    const auto limit = now + this->settings.shutdown_timeout;
    // The balancer sees that this entry is not ready before connections are refused.
    this->threads.timers()(
        now + this->settings.shutdown_announce_time, [this] { this->http->close_listener(); });
    this->core->shut_down(limit, [this, limit, done = std::move(done)](std::size_t cut) {
        this->wait_for_connections(limit, [this, cut, done] { this->finish_shutdown(cut, done); });
    });
}

/// Open connections may bring a request at any moment, so they are waited for, too: the HTTP server
/// closes each after its next answer or a short silence.
auto entry_process::wait_for_connections(common::time_point limit, std::function<auto()->void> done)
    -> void
{
    const auto now = daemon::boot_time();
    const auto is_open = this->http->open_connections() > 0 || this->core->counters().in_flight > 0;
    const auto is_announced = now >= limit - this->settings.shutdown_timeout +
                                         this->settings.shutdown_announce_time + check_period;
    if (now >= limit || (!is_open && is_announced)) {
        done();
        return;
    }
    this->threads.timers()(now + check_period, [this, limit, done = std::move(done)] {
        this->wait_for_connections(limit, done);
    });
}

auto entry_process::finish_shutdown(
    std::size_t cut, std::function<auto(std::size_t cut)->void> done) -> void
{
    this->bills->flush();
    this->flush_bills(daemon::boot_time() + this->settings.bills_timeout, [this, cut, done] {
        this->claim_arbiters->stop();
        this->threads.post([done, cut] { done(cut); });
    });
}

/// Waits until the log has confirmed all bills; from the limit on asks one peer after the other to
/// take over what it has not. A single call may be lost, or reach a peer that has ended or ends
/// before it has written them, and the bills would be lost with it.
auto entry_process::flush_bills(common::time_point limit, std::function<auto()->void> done) -> void
{
    const auto now = daemon::boot_time();
    if (this->bills->empty() || now >= limit + hand_over_timeout) {
        const auto left = this->bills->counters().pending_bills;
        if (left > 0) {
            common::log(
                common::log_part::bills,
                common::log_level::error,
                "no peer took the bills count=" + std::to_string(left));
        }
        done();
        return;
    }
    const auto check_again_after = [this, limit, done = std::move(done)](common::duration pause) {
        this->threads.timers()(
            daemon::boot_time() + pause, [this, limit, done] { this->flush_bills(limit, done); });
    };
    if (now < limit) {
        check_again_after(check_period);
        return;
    }
    this->hand_over_bills([check_again_after] { check_again_after(hand_over_pause); });
}

auto entry_process::hand_over_bills(std::function<auto()->void> done) -> void
{
    const auto others = this->hosts->entries();
    if (others.empty()) {
        done();
        return;
    }
    const auto& to = others[daemon::random_bits() % others.size()];
    const auto items = this->bills->hand_over();
    this->peers->peers().hand_over(
        to.rpc,
        items,
        [this, items, host = to.host, done = std::move(done)](
            const common::result<messages::accepted>& answer) {
            if (answer) {
                this->bills->release(items);
            }
            common::log(
                common::log_part::bills,
                answer ? common::log_level::info : common::log_level::error,
                std::string(answer ? "handed over" : "not handed over") +
                    " count=" + std::to_string(items.bills.size()) + " to=" + host.value());
            done();
        });
}

} // namespace reedramp::entry_program
