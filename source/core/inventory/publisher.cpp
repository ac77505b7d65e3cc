#include "inventory/publisher.hpp"

#include <optional>
#include <utility>

namespace reedramp::inventory {

using common::execution;
using common::failure;
using common::result_code;

/// The publication of one record.
struct publisher::attempt {
    record item;
    common::time_point deadline;
    std::function<auto(common::result<publication> answer)->void> done;
    /// Offset of the record, once the log has returned it.
    std::optional<common::log_offset> appended_at;
    /// Whether a copy may have reached the log.
    bool may_be_in_log = false;
    /// When the response to the last append was lost.
    common::time_point lost_at;
};

publisher::publisher(
    publisher_hooks given, std::shared_ptr<follower> given_reader, publisher_settings wanted)
    : hooks(std::move(given)), reader(std::move(given_reader)), settings(wanted)
{
}

auto publisher::create(
    publisher_hooks hooks, std::shared_ptr<follower> reader, publisher_settings settings)
    -> std::shared_ptr<publisher>
{
    return std::shared_ptr<publisher>(new publisher(std::move(hooks), std::move(reader), settings));
}

auto publisher::publish(
    const record& item,
    common::time_point deadline,
    std::function<auto(common::result<publication> answer)->void> done) -> void
{
    auto made = std::make_shared<attempt>();
    made->item = item;
    made->deadline = deadline;
    made->done = std::move(done);
    if (!this->reader->ready()) {
        made->done(failure(result_code::not_ready, "no configuration has been loaded yet"));
        return;
    }
    if (this->finish_if_decided(*made)) {
        return;
    }
    const auto checked = check_record(*this->reader->snapshot(), item);
    if (!checked) {
        // The log can only be further ahead, so it would refuse the record too.
        made->done(tl::unexpected(checked.error()));
        return;
    }
    this->append(made);
}

auto publisher::append(const attempt_ptr& item) -> void
{
    auto done = [weak = this->weak_from_this(),
                 item](const common::result<common::log_offset>& answer) {
        if (const auto self = weak.lock()) {
            self->on_append(item, answer);
        }
    };
    this->hooks.log.append(
        platform::streams::configuration, format_record(item->item), std::move(done));
}

auto publisher::on_append(const attempt_ptr& item, const common::result<common::log_offset>& answer)
    -> void
{
    if (answer) {
        item->may_be_in_log = true;
        item->appended_at = *answer;
        this->reader->expect(*answer);
        this->schedule_check(item);
        return;
    }
    const auto is_refused = answer.error().run == execution::not_run;
    if (is_refused && !item->may_be_in_log) {
        item->done(tl::unexpected(answer.error()));
        return;
    }
    if (!is_refused) {
        item->may_be_in_log = true;
    }
    item->lost_at = this->hooks.clock();
    this->schedule_check(item);
}

auto publisher::schedule_check(const attempt_ptr& item) -> void
{
    const auto when = this->hooks.clock() + this->settings.check_period;
    this->hooks.timer(when, [weak = this->weak_from_this(), item] {
        if (const auto self = weak.lock()) {
            self->check(item);
        }
    });
}

auto publisher::check(const attempt_ptr& item) -> void
{
    if (this->finish_if_decided(*item)) {
        return;
    }
    if (this->hooks.clock() >= item->deadline) {
        const auto* where = item->appended_at ? "the record was appended but not read back yet"
                                              : "it is not known whether the log has the record";
        item->done(failure(result_code::append_unknown, where));
        return;
    }
    const auto is_lost = !item->appended_at;
    const auto evidence = this->reader->evidence_time();
    if (is_lost && evidence && *evidence > item->lost_at) {
        // The log was read after the loss and does not contain the record.
        this->append(item);
        return;
    }
    this->reader->refresh();
    this->schedule_check(item);
}

auto publisher::finish_if_decided(const attempt& item) -> bool
{
    const auto current = this->reader->snapshot();
    const auto* outcome = current->find_outcome(item.item.id);
    if (outcome == nullptr) {
        return false;
    }
    if (outcome->code != result_code::ok) {
        item.done(failure(outcome->code, outcome->why));
        return true;
    }
    item.done(publication{outcome->id, outcome->offset});
    return true;
}

} // namespace reedramp::inventory
