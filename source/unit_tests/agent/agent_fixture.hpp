#pragma once

#include <atomic>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "agent/core.hpp"
#include "platform/fake_time.hpp"

/// One agent's core on a virtual clock, with a backend server controlled by the test.
namespace reedramp::agent::test {

using namespace std::chrono_literals;

struct fake_backend final : backend_handle {
    backend_call call;
    backend_events events;
    std::atomic<bool> cancelled = false;
    std::atomic<bool> paused = false;

    auto cancel() -> void override { this->cancelled = true; }

    auto pause() -> void override { this->paused = true; }

    auto resume() -> void override { this->paused = false; }

    auto head(const char* type, std::uint16_t status = 200) -> void
    {
        this->events.head({status, type});
    }

    auto token(const std::string& text) -> void
    {
        this->events.chunk(R"(data: {"choices":[{"delta":{"content":")" + text + "\"}}]}\n\n");
    }

    auto end_stream() -> void
    {
        this->events.chunk("data: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],"
                           "\"usage\":{\"prompt_tokens\":7,\"completion_tokens\":2}}\n\n"
                           "data: [DONE]\n\n");
        this->events.done({});
    }

    auto answer(const std::string& body, std::uint16_t status = 200) -> void
    {
        this->head("text/plain", status);
        this->events.chunk(body);
        this->events.done({});
    }

    auto fail(common::execution run) -> void
    {
        auto why = common::make_error(common::result_code::server_lost);
        why.run = run;
        this->events.done(tl::unexpected(why));
    }
};

/// Records the events of one run.
struct event_recorder {
    std::vector<messages::run_event> events;
    std::shared_ptr<messages::run_handle> handle;

    /// The final event if it is an `Event`; null if it is of another type or has not arrived.
    template <typename Event>
    [[nodiscard]] auto final_event() const -> const Event*
    {
        return this->events.empty() ? nullptr : std::get_if<Event>(&this->events.back());
    }

    [[nodiscard]] auto text() const -> std::string
    {
        std::string all;
        for (const auto& event : this->events) {
            if (const auto* tokens = std::get_if<messages::tokens_event>(&event)) {
                all += tokens->text;
            }
        }
        return all;
    }

    /// "refused version_withdrawn not_run", "finished", "failed server_lost unknown", "none".
    [[nodiscard]] auto outcome() const -> std::string;
};

inline auto describe(const char* what, const common::error& why) -> std::string
{
    return std::string(what) + " " + std::string(common::row_of(why.code).name) + " " +
           std::string(to_string(why.run));
}

inline auto event_recorder::outcome() const -> std::string
{
    if (const auto* refusal = this->final_event<messages::refused_event>()) {
        return describe("refused", refusal->why);
    }
    if (const auto* failure = this->final_event<messages::failed_event>()) {
        return describe("failed", failure->why);
    }
    return this->final_event<messages::finished_event>() != nullptr ? "finished" : "none";
}

inline const common::incarnation_id incarnation{41};
inline const common::log_offset newest_offset{10};

inline auto make_state() -> inventory::state
{
    inventory::state made;
    made.offset = newest_offset;
    const common::model_id drafting{"drafting"};
    made.models[drafting].id = drafting;
    inventory::backend_server here;
    here.id = common::server_id{"s1"};
    here.service = common::service_name{"invoices"};
    for (const auto* name : {"v1", "v2", "v3"}) {
        inventory::version version;
        version.id = common::version_id{name};
        version.model = drafting;
        version.sensitive = version.id.value() == "v2";
        made.versions[version.id] = version;
        if (version.id.value() != "v3") {
            here.versions.push_back(version.id);
        }
    }
    made.servers[here.id] = here;
    inventory::service invoices;
    invoices.name = here.service;
    invoices.idempotent_methods = {"GET"};
    made.services[invoices.name] = invoices;
    inventory::organisation owner;
    owner.id = common::organisation_id{"lofts"};
    owner.models = {drafting};
    owner.services = {invoices.name};
    made.organisations[owner.id] = owner;
    owner.id = common::organisation_id{"nobody"};
    owner.models.clear();
    owner.services.clear();
    made.organisations[owner.id] = owner;
    return made;
}

