#include "administration.hpp"

#include <utility>

#include <boost/json.hpp>

#include "inventory/record.hpp"

namespace reedramp::entry_program {

namespace json = boost::json;

namespace {

auto totals_object(const billing::totals& sum) -> json::object
{
    return {
        {"requests", sum.requests},
        {"lines", sum.lines},
        {"prompt_tokens", sum.used.prompt_tokens.value()},
        {"completion_tokens", sum.used.completion_tokens.value()},
        {"cost_micro", sum.cost.value()}};
}

template <typename Id>
auto totals_by(const std::map<Id, billing::totals>& sums) -> json::object
{
    json::object made;
    for (const auto& [id, sum] : sums) {
        made[id.value()] = totals_object(sum);
    }
    return made;
}

auto outcome_object(const inventory::record_outcome& outcome) -> json::object
{
    json::array touched;
    for (const auto& entity : outcome.touched) {
        touched.emplace_back(inventory::to_string(entity));
    }
    return {
        {"offset", outcome.offset.value()},
        {"id", outcome.id.value()},
        {"author", outcome.author},
        {"at", outcome.at.value()},
        {"result", std::string(common::row_of(outcome.code).name)},
        {"why", outcome.why},
        {"touched", std::move(touched)}};
}

auto milliseconds_until(common::time_point until, common::time_point now) -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(until - now).count();
}

} // namespace

auto administration::hooks() -> entry::admin_hooks
{
    const auto self = this->shared_from_this();
    entry::admin_hooks made;
    made.publish = [self](const std::string& text, entry::text_response_hook done) {
        self->publish(text, std::move(done));
    };
    made.withdraw = [self](const common::version_id& version, const auto& done) {
        self->withdraw(version, done);
    };
    made.state = [self]() -> common::result<std::string> {
        return inventory::state_text(*self->deps.follower->snapshot());
    };
    made.history = [self]() -> common::result<std::string> {
        return self->history();
    };
    made.status = [self]() -> common::result<std::string> {
        return self->status();
    };
    made.bills = [self](entry::text_response_hook done) {
        self->read_bills(std::move(done));
    };
    return made;
}

auto administration::publish(const std::string& text, entry::text_response_hook done) -> void
{
    const auto record = inventory::parse_record(text);
    if (!record) {
        done(tl::unexpected(record.error()));
        return;
    }
    this->deps.publisher->publish(
        *record,
        this->deps.now() + this->deps.publish_timeout,
        [done = std::move(done)](const common::result<inventory::publication>& answer) {
            if (!answer) {
                done(tl::unexpected(answer.error()));
                return;
            }
            done(json::serialize(json::object{
                {"accepted", true},
                {"id", answer->id.value()},
                {"offset", answer->offset.value()}}));
        });
}

auto administration::withdraw(
    const common::version_id& version, const entry::text_response_hook& done) -> void
{
    const common::request_id random_id{this->deps.random(), this->deps.random()};
    const common::record_id record("withdraw-" + common::to_string(random_id));
    const auto taken = this->deps.follower->withdraw(version, record, "operator");
    if (!taken) {
        done(tl::unexpected(taken.error()));
        return;
    }
    done(json::serialize(json::object{{"withdrawn", version.value()}, {"id", record.value()}}));
}

auto administration::history() const -> std::string
{
    json::array records;
    json::array problems;
    const auto state = this->deps.follower->snapshot();
    for (const auto& outcome : state->recent) {
        records.push_back(outcome_object(outcome));
    }
    for (const auto& outcome : state->problems) {
        problems.push_back(outcome_object(outcome));
    }
    return json::serialize(json::object{
        {"offset", state->offset.value()},
        {"records", std::move(records)},
        {"problems", std::move(problems)}});
}

auto administration::status() const -> std::string
{
    const auto state = this->deps.follower->snapshot();
    const auto counters = this->deps.counters();
    json::object refusals;
    for (const auto& [code, count] : counters.refusals) {
        refusals[common::row_of(code).name] = count;
    }
    json::object versions;
    for (const auto& [version, count] : counters.versions) {
        versions[version.value()] = count;
    }
    json::array withdrawn;
    for (const auto& [version, offset] : state->withdrawn) {
        withdrawn.emplace_back(version.value());
    }
    for (const auto& version : state->withdrawn_early) {
        withdrawn.emplace_back(version.value());
    }
    const auto now = this->deps.now();
    return json::serialize(json::object{
        {"host", this->deps.self.value()},
        {"ready", this->deps.ready()},
        {"offset", state->offset.value()},
        {"current_for_ms", milliseconds_until(this->deps.follower->current_until(), now)},
        {"in_flight", counters.in_flight},
        {"answered", counters.answered},
        {"retries", counters.retries},
        {"continued_streams", counters.continued_streams},
        {"late_events", counters.late_events},
        {"refusals", std::move(refusals)},
        {"versions", std::move(versions)},
        {"withdrawn", std::move(withdrawn)}});
}

auto administration::bills_text() -> std::string
{
    const std::lock_guard guard(this->lock);
    billing::totals all;
    for (const auto& [id, sum] : this->ledger.by_organisation()) {
        all.requests += sum.requests;
        all.lines += sum.lines;
        all.cost = common::micro_money(all.cost.value() + sum.cost.value());
    }
    return json::serialize(json::object{
        {"offset", this->ledger.offset().value()},
        {"requests", all.requests},
        {"lines", all.lines},
        {"cost_micro", all.cost.value()},
        {"repeated", this->ledger.repeated()},
        {"malformed", this->ledger.malformed()},
        {"organisations", totals_by(this->ledger.by_organisation())},
        {"versions", totals_by(this->ledger.by_version())}});
}

auto administration::read_bills(entry::text_response_hook done) -> void
{
    common::log_offset after;
    {
        const std::lock_guard guard(this->lock);
        after = this->ledger.offset();
    }
    this->deps.log.read(
        platform::streams::bills,
        after,
        std::chrono::milliseconds(0),
        [self = this->shared_from_this(),
         done = std::move(done)](const common::result<platform::read_answer>& answer) {
            if (!answer) {
                done(tl::unexpected(answer.error()));
                return;
            }
            {
                const std::lock_guard guard(self->lock);
                for (const auto& record : answer->records) {
                    self->ledger.apply(record);
                }
            }
            const auto is_read =
                answer->records.empty() || answer->records.back().offset >= answer->head;
            if (is_read) {
                done(self->bills_text());
                return;
            }
            self->read_bills(done);
        });
}

} // namespace reedramp::entry_program
