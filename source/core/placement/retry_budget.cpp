#include "placement/retry_budget.hpp"

#include <algorithm>
#include <utility>

namespace reedramp::placement {

namespace {

/// Part of the ratio that first attempts earn. With what was earned in the time before it, a window
/// has 1.2 times that; the rest is for traffic that is uneven.
constexpr double earned_part = 0.78;
/// Part of the ratio that servers may receive within a window. The rest is for rates that are known
/// from requests which were read late.
constexpr double received_part = 0.9;
/// Time over which the rate is taken at which first attempts earn, in windows.
constexpr double rate_memory = 3.0;
/// Time for which an earned retry may be used, as a part of the window.
constexpr double earned_lifetime = 0.2;
/// Parts of the extra retries that accrue in a window, and that may be saved from before it. The
/// rest is for entries that others do not know yet.
constexpr double accrued_part = 0.4;
constexpr double saved_part = 0.4;
/// Parts of the recently earned retries, and of a full share, that optional ones leave. When all
/// callers of a killed entry returned at once, larger models used up the budget, and streams that
/// stalled then could not be resumed elsewhere.
constexpr double reserved_earned_part = 0.2;
constexpr double reserved_share_part = 0.5;

auto smoother_settings(common::duration window) -> arrival_smoother_settings
{
    return {
        std::chrono::duration_cast<common::duration>(window * rate_memory),
        std::chrono::duration_cast<common::duration>(window * earned_lifetime)};
}

} // namespace

retry_budget::retry_budget(retry_budget_settings initial, retry_budget_hooks hooks_to_use)
    : settings(initial), hooks(std::move(hooks_to_use)),
      arrivals(smoother_settings(initial.window)), in_window(initial.window),
      accrued_until(this->hooks.clock())
{
    // A process that has just started may not know the other entries yet, and would take the whole
    // extra for itself.
    if (this->hooks.entries) {
        this->accrued_until += this->settings.window;
    }
}

auto retry_budget::update_settings(retry_budget_settings changed) -> void
{
    const auto values = this->read_hooks();
    const std::lock_guard guard(this->lock);
    this->refresh(values);
    if (changed.window != this->settings.window) {
        this->slots = {}; // Their numbers depend on the window.
        this->arrivals = arrival_smoother{smoother_settings(changed.window)};
        this->in_window = retry_window{changed.window};
    }
    this->settings = changed;
    this->shared = std::min(this->shared, this->max_share());
}

auto retry_budget::slot_number(common::time_point now) const -> std::int64_t
{
    const auto lifetime =
        std::chrono::duration_cast<common::duration>(this->settings.window * earned_lifetime);
    const auto length = lifetime / static_cast<std::int64_t>(slot_count);
    return now.time_since_epoch() / std::max(length, common::duration{1});
}

auto retry_budget::drop_expired(std::int64_t current_slot) -> void
{
    for (auto& one : this->slots) {
        if (one.number <= current_slot - static_cast<std::int64_t>(slot_count)) {
            one = {};
        }
    }
}

auto retry_budget::read_hooks() const -> hook_values
{
    return {this->hooks.clock(), this->hooks.entries ? this->hooks.entries() : 1};
}

auto retry_budget::max_share() const -> double
{
    return this->settings.extra * saved_part / static_cast<double>(this->max_entries);
}

auto retry_budget::accrue_share(common::time_point now) -> void
{
    if (now > this->accrued_until) {
        const auto windows = std::chrono::duration<double>(now - this->accrued_until) /
                             std::chrono::duration<double>(this->settings.window);
        this->shared +=
            windows * this->settings.extra * accrued_part / static_cast<double>(this->max_entries);
        this->accrued_until = now;
    }
    this->shared = std::min(this->shared, this->max_share());
}

auto retry_budget::refresh(const hook_values& values) -> void
{
    // An entry that others no longer hear may still serve callers, so that the number never falls.
    this->max_entries = std::max(this->max_entries, values.entries);
    this->accrue_share(values.now);
    this->drop_expired(this->slot_number(values.now));
}

auto retry_budget::record_first_attempt() -> void
{
    const auto now = this->hooks.clock();
    const std::lock_guard guard(this->lock);
    const auto number = this->slot_number(now);
    this->drop_expired(number);
    auto& slot = this->slots[static_cast<std::size_t>(number) % slot_count];
    const auto earned = this->settings.ratio * earned_part * this->arrivals.record(now);
    slot.number = number;
    slot.earned += earned;
    slot.left += earned;
    this->first_attempts += 1;
}

auto retry_budget::earned_left() const -> double
{
    double left = 0.0;
    for (const auto& one : this->slots) {
        left += one.left;
    }
    return left;
}

auto retry_budget::earned_lately() const -> double
{
    double earned = 0.0;
    for (const auto& one : this->slots) {
        earned += one.earned;
    }
    return earned;
}

auto retry_budget::usable_for(retry_need need) const -> double
{
    const auto earned = this->earned_left();
    if (need == retry_need::required) {
        return earned + this->shared;
    }
    const auto reserved = reserved_earned_part * this->earned_lately();
    const auto reserved_share = reserved_share_part * this->max_share();
    return std::max(0.0, earned - reserved) + std::max(0.0, this->shared - reserved_share);
}

auto retry_budget::window_limit(common::time_point now) -> double
{
    const auto window_s = std::chrono::duration<double>(this->settings.window).count();
    // The last window alone has too many requests where the backlog of a stop has been read in it
    // and the stop is over; the mean rate has too many of a process that has just started.
    const auto first = std::min(
        this->arrivals.per_second(now) * window_s,
        static_cast<double>(this->arrivals.count_within(now, this->settings.window)));
    const auto share =
        this->settings.extra * (accrued_part + saved_part) / static_cast<double>(this->max_entries);
    return received_part * this->settings.ratio * first + share;
}

auto retry_budget::receivable(common::time_point now) -> double
{
    // Retries are counted whole, so the limit is rounded: over many processes, that evens out.
    constexpr double rounding = 0.5;
    const auto counted = static_cast<double>(this->in_window.count(now));
    return this->window_limit(now) + rounding - counted;
}

auto retry_budget::use(double retries) -> void
{
    // The oldest first, as they expire first.
    std::array<earned_slot*, slot_count> by_age{};
    std::ranges::transform(this->slots, by_age.begin(), [](auto& one) { return &one; });
    std::ranges::sort(by_age, {}, [](const auto* one) { return one->number; });
    for (auto* one : by_age) {
        const auto used = std::min(one->left, retries);
        one->left -= used;
        retries -= used;
    }
    this->shared = std::max(0.0, this->shared - retries);
}

auto retry_budget::try_acquire_retry(retry_need need, common::time_point latest_arrival)
    -> std::optional<retry_permit>
{
    const auto values = this->read_hooks();
    const auto draw = common::random_unit(this->hooks.random);
    const std::lock_guard guard(this->lock);
    this->refresh(values);
    const auto usable = std::min(this->usable_for(need), this->receivable(values.now));
    if (usable <= 0.0) {
        return std::nullopt;
    }
    // Less than a whole retry is used up for a chance of that size. Otherwise a process with few
    // requests, whose parts of a retry expire one by one, could never send one again.
    const bool is_granted = usable >= 1.0 || draw < usable;
    this->use(std::min(usable, 1.0));
    if (!is_granted) {
        return std::nullopt;
    }
    const retry_permit permit{std::max(latest_arrival, values.now)};
    this->in_window.add(permit.latest_arrival);
    this->granted += 1;
    return permit;
}

auto retry_budget::note_arrived(const retry_permit& permit) -> void
{
    const auto now = this->hooks.clock();
    const std::lock_guard guard(this->lock);
    this->in_window.move(permit.latest_arrival, std::min(now, permit.latest_arrival));
}

auto retry_budget::state() -> retry_budget_state
{
    const auto values = this->read_hooks();
    const std::lock_guard guard(this->lock);
    this->refresh(values);
    return {
        .first_attempts = this->first_attempts,
        .granted = this->granted,
        .earned = this->earned_left(),
        .shared = this->shared,
        .entries = this->max_entries,
        .in_window = this->in_window.count(values.now),
        .window_limit = this->window_limit(values.now)};
}

} // namespace reedramp::placement
