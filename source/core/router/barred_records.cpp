#include "router/barred_records.hpp"

#include <algorithm>
#include <utility>

#include "common/log.hpp"

namespace reedramp::router {

namespace {

/// Delay between the attempts of two entries: time for a write and for the report that it is done.
constexpr std::chrono::milliseconds rank_delay{600};
/// Pause after a failed call.
constexpr std::chrono::milliseconds pause{500};

auto log_record(const std::string& what, routing::request_fingerprint fingerprint, bool is_done)
    -> void
{
    common::log(
        common::log_part::place,
        is_done ? common::log_level::info : common::log_level::warning,
        "barred record " + what + " print=" + to_string(fingerprint) +
            " ok=" + (is_done ? "yes" : "no"));
}

} // namespace

barred_records::barred_records(
    std::shared_ptr<router_core> core_to_ask,
    shared_store store_to_write,
    std::function<auto()->std::size_t> rank_of_this)
    : core(std::move(core_to_ask)), store(std::move(store_to_write)), rank(std::move(rank_of_this))
{
}

auto barred_records::unix_ms() const -> std::uint64_t
{
    return this->core->hooks.unix_ms ? this->core->hooks.unix_ms() : 0;
}

auto barred_records::tick() -> void
{
    const auto now = this->core->hooks.clock();
    const auto due = this->core->crashes.unrecorded(now);
    if (!due || this->is_busy || now < this->next_try) {
        return;
    }
    if (due->age >= rank_delay * static_cast<int>(this->rank())) {
        this->write_record(*due);
    }
}

auto barred_records::write_record(const routing::barred_report& one) -> void
{
    this->is_busy = true;
    const auto age = static_cast<std::uint64_t>(one.age.count());
    const auto now = this->unix_ms();
    this->store.write_barred(
        {one.fingerprint, now - std::min(age, now), one.what},
        [self = this->shared_from_this(),
         fingerprint = one.fingerprint](const common::result<stream_position>& written) {
            self->is_busy = false;
            log_record("written", fingerprint, written.has_value());
            if (written) {
                self->core->crashes.note_recorded(fingerprint);
                return;
            }
            // The write may have been done; writing it twice changes nothing.
            self->next_try = self->core->hooks.clock() + pause;
        });
}

auto barred_records::apply_stored(const std::vector<barred_record>& all) -> void
{
    const auto today = this->unix_ms();
    for (const auto& one : all) {
        const std::chrono::milliseconds age{
            static_cast<std::int64_t>(today - std::min(one.unix_ms, today))};
        this->core->apply_barred_report({one.fingerprint, age, age, true, one.what}, "store");
        if (!this->core->crashes.is_barred(one.fingerprint) && this->rank() == 0) {
            this->drop_record(one);
        }
    }
}

auto barred_records::drop_record(const barred_record& one) -> void
{
    this->store.drop_barred(one.fingerprint, [fingerprint = one.fingerprint](const auto& dropped) {
        log_record("dropped", fingerprint, dropped.has_value());
    });
}

} // namespace reedramp::router
