// Case 2: the operator's topic gives no answer for 4.3 s. Usage: case ROUTER FOLDER
#include "../standin/stage.h"

using namespace stage;

namespace {

constexpr std::int64_t config_apply_ms = 2000;
constexpr std::int64_t contact_ms = 3000;
constexpr std::int64_t outage_ms = 4300;

auto config(int version, const std::string& service, const std::string& keys, bool has_idle)
    -> std::string
{
    const std::string idle =
        R"(,{"name":"idle","host":"app.example","path_prefix":"/idle/","kind":"idempotent",)"
        R"("timeout_ms":2000,"target_latency_ms":300,"priority":2,"service":"old-app",)"
        R"("max_attempts":2,"anonymous":false})";
    return R"({"version":)" + std::to_string(version) +
           R"(,"routes":[{"name":"status","host":"app.example","path_prefix":"/status/",)"
           R"("kind":"idempotent","timeout_ms":2000,"target_latency_ms":300,"priority":2,)"
           R"("service":")" +
           service + R"(","max_attempts":2,"anonymous":false})" + (has_idle ? idle : "") +
           R"(],"services":[{"name":"old-app","health_path":"/health","max_connections":96},)"
           R"({"name":"new-app","health_path":"/health","max_connections":96}],)"
           R"("limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
           R"("header_timeout_ms":3000,"idle_timeout_ms":15000},)"
           R"("tenants":[{"name":"tenant-a","api_keys":[)" +
           keys + R"(],"priority":1}]})";
}

struct sent_request {
    std::string attempt;
    std::string key;
    std::int64_t at = 0;
    int status = 0;
};

} // namespace

auto main(int count, char** arguments) -> int
{
    if (count != 3) {
        return 2;
    }
    const char* trouble_text = std::getenv("TROUBLE");
    const bool has_trouble = trouble_text == nullptr || std::string{trouble_text} != "0";
    const std::string folder = arguments[2];
    record.open("record.txt");

    std::atomic<bool> is_down{false};
    store platform("127.0.0.1");
    platform.judge = [&](const store::call& one) {
        const bool is_meant = is_down && one.topic == "keyed.op";
        return is_meant ? store::fate::lose : store::fate::answer;
    };
    replica old_1("i-old1", "old-app", "zone-a", "127.0.0.1");
    replica old_2("i-old2", "old-app", "zone-a", "127.0.0.1");
    replica new_1("i-new1", "new-app", "zone-a", "127.0.0.1");
    replica new_2("i-new2", "new-app", "zone-a", "127.0.0.1");
    heartbeats beats(platform);
    for (auto* one : {&old_1, &old_2, &new_1, &new_2}) {
        beats.add(*one);
    }
    beats.begin();
    platform.put("keyed.op", "config", config(3, "old-app", R"("key-kept","key-taken")", false));

    deployment routers(arguments[1], folder, platform.port());
    routers.add("front-a-1", "zone-a", "127.0.0.11");
    routers.add("front-a-2", "zone-a", "127.0.0.12");
    routers.choose_ports();
    for (auto& one : routers.entries) {
        routers.start(one);
    }
    if (!routers.wait_until_ready(10000)) {
        record.line("case can't run: the routers don't become ready");
        routers.end_all();
        std::_Exit(2);
    }
    sleep_ms(3000);

    std::mutex lock;
    std::vector<sent_request> requests;
    std::atomic<bool> stops{false};
    std::vector<std::thread> clients;
    for (const auto& one : routers.entries) {
        for (const std::string key : {"key-kept", "key-taken"}) {
            clients.emplace_back([&, one, key] {
                for (int number = 0; !stops; ++number) {
                    const auto attempt = one.host + "-" + key + "-" + std::to_string(number);
                    const auto got =
                        ask(one.ip,
                            routers.front_port,
                            request_text(
                                "GET",
                                "/status/1",
                                {{"Host", "app.example"},
                                 {"X-Reedramp-Attempt-Id", attempt},
                                 {"X-Reedramp-Deadline-Ms", "4000"},
                                 {"X-Reedramp-Key", key}},
                                ""),
                            4000);
                    record.line(
                        "answered attempt=" + attempt + " sent_at=" + std::to_string(got.sent_at) +
                        " status=" + std::to_string(got.status));
                    {
                        const std::lock_guard guard(lock);
                        requests.push_back({attempt, key, got.sent_at, got.status});
                    }
                    sleep_ms(80);
                }
            });
        }
    }
    sleep_ms(1000);

    platform.put("keyed.op", "config", config(4, "old-app", R"("key-kept","key-taken")", false));
    record.line("config 4 acknowledged: nothing changes but its version");
    sleep_ms(100);
    // The disruption: one partition, that of the operator's topic, gives the entries no answer. The
    // operator's own calls and all other topics work.
    const auto trouble_at = now_ms();
    is_down = has_trouble;
    sleep_until_ms(trouble_at + 3400);
    platform.put("keyed.op", "config", config(5, "old-app", R"("key-kept","key-taken")", true));
    record.line("config 5 acknowledged: adds an idle route");
    sleep_until_ms(trouble_at + outage_ms);
    is_down = false;
    // From here on the store works. It counts as stable, and the machines as in touch, contact_ms
    // later.
    sleep_until_ms(trouble_at + outage_ms + contact_ms + 200);
    platform.put("keyed.op", "config", config(8, "new-app", R"("key-kept")", true));
    const auto acknowledged = now_ms();
    record.line("config 8 acknowledged: takes key-taken away, moves the route to new-app");
    sleep_until_ms(acknowledged + config_apply_ms + 3000);
    stops = true;
    for (auto& one : clients) {
        one.join();
    }

    std::map<std::string, std::string> run_by;
    for (auto* one : {&old_1, &old_2, &new_1, &new_2}) {
        for (const auto& run : one->runs()) {
            run_by[run.attempt] = one->service();
        }
    }
    int judged = 0;
    int with_taken_key = 0;
    int by_old_service = 0;
    std::int64_t last = 0;
    for (const auto& one : requests) {
        if (one.at <= acknowledged + config_apply_ms) {
            continue;
        }
        judged += 1;
        const auto run = run_by.find(one.attempt);
        const bool has_run = run != run_by.end();
        const bool is_stale_key = one.key == "key-taken" && has_run;
        const bool is_stale_route = has_run && run->second == "old-app";
        with_taken_key += is_stale_key ? 1 : 0;
        by_old_service += is_stale_route ? 1 : 0;
        last = is_stale_key || is_stale_route ? std::max(last, one.at) : last;
    }
    bool all_running = true;
    for (auto& one : routers.entries) {
        all_running = deployment::is_running(one) && all_running;
    }
    record.line(
        "result trouble=" + std::string{has_trouble ? "1" : "0"} + " answers_lost=" +
        std::to_string(platform.lost) + " answers_given=" + std::to_string(platform.answered) +
        " judged=" + std::to_string(judged) + " run_with_taken_key=" +
        std::to_string(with_taken_key) + " run_by_old_service=" + std::to_string(by_old_service) +
        " last_stale_ms_after_acknowledgement=" +
        std::to_string(last == 0 ? 0 : last - acknowledged));
    routers.end_all();
    if (!all_running || judged < 50) {
        std::_Exit(2);
    }
    std::_Exit(with_taken_key + by_old_service > 0 ? 1 : 0);
}