class core_fixture {
public:
    explicit core_fixture(core_options wanted = {})
    {
        wanted.server = common::server_id{"s1"};
        if (wanted.incarnation.value() == 0) {
            wanted.incarnation = incarnation;
        }
        core_hooks hooks;
        hooks.now = this->time.clock();
        hooks.timer = this->time.timers();
        hooks.post = [this](std::function<auto()->void> action) {
            this->time.at(this->time.now(), std::move(action));
        };
        hooks.start = [this](backend_call call, backend_events events) {
            auto handle = std::make_shared<fake_backend>();
            handle->call = std::move(call);
            handle->events = std::move(events);
            this->backends.push_back(handle);
            return handle;
        };
        hooks.snapshot = [this] {
            return this->current;
        };
        hooks.current_until = [this] {
            return this->current_until;
        };
        hooks.fetch_configuration = [this](common::log_offset wanted_offset) {
            this->requested_offset = wanted_offset;
        };
        hooks.report_usage = [this](const usage_report& report) {
            this->usage.push_back(report);
        };
        this->core = core::create(wanted, hooks);
        this->service = this->core->service();
    }

    /// Ends all runs, so that calls and event sinks release each other.
    ~core_fixture()
    {
        this->core->drain();
        this->core->fail_all_runs();
        this->time.run_due();
    }

    core_fixture(const core_fixture&) = delete;
    auto operator=(const core_fixture&) -> core_fixture& = delete;

    static auto chat_request(std::uint64_t id, std::uint32_t attempt = 1) -> messages::run_request
    {
        messages::run_request made;
        made.key = {{1, id}, common::attempt_number{attempt}, incarnation};
        made.organisation = common::organisation_id{"lofts"};
        made.model = common::model_id{"drafting"};
        made.version = common::version_id{"v1"};
        made.time_left = 30s;
        made.configuration = newest_offset;
        made.stream = true;
        made.body = R"({"messages":[]})";
        return made;
    }

    /// Call of a method that must run at most once.
    static auto invoice_request(std::uint64_t id, std::uint32_t attempt = 1)
        -> messages::run_request
    {
        auto made = chat_request(id, attempt);
        made.kind = messages::work_kind::service;
        made.repeat = messages::repeat_rule::at_most_once;
        made.model = {};
        made.version = {};
        made.service = common::service_name{"invoices"};
        made.stream = false;
        made.method = "POST";
        made.path = "/notes";
        return made;
    }

    auto run(messages::run_request request) -> std::shared_ptr<event_recorder>
    {
        auto recorder = std::make_shared<event_recorder>();
        recorder->handle =
            this->service.run(std::move(request), [recorder](messages::run_event event) {
                recorder->events.push_back(std::move(event));
            });
        this->time.run_due();
        return recorder;
    }

    auto query_outcome(const messages::run_key& key, bool refuse_if_unknown = true)
        -> messages::outcome_answer
    {
        messages::outcome_answer result;
        this->service.ask({key, refuse_if_unknown}, [&result](auto answer) {
            result = std::move(answer.value());
        });
        return result;
    }

    auto probe(const char* version) -> messages::probe_answer
    {
        messages::probe_answer result;
        this->service.probe(
            {common::version_id{version}, 0}, [&result](auto answer) { result = answer.value(); });
        return result;
    }

    /// Applies a changed configuration.
    template <typename Change>
    auto configure(Change change) -> void
    {
        auto next = std::make_shared<inventory::state>(*this->current);
        next->offset = common::log_offset{next->offset.value() + 1};
        change(*next);
        this->current = next;
        this->core->configuration_changed();
        this->time.run_due();
    }

    platform::fake_time time{common::time_point{1h}};
    std::vector<std::shared_ptr<fake_backend>> backends;
    std::vector<usage_report> usage;
    inventory::snapshot_ptr current = std::make_shared<const inventory::state>(make_state());
    common::time_point current_until = common::never;
    common::log_offset requested_offset;
    std::shared_ptr<agent::core> core;
    messages::agent_service service;
};

inline auto withdraw(inventory::state& state, const char* version) -> void
{
    state.withdrawn[common::version_id{version}] = state.offset;
}

/// Options with one slot, so that a second request is queued.
inline auto one_slot() -> core_options
{
    core_options options;
    options.queue.capacity.slots = 1;
    options.queue.expected_stream_rate = 100.0;
    return options;
}

} // namespace reedramp::agent::test
