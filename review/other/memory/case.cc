// Users upload large bodies at the same time. Usage: case ROUTER FOLDER
#include "../../standin/stage.h"

using namespace stage;

namespace {

/// limits.memory_mb = 110, in KiB.
constexpr long memory_kib = 110L * 1000 * 1000 / 1024;
/// Within max_body_bytes of the config.
constexpr std::size_t body_bytes = 4'000'000;
constexpr std::size_t piece_bytes = 40'000;
/// A client's link: 2 MB a second.
constexpr std::int64_t piece_pause_ms = 20;
/// In each wave, at each node: usually these come one after the other over wave_ms.
constexpr int usual_users = 17;
constexpr std::int64_t wave_ms = 5000;
/// In a burst they are 1.65 times as many, and come at once.
constexpr int burst_users = 28;
constexpr int waves = 5;

const std::string config =
    R"({"version":4,"routes":[{"name":"lookup","host":"app.example","path_prefix":"/lookup/",)"
    R"("kind":"non_idempotent","timeout_ms":4000,"target_latency_ms":300,"priority":2,)"
    R"("service":"app","max_attempts":1,"anonymous":false}],"services":[{"name":"app",)"
    R"("health_path":"/health","max_connections":96}],"limits":{"max_header_bytes":16384,)"
    R"("max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},)"
    R"("tenants":[{"name":"tenant-a","api_keys":["key-a"],"priority":1}]})";

/// The memory of a process in KiB, as its VmRSS says.
auto memory_of(pid_t pid) -> long
{
    std::ifstream from("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(from, line);) {
        if (line.rfind("VmRSS:", 0) == 0) {
            return std::atol(line.c_str() + 6);
        }
    }
    return 0;
}

auto headers_of(const std::string& attempt) -> header_list
{
    return {
        {"Host", "app.example"},
        {"X-Reedramp-Attempt-Id", attempt},
        {"X-Reedramp-Deadline-Ms", "4000"},
        {"X-Reedramp-Key", "key-a"}};
}

/// Sends one request with a large body on a new channel, piece by piece.
auto upload(const entry& to, std::uint16_t port, const std::string& attempt) -> void
{
    const auto text =
        request_text("POST", "/lookup/1", headers_of(attempt), std::string(body_bytes, 'b'));
    const int fd = connect_to(to.ip, port);
    int status = 0;
    bool is_sent = fd >= 0;
    for (std::size_t at = 0; is_sent && at < text.size(); at += piece_bytes) {
        is_sent = send_all(fd, text.substr(at, piece_bytes));
        sleep_ms(piece_pause_ms);
    }
    if (fd >= 0) {
        const auto got = reader(fd).read(true, now_ms() + 4500);
        status = got.first_line.empty() ? 0 : got.status();
        ::close(fd);
    }
    record.line(
        "upload attempt=" + attempt + " host=" + to.host + " sent=" + (is_sent ? "whole" : "part") +
        " status=" + std::to_string(status));
}

} // namespace

auto main(int count, char** arguments) -> int
{
    if (count != 3) {
        return 2;
    }
    const char* trouble_text = std::getenv("TROUBLE");
    const bool has_trouble = trouble_text == nullptr || std::string{trouble_text} != "0";
    record.open("record.txt");

    store platform("127.0.0.1");
    heartbeats beats(platform);
    std::vector<std::unique_ptr<replica>> replicas;
    for (const auto* id : {"i-app1", "i-app2", "i-app3"}) {
        replicas.push_back(std::make_unique<replica>(id, "app", "zone-a", "127.0.0.1"));
        replicas.back()->work_ms = 60;
        beats.add(*replicas.back());
    }
    beats.begin();
    platform.put("keyed.op", "config", config);

    deployment routers(arguments[1], arguments[2], platform.port());
    routers.add("front-a-1", "zone-a", "127.0.0.51");
    routers.add("front-a-2", "zone-a", "127.0.0.52");
    routers.choose_ports();
    for (auto& one : routers.entries) {
        routers.start(one);
    }
    if (!routers.wait_until_ready(10000)) {
        record.line("case can't run: the routers don't become ready");
        routers.end_all();
        std::_Exit(2);
    }
    sleep_ms(2000);

    // The platform kills a process that exceeds memory_mb, and restarts it after a short delay.
    std::atomic<bool> stops{false};
    std::array<int, 2> ends{0, 0};
    std::array<long, 2> most{0, 0};
    std::atomic<int> ends_otherwise{0};
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < 2; ++i) {
        threads.emplace_back([&, i] {
            auto& one = routers.entries[i];
            while (!stops) {
                const auto used = memory_of(one.pid);
                most[i] = std::max(most[i], used);
                if (used > memory_kib) {
                    ends[i] += 1;
                    record.line(
                        "killed host=" + one.host + " memory_kib=" + std::to_string(used) +
                        " limit_kib=" + std::to_string(memory_kib));
                    deployment::kill_and_wait(one, SIGKILL);
                }
                else if (!deployment::is_running(one)) {
                    ends_otherwise += 1;
                }
                if (one.pid < 0) {
                    sleep_ms(500);
                    routers.start(one);
                }
                sleep_ms(10);
            }
        });
    }
    // Small requests of other users, one after the other at each node.
    std::atomic<int> small{0};
    std::atomic<int> small_without_answer{0};
    for (std::size_t i = 0; i < 2; ++i) {
        threads.emplace_back([&, i] {
            const auto to = routers.entries[i];
            for (int number = 0; !stops; ++number) {
                const auto attempt = "small" + std::to_string(i) + "-" + std::to_string(number);
                const auto got = ask(
                    to.ip,
                    routers.front_port,
                    request_text("POST", "/lookup/1", headers_of(attempt), std::string(600, 's')),
                    4500);
                small += 1;
                small_without_answer += got.whole ? 0 : 1;
                record.line(
                    "small attempt=" + attempt + " host=" + to.host +
                    " status=" + std::to_string(got.status));
                sleep_ms(50);
            }
        });
    }

    const int users = has_trouble ? burst_users : usual_users;
    int uploads = 0;
    for (int wave = 0; wave < waves; ++wave) {
        record.line(
            "wave " + std::to_string(wave) + ": " + std::to_string(users) + " users at each node");
        std::vector<std::thread> open;
        for (const auto& one : routers.entries) {
            for (int user = 0; user < users; ++user) {
                const auto attempt =
                    "w" + std::to_string(wave) + "-" + one.host + "-" + std::to_string(user);
                const auto after = has_trouble ? 0 : user * wave_ms / users;
                open.emplace_back([&routers, one, attempt, after] {
                    sleep_ms(after);
                    upload(one, routers.front_port, attempt);
                });
                uploads += 1;
            }
        }
        for (auto& one : open) {
            one.join();
        }
        sleep_ms(5000);
    }
    stops = true;
    for (auto& one : threads) {
        one.join();
    }
    record.line(
        "result trouble=" + std::string{has_trouble ? "1" : "0"} +
        " uploads=" + std::to_string(uploads) + " ends_over_memory=" + std::to_string(ends[0]) +
        "," + std::to_string(ends[1]) + " other_ends=" + std::to_string(ends_otherwise) +
        " most_memory_kib=" + std::to_string(most[0]) + "," + std::to_string(most[1]) +
        " small_requests=" + std::to_string(small) +
        " of_these_without_answer=" + std::to_string(small_without_answer));
    routers.end_all();
    std::_Exit(ends_otherwise > 0 ? 2 : (ends[0] >= 3 && ends[1] >= 3 ? 1 : 0));
}
