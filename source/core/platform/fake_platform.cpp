#include "platform/fake_platform.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace reedramp::platform {

using common::failure;
using common::result_code;

namespace {

constexpr std::size_t page_limit = 1000;

} // namespace

fake_hosts::fake_hosts(common::clock_hook initial_clock, common::timer_hook initial_timers)
    : clock(std::move(initial_clock)), timers(std::move(initial_timers))
{
}

auto fake_hosts::hooks() -> host_hooks
{
    host_hooks result;
    result.list = [this](answer_hook<std::vector<host_entry>> done) {
        this->timers(this->clock(), [this, done = std::move(done)] {
            if (this->down) {
                done(failure(result_code::platform_unavailable, "the list of hosts is down"));
                return;
            }
            done(this->visible());
        });
    };
    return result;
}

auto fake_hosts::put(host_entry entry) -> void
{
    this->apply_delayed(
        [this, entry = std::move(entry)] { this->entries.insert_or_assign(entry.host, entry); });
}

auto fake_hosts::remove(const common::host_id& host) -> void
{
    this->apply_delayed([this, host] { this->entries.erase(host); });
}

auto fake_hosts::visible() const -> std::vector<host_entry>
{
    std::vector<host_entry> rows;
    rows.reserve(this->entries.size());
    for (const auto& [host, entry] : this->entries) {
        rows.push_back(entry);
    }
    return rows;
}

auto fake_hosts::apply_delayed(std::function<auto()->void> change) -> void
{
    if (this->lag == common::duration::zero()) {
        change();
        return;
    }
    this->timers(this->clock() + this->lag, std::move(change));
}

fake_ratings::fake_ratings(
    common::clock_hook initial_clock, common::timer_hook initial_timers, score_hook initial_score)
    : clock(std::move(initial_clock)), timers(std::move(initial_timers)),
      score(std::move(initial_score))
{
}

auto fake_ratings::hooks() -> rating_hooks
{
    rating_hooks result;
    result.submit = [this](common::request_id request, std::string question, std::string answer) {
        this->submit({request, std::move(question), std::move(answer)});
    };
    result.fetch = [this](std::uint64_t since, answer_hook<rating_page> done) {
        this->timers(this->clock(), [this, since, done = std::move(done)] {
            if (this->down) {
                done(failure(result_code::platform_unavailable, "the rating service is down"));
                return;
            }
            done(this->page_after(since));
        });
    };
    return result;
}

auto fake_ratings::submit(rated_answer submitted_answer) -> void
{
    if (this->down) {
        return;
    }
    ++this->submitted;
    const auto score_value = this->score(submitted_answer);
    if (!score_value) {
        return;
    }
    const rating delayed_rating{submitted_answer.request, std::clamp(*score_value, 0.0, 1.0)};
    this->timers(this->clock() + this->delay, [this, delayed_rating] {
        this->ratings.push_back(delayed_rating);
    });
}

auto fake_ratings::page_after(std::uint64_t since) const -> rating_page
{
    const auto first = std::min<std::size_t>(since, this->ratings.size());
    const auto count = std::min(this->ratings.size() - first, page_limit);
    const auto begin = this->ratings.begin() + static_cast<std::ptrdiff_t>(first);
    rating_page page;
    page.ratings.assign(begin, begin + static_cast<std::ptrdiff_t>(count));
    page.next = first + count;
    return page;
}

} // namespace reedramp::platform
