#include <utility>

#include <boost/json.hpp>

#include "agent/registration.hpp"
#include "fleet.hpp"

/// The simulated agents of a fleet and their backend servers.
namespace reedramp::whole_path {

namespace json = boost::json;

namespace {

constexpr common::duration agent_tick = 100ms;
constexpr common::duration token_time = 40ms;
constexpr common::duration work_time = 60ms;
constexpr std::uint32_t answer_tokens = 4;

auto token_text(const std::string& mark, const std::string& version, std::uint64_t index)
    -> std::string
{
    return mark + "." + version + "." + std::to_string(index) + " ";
}

struct engine_request {
    std::string version;
    std::string mark;
    std::uint64_t first_token = 0;
};

auto parse_engine_request(const std::string& body) -> engine_request
{
    const auto value = json::parse(body);
    engine_request parsed;
    parsed.version = std::string(value.at("model").as_string());
    parsed.mark = std::string(value.at("messages").as_array().at(0).at("content").as_string());
    if (const auto* from = value.as_object().if_contains("resume_after_tokens")) {
        parsed.first_token = from->to_number<std::uint64_t>();
    }
    return parsed;
}

using ask_hook = decltype(messages::agent_service::ask);

auto refuse_without_record(ask_hook ask) -> ask_hook
{
    return [ask = std::move(ask)](messages::outcome_query query, const auto& done) {
        query.refuse_if_unknown = false;
        ask(query, [done](common::result<messages::outcome_answer> answer) {
            if (answer && answer->state == messages::outcome_state::unknown) {
                answer->state = messages::outcome_state::refused;
            }
            done(answer);
        });
    };
}

} // namespace

auto fleet::answer_text(const std::string& mark, const std::string& version) -> std::string
{
    std::string text;
    for (std::uint32_t index = 0; index < answer_tokens; ++index) {
        text += token_text(mark, version, index);
    }
    return text;
}

auto fleet::start_agent(const std::string& server) -> void
{
    auto node = std::make_shared<agent_node>();
    node->server = common::server_id(server);
    node->host = common::host_id("h-" + server);
    node->address = messages::rpc_address(server);
    node->process = std::make_shared<simulated_process>(this->time);
    node->hosts = std::make_shared<membership::host_watcher>(
        membership::location{node->host, common::data_centre_id(data_centre), {}},
        std::size_t{2},
        membership::host_watcher_hooks{
            this->make_host_hooks(node->process), this->time.clock(), node->process->timers()},
        std::make_shared<membership::view>());
    auto hooks = this->make_follower_hooks(node->process);
    hooks.peers = [watch = node->hosts] {
        return watch->peers();
    };
    hooks.tailers = [watch = node->hosts] {
        return watch->tailers();
    };
    hooks.is_tailer = [watch = node->hosts] {
        return watch->is_tailer();
    };
    hooks.changed = [at = node.get()](const auto&) {
        if (at->core) {
            at->core->configuration_changed();
        }
    };
    node->follower = inventory::follower::create(std::move(hooks), {});
    node->hosts->start();
    node->follower->start();
    this->list_agent_host(*node, platform::host_state::live);
    this->replaced_agents.push_back(std::exchange(this->agents[server], node));
    agent::register_agent(
        {this->make_log_hooks(node->process),
         node->process->timers(),
         this->time.clock(),
         this->random},
        {node->server, node->host, server, {}},
        this->time.now() + 1s,
        [this, at = node.get()](common::incarnation_id incarnation) {
            this->serve_agent(*at, incarnation);
        });
}

auto fleet::serve_agent(agent_node& node, common::incarnation_id incarnation) -> void
{
    const auto& server = node.server.value();
    const auto is_known = this->last_incarnation.contains(server);
    if (this->fault == mutation::reused_incarnation && is_known) {
        incarnation = this->last_incarnation.at(server);
    }
    this->last_incarnation[server] = incarnation;
    node.incarnation = incarnation;
    agent::core_options options;
    options.server = node.server;
    options.incarnation = incarnation;
    options.queue.capacity.slots = 2;
    agent::core_hooks hooks;
    hooks.now = this->time.clock();
    hooks.timer = node.process->timers();
    hooks.post = [process = node.process](auto action) {
        process->post(std::move(action));
    };
    hooks.start = [this, &node](const agent::backend_call& call, agent::backend_events events) {
        return this->start_work(node, call, std::move(events));
    };
    hooks.snapshot = [this, &node] {
        return this->snapshot_for(node);
    };
    hooks.current_until = [follower = node.follower] {
        return follower->current_until();
    };
    hooks.fetch_configuration = [follower = node.follower](common::log_offset wanted) {
        follower->expect(wanted);
    };
    node.core = agent::core::create(options, std::move(hooks));
    auto new_endpoint = std::make_shared<endpoint>();
    new_endpoint->owner = node.process;
    new_endpoint->agent = node.core->service();
    if (this->fault == mutation::unrecorded_refusal) {
        new_endpoint->agent.ask = refuse_without_record(new_endpoint->agent.ask);
    }
    new_endpoint->peer.pull = [follower = node.follower](const auto& pull, const auto& done) {
        done(follower->answer(pull));
    };
    this->net.open(node.address, std::move(new_endpoint));
    this->tick_agent(node);
}

auto fleet::tick_agent(agent_node& node) -> void
{
    node.process->at(this->time.now() + agent_tick, [this, &node] {
        node.core->tick();
        this->tick_agent(node);
    });
}

auto fleet::snapshot_for(const agent_node& node) -> inventory::snapshot_ptr
{
    auto current = this->apply_mutation(node.follower->snapshot());
    if (this->fault != mutation::stale_configuration || !node.follower->ready()) {
        return current;
    }
    const auto& first = this->first_snapshots.emplace(node.server.value(), current).first->second;
    auto old = std::make_shared<inventory::state>(*first);
    old->offset = current->offset;
    return old;
}

auto fleet::kill_agent(const std::string& server) -> void
{
    const auto node = this->agents.at(server);
    node->process->kill();
    this->net.close(node->address);
}

auto fleet::drain_agent(const std::string& server) -> void
{
    const auto node = this->agents.at(server);
    this->list_agent_host(*node, platform::host_state::leaving);
    node->drained_at = this->time.now();
    if (node->core && this->fault != mutation::ignored_drain) {
        node->core->drain();
    }
}

auto fleet::start_work(
    const agent_node& node, const agent::backend_call& call, agent::backend_events events)
    -> std::shared_ptr<agent::backend_handle>
{
    auto work = std::make_shared<agent::test::fake_backend>();
    work->call = call;
    work->events = std::move(events);
    work_start item{node.server, node.incarnation, call.request, {}, call.body, this->time.now()};
    const auto is_chat = call.kind == messages::work_kind::chat;
    if (is_chat) {
        const auto parsed = parse_engine_request(call.body);
        item.version = common::version_id(parsed.version);
        item.mark = parsed.mark;
    }
    if (this->on_start) {
        this->on_start(item);
    }
    this->work_starts.push_back(item);
    if (this->net.chance(this->backend_failure_permille)) {
        node.process->at(this->time.now() + token_time, [work, is_chat] {
            if (is_chat && work->call.stream) {
                work->head("text/event-stream");
            }
            work->fail(common::execution::unknown);
        });
        return work;
    }
    if (!is_chat) {
        node.process->at(
            this->time.now() + work_time, [work, item] { work->answer("done " + item.mark); });
        return work;
    }
    if (this->fault == mutation::swapped_answer) {
        item.mark = this->work_starts.front().mark;
    }
    this->answer_chat(node, work, item);
    return work;
}

auto fleet::answer_chat(
    const agent_node& node,
    const std::shared_ptr<agent::test::fake_backend>& work,
    const work_start& item) -> void
{
    const auto version = item.version.value();
    const auto begin = this->time.now() + token_time;
    if (!work->call.stream) {
        const auto text = answer_text(item.mark, version);
        node.process->at(begin + work_time, [work, text] {
            work->head("application/json");
            work->events.chunk(entry::test::chat_body(text));
            work->events.done({});
        });
        return;
    }
    const auto first = parse_engine_request(work->call.body).first_token;
    node.process->at(begin, [work] { work->head("text/event-stream"); });
    for (auto index = first; index < answer_tokens; ++index) {
        const auto text = token_text(item.mark, version, index);
        node.process->at(begin + (index - first + 1) * token_time, [work, text] {
            if (!work->cancelled) {
                work->token(text);
            }
        });
    }
    node.process->at(begin + (answer_tokens + 1) * token_time, [work] {
        if (!work->cancelled) {
            work->end_stream();
        }
    });
}

} // namespace reedramp::whole_path
