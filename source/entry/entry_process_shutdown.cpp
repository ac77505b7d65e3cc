#include <utility>

#include "common/log.hpp"
#include "daemon/clock.hpp"
#include "entry_process.hpp"

/// Graceful shutdown: first the callers' requests and connections, then the bills.
namespace reedramp::entry_program {

namespace {

constexpr common::duration check_period = std::chrono::milliseconds(50);
/// How long peers are asked to take over the bills, and the pause between two requests.
constexpr common::duration hand_over_timeout = std::chrono::seconds(30);
constexpr common::duration hand_over_pause = std::chrono::milliseconds(500);

} // namespace

auto entry_process::shut_down(std::function<auto(std::size_t aborted_count)->void> done) -> void
{
    common::log(common::log_part::entry, common::log_level::info, "graceful shutdown started");
    const auto now = daemon::boot_time();
    const auto limit = now + this->settings.shutdown_timeout;
    // Gives the load balancer time to see that this entry isn't ready before connections are
    // refused.
    this->threads.timers()(
        now + this->settings.shutdown_announce_time, [this] { this->http->close_listener(); });
    this->core->shut_down(limit, [this, limit, done = std::move(done)](std::size_t aborted_count) {
        this->wait_for_connections(
            limit, [this, aborted_count, done] { this->finish_shutdown(aborted_count, done); });
    });
}

/// Waits for open connections as well as requests, because a connection may carry another request
/// at any moment. The HTTP server closes each after its next response or a short idle time.
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
    std::size_t aborted_count, std::function<auto(std::size_t aborted_count)->void> done) -> void
{
    this->bills->flush();
    this->flush_bills(
        daemon::boot_time() + this->settings.bills_timeout, [this, aborted_count, done] {
            this->claim_arbiters->stop();
            this->threads.post([done, aborted_count] { done(aborted_count); });
        });
}

/// Waits until the log has confirmed all bills. From the limit on, asks one peer after another to
/// take over the remaining ones. A single call isn't enough: it may be lost, or reach a peer that
/// ends before it has appended the bills, and they would be lost.
auto entry_process::flush_bills(common::time_point limit, std::function<auto()->void> done) -> void
{
    const auto now = daemon::boot_time();
    if (this->bills->empty() || now >= limit + hand_over_timeout) {
        const auto left = this->bills->counters().pending_bills;
        if (left > 0) {
            common::log(
                common::log_part::bills,
                common::log_level::error,
                "no peer confirmed the remaining bills count=" + std::to_string(left));
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
    const auto items = this->bills->make_handover();
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
                std::string(answer ? "bills handed over" : "handover of bills failed") +
                    " count=" + std::to_string(items.bills.size()) + " to=" + host.value());
            done();
        });
}

} // namespace reedramp::entry_program
