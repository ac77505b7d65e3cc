#include <catch2/catch.hpp>

#include <filesystem>
#include <fstream>
#include <future>
#include <set>

#include "agent/registration.hpp"
#include "agent_process.hpp"
#include "daemon/clock.hpp"
#include "daemon/secret.hpp"
#include "engine_control.hpp"
#include "inventory/hash.hpp"
#include "operations_api.hpp"

namespace reedramp::agent_program {

using namespace std::chrono_literals;

namespace {

/// Stores the response.
class recording_responder final : public http::responder {
public:
    auto send(http::response answer) -> void override { this->response = std::move(answer); }

    auto start(http::response) -> void override {}

    auto write(std::string) -> void override {}

    auto finish() -> void override {}

    auto abort() -> void override {}

    [[nodiscard]] auto backlog() const -> std::size_t override { return 0; }

    auto when_drained(std::size_t, std::function<auto()->void>) -> void override {}

    auto on_disconnect(std::function<auto()->void>) -> void override {}

    http::response response;
};

} // namespace

TEST_CASE("The operations interface checks path, method, key and state")
{
    struct row {
        const char* method;
        const char* target;
        const char* authorization;
        bool ready;
        bool leaving;
        std::uint16_t status;
        bool drains;
    };

    const auto test_case = GENERATE(
        row{"GET", "/health/live", "", false, false, 200, false},
        row{"GET", "/health/ready", "", false, false, 503, false},
        row{"GET", "/health/ready", "", true, false, 200, false},
        row{"GET", "/health/ready", "", true, true, 503, false},
        row{"GET", "/metrics", "", true, false, 200, false},
        row{"POST", "/metrics", "", true, false, 405, false},
        row{"GET", "/nothing", "", true, false, 404, false},
        row{"POST", "/drain", "", true, false, 403, false},
        row{"POST", "/drain", "Bearer wrong", true, false, 403, false},
        row{"POST", "/drain", "Basic right", true, false, 403, false},
        row{"GET", "/drain", "Bearer right", true, false, 405, false},
        row{"POST", "/drain", "Bearer right", true, false, 200, true});
    INFO(test_case.method << " " << test_case.target << " " << test_case.authorization);
    bool drained = false;
    const operations_api api(
        {[&] { return test_case.leaving; },
         [&] { return test_case.ready; },
         [] { return std::string("series"); },
         [&] {
             drained = true;
         }},
        {inventory::sha256_hex("right")});
    const auto out = std::make_shared<recording_responder>();
    http::request asked;
    asked.method = test_case.method;
    asked.target = test_case.target;
    asked.headers.push_back({"authorization", test_case.authorization});
    api.handle(asked, out);
    CHECK(out->response.status == test_case.status);
    CHECK(drained == test_case.drains);
}

TEST_CASE("The plan for an engine has its listed versions without withdrawn ones")
{
    const common::server_id server{"s"};
    const common::version_id v1{"v1"};
    const common::version_id v2{"v2"};
    inventory::state current;
    CHECK(plan_for(current, server).wanted.empty());
    current.servers[server].versions = {v1, v2};
    current.servers[server].checks_fencing = true;
    current.withdrawn[v2] = common::log_offset{3};
    const auto plan = plan_for(current, server);
    CHECK(plan.wanted == std::set{v1});
    CHECK(plan.unwanted.empty());
    CHECK(plan.checks_fencing);
    current.servers[server].kind = inventory::server_kind::service;
    CHECK(plan_for(current, server).wanted.empty());
}

TEST_CASE("An agent that starts while the platform is down refuses requests and shuts down")
{
    // The log and the list of hosts are unreachable. The agent takes a random incarnation, answers
    // probes, refuses requests for lack of a configuration, and a shutdown ends it without failed
    // runs.
    agent_settings wanted;
    wanted.shared_key = "a key that tests share";
    wanted.rpc = {"127.0.0.1", 0};
    wanted.http = {"127.0.0.1", 0};
    // No process listens on port 1.
    wanted.backend = wanted.log = wanted.hosts = {"127.0.0.1", 1};
    wanted.backend_idle_timeout = wanted.log_timeout = 1s;
    wanted.registration_limit = 50ms;
    wanted.drain_limit = 10s;
    wanted.core.server = common::server_id{"s1"};
    agent_process process(wanted);
    std::promise<void> serving;
    REQUIRE(process.start([&serving] { serving.set_value(); }));
    serving.get_future().get();

    wire::client_options options;
    options.shared_key = wanted.shared_key;
    options.now = daemon::boot_time;
    const auto client = wire::rpc_client::create(options);
    const messages::rpc_address there{process.rpc_address()};
    std::promise<messages::probe_answer> probed;
    client->agents().probe(there, {}, [&probed](auto answer) {
        probed.set_value(answer.value_or(messages::probe_answer{}));
    });
    const auto answer = probed.get_future().get();
    CHECK(answer.server == wanted.core.server);
    CHECK((answer.incarnation.value() & agent::random_incarnation_bit) != 0);

    messages::run_request request;
    request.key = {{1, 1}, common::attempt_number{1}, answer.incarnation};
    request.time_left = 10s;
    std::promise<messages::run_event> ended;
    const auto handle = client->agents().run(
        there, request, [&ended](messages::run_event event) { ended.set_value(std::move(event)); });
    const auto event = ended.get_future().get();
    REQUIRE(std::holds_alternative<messages::refused_event>(event));
    CHECK(std::get<messages::refused_event>(event).why.code == common::result_code::not_ready);

    std::promise<std::size_t> stopped;
    process.shut_down([&stopped](std::size_t cut) { stopped.set_value(cut); });
    CHECK(stopped.get_future().get() == 0);
}

TEST_CASE("A secret is read from a file or the environment, and is long enough")
{
    const auto path = std::filesystem::temp_directory_path() /
                      ("reedramp-secret-" + std::to_string(daemon::random_bits()));
    const auto read_back = [&path](const std::string& text) {
        std::ofstream(path, std::ios::binary) << text;
        return daemon::read_secret(path.string(), "REEDRAMP_TEST_UNSET");
    };
    CHECK(read_back("sixteen letters.\r\n").value_or("") == "sixteen letters.");
    CHECK_FALSE(read_back("fifteen letters\n"));
    CHECK_FALSE(read_back(""));
    std::filesystem::remove(path);
    CHECK_FALSE(daemon::read_secret(path.string(), "REEDRAMP_TEST_UNSET"));
    CHECK_FALSE(daemon::read_secret("", "REEDRAMP_TEST_UNSET"));
}

TEST_CASE("The default settings are valid except for the shared key")
{
    const auto parsed = settings::parse(settings_schema(), R"({
        "server": "s1", "host": "h1", "data_centre": "d1",
        "rpc": {"listen": "127.0.0.1:0", "shared_key_file": "no/such/file"},
        "http": {"listen": "[::1]:0"}, "backend": {"address": "127.0.0.1:1"},
        "platform": {"log": "127.0.0.1:1", "hosts": "127.0.0.1:1"}})");
    REQUIRE(parsed);
    const auto without_key = read_settings(*parsed);
    REQUIRE_FALSE(without_key);
    CHECK(without_key.error().code == common::result_code::invalid_settings);

    const auto problems = settings::parse(settings_schema(), R"({"server": 1, "other": 2})");
    REQUIRE_FALSE(problems);
    CHECK(problems.error().size() >= 8);
}

} // namespace reedramp::agent_program
