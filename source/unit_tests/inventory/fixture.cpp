#include "fixture.hpp"

#include <catch2/catch.hpp>

namespace reedramp::inventory::testing {

auto record_text(const std::string& id, std::uint64_t base, const std::string& changes)
    -> std::string
{
    return R"({"id":")" + id + R"(","author":"anna","at":1,"base":)" + std::to_string(base) +
           R"(,"changes":[)" + changes + "]}";
}

auto put_version(const std::string& id, int price) -> std::string
{
    return R"({"put":"version","value":{"id":")" + id + R"(","model":"m","prompt_price":)" +
           std::to_string(price) + "}}";
}

auto first_record() -> std::string
{
    return record_text(
        "first",
        0,
        R"({"put":"model","value":{"id":"m"}},)" + put_version("v1", 1) +
            R"(,{"put":"version","value":{"id":"v2","model":"m","stage":"rollout"}},)"
            R"({"put":"version","value":{"id":"v3","model":"m","sensitive":true}},)"
            R"({"put":"organisation","value":{"id":"o","models":["m"]}})");
}

auto parsed(const std::string& text) -> record
{
    auto read = parse_record(text);
    REQUIRE(read);
    return *read;
}

auto folded(const std::vector<std::string>& records) -> state
{
    state made;
    std::uint64_t offset = 0;
    for (const auto& text : records) {
        apply(made, {log_offset{++offset}, text});
    }
    return made;
}

fixture::fixture() : log(time.clock(), time.timers())
{
    this->settings.checkpoint_records = 10;
}

auto fixture::set_down(bool down) -> void
{
    auto faults = this->log.faults();
    faults.down = down;
    this->log.set_faults(faults);
}

auto fixture::freeze_replica() -> void
{
    this->stale_replica = {
        this->log.records(configuration),
        this->log.head(configuration),
        this->log.oldest(configuration)};
}

auto fixture::end(const std::string& name) -> void
{
    this->at(name).reader->stop();
    this->processes.erase(name);
}

auto fixture::start(const std::string& name, bool is_tailer) -> process&
{
    auto made = std::make_shared<process>();
    made->is_tailer = is_tailer;
    made->reader = follower::create(this->hooks_of(name, made), this->settings);
    made->writer = publisher::create(
        {this->log.hooks(), this->time.clock(), this->time.timers()}, made->reader);
    made->reader->start();
    this->processes[name] = made;
    return *made;
}

auto fixture::names(const std::string& except, bool tailers_only)
    -> std::vector<messages::rpc_address>
{
    std::vector<messages::rpc_address> found;
    for (const auto& [name, item] : this->processes) {
        if (name != except && (item->is_tailer || !tailers_only)) {
            found.emplace_back(name);
        }
    }
    return found;
}

auto fixture::deliver(std::weak_ptr<process> to, std::function<auto()->void> action) -> void
{
    const auto self = to.lock();
    if (!self) {
        return;
    }
    if (self->paused_until <= this->time.now()) {
        action();
        return;
    }
    this->time.at(self->paused_until, [this, to = std::move(to), action = std::move(action)] {
        this->deliver(to, action);
    });
}

auto fixture::hooks_of(const std::string& name, const std::shared_ptr<process>& self)
    -> follower_hooks
{
    follower_hooks hooks;
    const std::weak_ptr<process> weak = self;
    hooks.log = this->log.hooks();
    hooks.log.read = [this, weak, read = hooks.log.read](
                         std::string stream,
                         log_offset after,
                         std::chrono::milliseconds wait,
                         platform::answer_hook<platform::read_answer> done) {
        const auto later = [this, weak, done](common::result<platform::read_answer> answer) {
            if (answer && answer->records.size() > this->read_limit) {
                answer->records.resize(this->read_limit);
            }
            this->deliver(weak, [done, answer] { done(answer); });
        };
        const auto reader = weak.lock();
        if (reader && reader->reads_stale_replica) {
            this->time.at(this->time.now() + 1ms, [this, later] { later(this->stale_replica); });
            return;
        }
        read(std::move(stream), after, wait, later);
    };
    hooks.pull = [this, weak](
                     const messages::rpc_address& to,
                     const messages::configuration_pull& pull,
                     const messages::answer_hook<messages::configuration_push>& done) {
        this->time.at(this->time.now() + 1ms, [this, weak, to, pull, done] {
            this->pull(weak, to.value(), pull, done);
        });
    };
    hooks.peers = [this, name] {
        return this->names(name, false);
    };
    if (this->knows_tailers) {
        hooks.tailers = [this, name] {
            return this->names(name, true);
        };
    }
    hooks.is_tailer = [weak] {
        const auto found = weak.lock();
        return found && found->is_tailer;
    };
    hooks.clock = this->time.clock();
    hooks.wall_clock = [] {
        return common::wall_time_ms{1};
    };
    hooks.timer = [this, weak](common::time_point when, std::function<auto()->void> action) {
        this->time.at(
            when, [this, weak, action = std::move(action)] { this->deliver(weak, action); });
    };
    hooks.random = [this] {
        return ++this->seed;
    };
    hooks.changed = [weak](const snapshot_ptr& now_in_force) {
        if (const auto found = weak.lock()) {
            found->offsets.push_back(now_in_force->offset.value());
        }
    };
    hooks.shared_key = shared_key;
    return hooks;
}

auto fixture::pull(
    const std::weak_ptr<process>& from,
    const std::string& to,
    const messages::configuration_pull& pull,
    const messages::answer_hook<messages::configuration_push>& done) -> void
{
    const auto puller = from.lock();
    const auto found = this->processes.find(to);
    const auto is_reached = puller && !puller->is_cut_off && found != this->processes.end() &&
                            !found->second->is_cut_off &&
                            found->second->paused_until <= this->time.now();
    common::result<messages::configuration_push> answer =
        common::failure(result_code::peer_unavailable);
    if (is_reached) {
        answer = found->second->reader->answer(pull);
    }
    if (this->fixed_push) {
        answer = *this->fixed_push;
    }
    this->deliver(from, [done, answer] { done(answer); });
}

auto fixture::offset(const std::string& name) -> std::uint64_t
{
    return this->at(name).reader->snapshot()->offset.value();
}

auto fixture::offsets_of(const std::string& name) -> std::vector<std::uint64_t>
{
    const auto found = this->processes.find(name);
    return found == this->processes.end() ? std::vector<std::uint64_t>{} : found->second->offsets;
}

auto fixture::serving(const std::string& name, const std::string& version) -> result_code
{
    const auto& reader = *this->at(name).reader;
    const auto answer = rules::serving(*reader.snapshot(), version_id{version}, reader.freshness());
    return answer ? result_code::ok : answer.error().code;
}

auto put_changes(fixture& env, int count) -> void
{
    for (auto index = 0; index < count; ++index) {
        const auto base = env.log.head(configuration).value();
        env.put(record_text("c" + std::to_string(base), base, put_version("v1", index)));
    }
}

} // namespace reedramp::inventory::testing
