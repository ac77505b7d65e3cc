#include "core_fixture.hpp"

#include <algorithm>
#include <utility>

#include <boost/json.hpp>

#include "entry/version_chooser.hpp"
#include "inventory/hash.hpp"

namespace reedramp::entry::test {

namespace json = boost::json;

auto fake_caller::send(http::response response) -> void
{
    ++this->answers;
    this->head = response;
    this->body = std::move(response.body);
    this->finished = true;
}

auto fake_caller::start(http::response response) -> void
{
    ++this->answers;
    this->head = std::move(response);
}

auto fake_caller::write(std::string chunk) -> void
{
    this->unsent += this->is_slow ? chunk.size() : 0;
    this->body += chunk;
}

auto fake_caller::finish() -> void
{
    this->finished = true;
}

auto fake_caller::abort() -> void
{
    this->aborted = true;
}

auto fake_caller::when_drained(std::size_t /*low_water*/, std::function<auto()->void> action)
    -> void
{
    this->drained = std::move(action);
}

auto fake_caller::on_disconnect(std::function<auto()->void> action) -> void
{
    this->disconnected = std::move(action);
}

auto fake_caller::drain() -> void
{
    this->unsent = 0;
    if (const auto action = std::exchange(this->drained, nullptr)) {
        action();
    }
}

auto fake_caller::disconnect() -> void
{
    this->disconnected();
}

auto fake_caller::problem_field(const char* name) const -> std::string
{
    auto text = std::string_view(this->body);
    constexpr std::string_view marker = "event: error\ndata: ";
    if (const auto event = text.find(marker); event != std::string_view::npos) {
        text = text.substr(event + marker.size());
        text = text.substr(0, text.find('\n'));
    }
    json::error_code failed;
    const auto value = json::parse(json::string_view(text.data(), text.size()), failed);
    if (failed || !value.is_object() || !value.as_object().contains(name)) {
        return {};
    }
    return std::string(value.as_object().at(name).as_string());
}

auto fake_caller::problem_name() const -> std::string
{
    return this->problem_field("name");
}

auto fake_caller::execution() const -> std::string
{
    return this->problem_field("execution");
}

auto fake_caller::header(std::string_view name) const -> std::string
{
    return std::string(http::find_header(this->head.headers, name).value_or(""));
}

auto fake_caller::streamed_text() const -> std::string
{
    std::string text;
    constexpr std::string_view marker = "data: {\"id\"";
    for (auto at = this->body.find(marker); at != std::string::npos;
         at = this->body.find(marker, at + 1)) {
        const auto start = at + std::string_view("data: ").size();
        const auto line = this->body.substr(start, this->body.find('\n', start) - start);
        const auto event = json::parse(line);
        const auto& choices = event.at("choices").as_array();
        if (choices.empty()) {
            continue;
        }
        const auto* content = choices[0].at("delta").as_object().if_contains("content");
        if (content != nullptr) {
            text += std::string(content->as_string());
        }
    }
    return text;
}

auto fake_caller::is_complete_stream() const -> bool
{
    return this->finished && this->body.ends_with("data: [DONE]\n\n");
}

auto token_text(std::uint64_t first, std::uint64_t end) -> std::string
{
    std::string text;
    for (auto index = first; index < end; ++index) {
        text += "t" + std::to_string(index) + " ";
    }
    return text;
}

auto chat_body(const std::string& text) -> std::string
{
    const json::object message{{"role", "assistant"}, {"content", text}};
    const json::object choice{{"index", 0}, {"message", message}, {"finish_reason", "stop"}};
    const json::object usage{{"prompt_tokens", 5}, {"completion_tokens", 1}};
    return json::serialize(
        json::object{{"id", "x"}, {"choices", json::array{choice}}, {"usage", usage}});
}

auto fake_run::tokens(std::uint64_t first, std::uint32_t count) const -> void
{
    this->sink(messages::tokens_event{first, count, token_text(first, first + count)});
}

auto fake_run::finish(std::string text, std::uint64_t completion_tokens) const -> void
{
    messages::finished_event finished;
    finished.content_type = "application/json";
    if (!this->request.stream) {
        finished.body = this->request.kind == messages::work_kind::chat ? chat_body(text) : text;
    }
    finished.used = {common::token_count(5), common::token_count(completion_tokens)};
    finished.finish_reason = "stop";
    this->sink(finished);
}

auto fake_run::refuse(common::result_code code, common::duration retry_after) const -> void
{
    this->sink(messages::refused_event{common::make_error(code), retry_after});
}

auto fake_run::fail(common::result_code code, common::execution ran) const -> void
{
    auto why = common::make_error(code);
    why.run = ran;
    this->sink(messages::failed_event{why, {common::token_count(5), common::token_count(0)}});
}

auto bearer(const std::string& key) -> http::header
{
    return {"Authorization", "Bearer " + key};
}

namespace {

auto make_version(const std::string& id, const std::string& model, std::int64_t price)
    -> inventory::version
{
    inventory::version made;
    made.id = common::version_id(id);
    made.model = common::model_id(model);
    made.prompt_price = common::micro_money(price);
    made.completion_price = common::micro_money(price);
    return made;
}

auto make_organisation(const std::string& id, const std::string& key, const std::string& model)
    -> inventory::organisation
{
    inventory::organisation made;
    made.id = common::organisation_id(id);
    made.key_hashes = {inventory::sha256_hex(key)};
    made.models = {common::model_id(model)};
    return made;
}

auto make_state() -> inventory::state
{
    inventory::state made;
    made.offset = common::log_offset(1);
    for (const auto* model : {"small", "big"}) {
        made.models[common::model_id(model)].id = common::model_id(model);
    }
    for (const auto& version :
         {make_version("s1", "small", 9'000'000),
          make_version("s2", "small", 1'000'000),
          make_version("b1", "big", 50'000'000)}) {
        made.versions[version.id] = version;
    }
    inventory::service notes;
    notes.name = common::service_name("notes");
    notes.idempotent_methods = {"GET"};
    made.services[notes.name] = notes;
    auto org = make_organisation("org", "key", "small");
    org.services = {notes.name};
    for (const auto& owner : {org, make_organisation("other", "other-key", "big")}) {
        made.organisations[owner.id] = owner;
        made.key_owners[owner.key_hashes.front()] = owner.id;
    }
    return made;
}

} // namespace

core_fixture::core_fixture() : state(std::make_shared<inventory::state>(make_state()))
{
    this->options.retries = {.ratio = 10.0, .extra = 1000.0};
    this->time.run_for(std::chrono::hours(1));
    for (const auto* id : {"a", "b", "c"}) {
        this->servers.emplace_back(id);
    }
    this->restart();
}

auto core_fixture::restart() -> void
{
    this->subject = core::create(this->options, this->hooks(), admin_api(this->operators, {}));
}

auto core_fixture::change(const std::function<auto(inventory::state& state)->void>& edit) -> void
{
    auto next = *this->state;
    next.offset = common::log_offset(next.offset.value() + 1);
    edit(next);
    this->state = std::make_shared<inventory::state>(std::move(next));
}

auto core_fixture::place(const placement_query& query) -> common::result<placement_decision>
{
    for (const auto& server : this->servers) {
        const auto& tried_servers = query.tried_servers;
        if (std::find(tried_servers.begin(), tried_servers.end(), server) == tried_servers.end()) {
            return placement_decision{
                server,
                messages::rpc_address(server.value()),
                common::incarnation_id(7),
                "test",
                {}};
        }
    }
    return common::failure(common::result_code::no_capacity);
}

auto core_fixture::hooks() -> core_hooks
{
    core_hooks hooks;
    hooks.now = this->time.clock();
    hooks.wall_now = [] {
        return common::wall_time_ms(1'000'000);
    };
    hooks.random = [this] {
        return ++this->random_state * 0x9e3779b97f4a7c15ULL;
    };
    hooks.timer = this->time.timers();
    hooks.agents.run = [this](
                           const messages::rpc_address& to,
                           messages::run_request request,
                           messages::run_sink sink) -> std::shared_ptr<messages::run_handle> {
        auto made = std::make_shared<fake_run>();
        made->address = to.value();
        made->request = std::move(request);
        made->sink = std::move(sink);
        this->runs.push_back(made);
        return made;
    };
    hooks.agents.ask = [this](
                           const messages::rpc_address& to,
                           messages::outcome_query query,
                           const messages::answer_hook<messages::outcome_answer>& done) {
        this->outcome_queries.push_back({to.value(), query});
        done(this->outcome.value_or(common::failure(common::result_code::peer_unavailable)));
    };
    hooks.snapshot = [this] {
        return this->state;
    };
    hooks.knows_servers = [this] {
        return this->knows_servers;
    };
    hooks.current_until = [this] {
        return this->current_until;
    };
    hooks.keys.current = {session::key_id(1), std::string(session::min_secret_bytes, 'k')};
    hooks.choose_version = cheapest_version;
    hooks.place = [this](const placement_query& query, const auto& done) {
        done(this->place(query));
    };
    hooks.claim = [this](messages::claim_request claim, common::time_point, const auto& done) {
        this->claims.push_back(claim);
        const claims::claim_result granted =
            claims::claim_granted{claim, common::log_offset(this->claims.size())};
        done(this->claim_result.value_or(granted));
    };
    hooks.reserve_limits = [this](const auto&, const auto&) -> common::result<void> {
        if (this->limit) {
            return tl::unexpected(*this->limit);
        }
        return {};
    };
    hooks.settle_limits = [this](const auto&, const auto&, const limits::amounts& used) {
        this->settled = used;
    };
    hooks.accepts_bills = [this] {
        return this->accepts_bills;
    };
    hooks.add_bill = [this](messages::bill item) {
        this->bills.push_back(std::move(item));
    };
    return hooks;
}

auto core_fixture::session_token(const std::string& version) -> std::string
{
    const session::key_ring ring{
        {session::key_id(1), std::string(session::min_secret_bytes, 'k')}, std::nullopt};
    return session::sign(
        {common::organisation_id("org"),
         common::session_id("talk"),
         common::model_id("small"),
         common::version_id(version),
         common::wall_time_ms(2'000'000)},
        ring);
}

auto core_fixture::call(http::request request) -> std::shared_ptr<fake_caller>
{
    auto caller = std::make_shared<fake_caller>();
    this->subject->handle(std::move(request), caller);
    return caller;
}

auto core_fixture::chat(const std::string& extra, std::vector<http::header> headers)
    -> std::shared_ptr<fake_caller>
{
    headers.push_back(bearer("key"));
    const auto body =
        R"({"model":"small","messages":[{"role":"user","content":"hello"}])" + extra + "}";
    return this->call({"POST", "/v1/chat/completions", std::move(headers), body, {}});
}

auto core_fixture::service(const std::string& method, std::vector<http::header> headers)
    -> std::shared_ptr<fake_caller>
{
    headers.push_back(bearer("key"));
    return this->call({method, "/services/notes/1", std::move(headers), "note", {}});
}

} // namespace reedramp::entry::test
