// Stand-ins for a review case: the platform's store, replicas, clients, and the router processes,
// which are started with the command of the deploy file. POSIX sockets and threads only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <set>
#include <sstream>
#include <string>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace stage {

using clock_type = std::chrono::steady_clock;
inline const auto began = clock_type::now();

inline auto now_ms() -> std::int64_t
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock_type::now() - began).count();
}

inline auto sleep_ms(std::int64_t ms) -> void
{
    std::this_thread::sleep_for(std::chrono::milliseconds{ms});
}

inline auto sleep_until_ms(std::int64_t at) -> void
{
    if (at > now_ms()) {
        sleep_ms(at - now_ms());
    }
}

/// record.txt: one line for each thing that was sent, answered or run.
class record_file {
public:
    auto open(const std::string& path) -> void { this->out.open(path, std::ios::trunc); }

    auto line(const std::string& text) -> void
    {
        const std::lock_guard guard(this->lock);
        this->out << now_ms() << " ms " << text << "\n" << std::flush;
    }

private:
    std::mutex lock;
    std::ofstream out;
};

inline record_file record;

// ---- sockets

inline auto address_of(const std::string& ip, std::uint16_t port) -> sockaddr_in
{
    sockaddr_in where{};
    where.sin_family = AF_INET;
    where.sin_port = htons(port);
    inet_pton(AF_INET, ip.c_str(), &where.sin_addr);
    return where;
}

inline auto listen_on(const std::string& ip, std::uint16_t port) -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    auto where = address_of(ip, port);
    if (::bind(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where)) != 0 ||
        ::listen(fd, 256) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

inline auto port_of(int fd) -> std::uint16_t
{
    sockaddr_in where{};
    socklen_t size = sizeof(where);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&where), &size);
    return ntohs(where.sin_port);
}

/// A port that is free on all these addresses.
inline auto free_port(const std::vector<std::string>& ips) -> std::uint16_t
{
    for (int tries = 0; tries < 200; ++tries) {
        const int first = listen_on(ips.front(), 0);
        const auto port = port_of(first);
        std::vector<int> others;
        bool is_free = true;
        for (std::size_t i = 1; i < ips.size(); ++i) {
            others.push_back(listen_on(ips[i], port));
            is_free = is_free && others.back() >= 0;
        }
        ::close(first);
        for (const int fd : others) {
            ::close(fd);
        }
        if (is_free) {
            return port;
        }
    }
    std::fprintf(stderr, "no free port\n");
    std::exit(2);
}

inline auto connect_to(const std::string& ip, std::uint16_t port, int timeout_ms = 1000) -> int
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    auto where = address_of(ip, port);
    ::connect(fd, reinterpret_cast<sockaddr*>(&where), sizeof(where));
    pollfd wait{fd, POLLOUT, 0};
    int problem = 0;
    socklen_t size = sizeof(problem);
    if (::poll(&wait, 1, timeout_ms) != 1 ||
        ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &problem, &size) != 0 || problem != 0) {
        ::close(fd);
        return -1;
    }
    ::fcntl(fd, F_SETFL, ::fcntl(fd, F_GETFL) & ~O_NONBLOCK);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

inline auto send_all(int fd, const std::string& bytes) -> bool
{
    std::size_t done = 0;
    while (done < bytes.size()) {
        const auto size = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (size <= 0) {
            return false;
        }
        done += static_cast<std::size_t>(size);
    }
    return true;
}

// ---- HTTP/1.1

struct message {
    std::string first_line;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    /// The whole message was read.
    bool whole = false;

    [[nodiscard]] auto header(const std::string& name) const -> std::string
    {
        for (const auto& [key, value] : this->headers) {
            if (::strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }

    [[nodiscard]] auto word(std::size_t at) const -> std::string
    {
        std::istringstream words(this->first_line);
        std::string one;
        for (std::size_t i = 0; i <= at; ++i) {
            one.clear();
            words >> one;
        }
        return one;
    }

    [[nodiscard]] auto status() const -> int { return std::atoi(this->word(1).c_str()); }
};

/// Reads messages from one connection.
class reader {
public:
    explicit reader(int socket) : fd(socket) {}

    /// What arrived so far of the message that is being read; for answers that come in pieces.
    message part;
    /// Runs after each piece of a body.
    std::function<void(const message&)> on_piece;

    auto read(bool is_answer, std::int64_t until_ms = INT64_MAX) -> message
    {
        this->part = {};
        this->deadline = until_ms;
        std::size_t end = 0;
        while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!this->fill()) {
                return this->part;
            }
        }
        std::istringstream head(this->buffer.substr(0, end));
        this->buffer.erase(0, end + 4);
        std::string text;
        std::getline(head, text);
        this->part.first_line = without_cr(text);
        while (std::getline(head, text)) {
            text = without_cr(text);
            const auto colon = text.find(':');
            if (colon == std::string::npos) {
                continue;
            }
            auto value = text.substr(colon + 1);
            value.erase(0, value.find_first_not_of(' '));
            this->part.headers.emplace_back(text.substr(0, colon), value);
        }
        if (is_answer && this->part.status() == 100) {
            return this->read(is_answer, until_ms);
        }
        if (this->part.header("Transfer-Encoding") == "chunked") {
            this->read_chunks();
            return this->part;
        }
        const auto length = this->part.header("Content-Length");
        if (length.empty() && is_answer) {
            while (this->fill()) {
                this->part.body += std::exchange(this->buffer, {});
                this->tell();
            }
            this->part.whole = this->at_end;
            return this->part;
        }
        const auto size = length.empty() ? 0 : std::stoull(length);
        while (this->buffer.size() < size) {
            if (!this->fill()) {
                this->part.body = this->buffer;
                return this->part;
            }
        }
        this->part.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
        this->part.whole = true;
        return this->part;
    }

    bool at_end = false;
    bool timed_out = false;

private:
    static auto without_cr(std::string text) -> std::string
    {
        while (!text.empty() && (text.back() == '\r' || text.back() == ' ')) {
            text.pop_back();
        }
        return text;
    }

    auto tell() -> void
    {
        if (this->on_piece) {
            this->on_piece(this->part);
        }
    }

    auto read_chunks() -> void
    {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!this->fill()) {
                    return;
                }
            }
            const auto size = std::stoull(this->buffer.substr(0, end), nullptr, 16);
            this->buffer.erase(0, end + 2);
            while (this->buffer.size() < size + 2) {
                if (!this->fill()) {
                    return;
                }
            }
            this->part.body += this->buffer.substr(0, size);
            this->buffer.erase(0, size + 2);
            if (size == 0) {
                this->part.whole = true;
                return;
            }
            this->tell();
        }
    }

    auto fill() -> bool
    {
        const auto left = this->deadline == INT64_MAX ? -1 : this->deadline - now_ms();
        if (this->deadline != INT64_MAX && left <= 0) {
            this->timed_out = true;
            return false;
        }
        pollfd wait{this->fd, POLLIN, 0};
        if (::poll(&wait, 1, static_cast<int>(left)) != 1) {
            this->timed_out = true;
            return false;
        }
        char bytes[65536];
        const auto size = ::recv(this->fd, bytes, sizeof(bytes), 0);
        if (size <= 0) {
            this->at_end = size == 0;
            return false;
        }
        this->buffer.append(bytes, static_cast<std::size_t>(size));
        return true;
    }

    int fd;
    std::string buffer;
    std::int64_t deadline = INT64_MAX;
};

inline auto answer_text(
    int status,
    const std::vector<std::pair<std::string, std::string>>& headers,
    const std::string& body) -> std::string
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Accepts connections and runs `serve` for each on a thread of its own.
class listener {
public:
    listener(const std::string& ip, std::uint16_t port, std::function<void(int)> serve)
        : fd(listen_on(ip, port)), own_port(port_of(this->fd))
    {
        std::thread([fd = this->fd, serve = std::move(serve)] {
            while (true) {
                const int next = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (next < 0) {
                    return;
                }
                const int on = 1;
                ::setsockopt(next, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
                std::thread([next, serve] {
                    serve(next);
                    ::close(next);
                }).detach();
            }
        }).detach();
    }

    [[nodiscard]] auto port() const -> std::uint16_t { return this->own_port; }

    auto stop() -> void { ::shutdown(this->fd, SHUT_RDWR); }

private:
    int fd;
    std::uint16_t own_port;
};

// ---- the platform's store

inline auto base64(const std::string& bytes) -> std::string
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        std::uint32_t group = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            group = (group << 8U) |
                    (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
        }
        for (std::size_t j = 0; j < 4; ++j) {
            text += i + j <= bytes.size() ? letters[(group >> (18 - 6 * j)) & 63U] : '=';
        }
    }
    return text;
}

inline auto big_endian(std::uint64_t value, int bytes) -> std::string
{
    std::string text;
    for (int i = bytes - 1; i >= 0; --i) {
        text += static_cast<char>((value >> (8 * i)) & 0xffU);
    }
    return text;
}

inline auto json_text(const std::string& text) -> std::string
{
    std::string quoted = "\"";
    for (const char letter : text) {
        if (letter == '"' || letter == '\\') {
            quoted += '\\';
        }
        quoted += letter;
    }
    return quoted + "\"";
}

/// Keyed topics of one partition each; see PROTOCOL, "The platform's metadata store".
class store {
public:
    /// What is done with the answer of a call.
    enum class fate { answer, lose };

    struct call {
        std::string method;
        std::string target;
        std::string path;
        std::string topic;
        /// A read that waits at the store for new records.
        bool waits = false;
    };

    explicit store(const std::string& ip) : entrance(ip, 0, [this](int fd) { this->serve(fd); }) {}

    /// Decides for each answer; runs just before it would be sent. Set it before the first call.
    std::function<fate(const call&)> judge;
    std::atomic<int> answered{0};
    std::atomic<int> lost{0};

    [[nodiscard]] auto port() const -> std::uint16_t { return this->entrance.port(); }

    /// Appends a record as the operator or a replica would; without a value the key is deleted.
    /// Returns when it is accepted, which is its acknowledgement.
    auto
    put(const std::string& topic, const std::string& key, const std::optional<std::string>& value)
        -> void
    {
        const std::lock_guard guard(this->lock);
        this->add(topic, key, value);
    }

    auto value_of(const std::string& topic, const std::string& key) -> std::string
    {
        const std::lock_guard guard(this->lock);
        auto& newest = this->topics[topic].newest;
        const auto found = newest.find(key);
        return found == newest.end() ? "" : found->second.first;
    }

private:
    struct topic_log {
        std::vector<std::pair<std::string, std::string>> records;
        std::map<std::string, std::pair<std::string, std::size_t>> newest;
    };

    auto
    add(const std::string& topic, const std::string& key, const std::optional<std::string>& value)
        -> void
    {
        auto& log = this->topics[topic];
        log.records.emplace_back(key, value.value_or(""));
        if (value && !value->empty()) {
            log.newest[key] = {*value, log.records.size() - 1};
        }
        else {
            log.newest.erase(key);
        }
        this->changed.notify_all();
    }

    static auto query(const std::string& target, const std::string& name) -> std::string
    {
        auto at = target.find('?');
        while (at != std::string::npos) {
            const auto end = std::min(target.find('&', at + 1), target.size());
            const auto item = target.substr(at + 1, end - at - 1);
            if (item.rfind(name + "=", 0) == 0) {
                return item.substr(name.size() + 1);
            }
            at = end == target.size() ? std::string::npos : end;
        }
        return {};
    }

    auto serve(int fd) -> void
    {
        reader from(fd);
        bool is_silent = false;
        while (true) {
            const auto asked = from.read(false);
            if (!asked.whole) {
                return;
            }
            call one;
            one.method = asked.word(0);
            one.target = asked.word(1);
            one.path = one.target.substr(0, one.target.find('?'));
            one.topic = query(one.target, "topic");
            one.waits = one.path == "/v1/log-read" && !query(one.target, "wait_ms").empty();
            const auto text = this->handle(one, asked.body);
            const auto what = this->judge ? this->judge(one) : fate::answer;
            // A channel on which a response is lost returns nothing further.
            is_silent = is_silent || what == fate::lose;
            if (is_silent) {
                this->lost += 1;
                record.line("store answer lost call=" + one.method + " " + one.target);
                continue;
            }
            this->answered += 1;
            if (!send_all(fd, text)) {
                return;
            }
        }
    }

    auto handle(const call& one, const std::string& body) -> std::string
    {
        std::unique_lock guard(this->lock);
        auto& log = this->topics[one.topic];
        if (one.path == "/v1/log-append") {
            const auto at = query(one.target, "at");
            if (!at.empty() && std::stoull(at) != log.records.size()) {
                return answer_text(412, {}, "{\"end\":" + std::to_string(log.records.size()) + "}");
            }
            const auto offset = log.records.size();
            std::size_t from = 0;
            while (from + 5 <= body.size()) {
                std::size_t size = 0;
                for (int i = 0; i < 4; ++i) {
                    size = size << 8U | static_cast<unsigned char>(body[from + i]);
                }
                const auto key_size = static_cast<unsigned char>(body[from + 4]);
                this->add(
                    one.topic,
                    body.substr(from + 5, key_size),
                    body.substr(from + 5 + key_size, size - 1 - key_size));
                from += 4 + size;
            }
            return answer_text(
                200,
                {{"Content-Type", "application/json"}},
                "{\"offset\":" + std::to_string(offset) +
                    ",\"end\":" + std::to_string(log.records.size()) + "}");
        }
        if (one.path == "/v1/log-read") {
            const auto from = std::stoull(query(one.target, "from"));
            const auto wait = query(one.target, "wait_ms");
            this->changed.wait_for(
                guard, std::chrono::milliseconds{wait.empty() ? 0 : std::stoll(wait)}, [&] {
                    return log.records.size() > from;
                });
            auto page = big_endian(log.records.size(), 8) + big_endian(0, 8);
            for (auto i = from; i < log.records.size(); ++i) {
                const auto& [key, value] = log.records[i];
                page += big_endian(1 + key.size() + value.size(), 4);
                page += static_cast<char>(key.size());
                page += key + value;
            }
            return answer_text(200, {}, page);
        }
        if (one.path == "/v1/log-newest") {
            std::string items;
            for (const auto& [key, entry] : log.newest) {
                items += (items.empty() ? "" : ",") + std::string{"{\"key\":"} + json_text(key) +
                         ",\"value\":\"" + base64(entry.first) +
                         "\",\"offset\":" + std::to_string(entry.second) + "}";
            }
            return answer_text(
                200,
                {{"Content-Type", "application/json"}},
                "{\"items\":[" + items +
                    "],\"truncated\":false,\"end\":" + std::to_string(log.records.size()) + "}");
        }
        return answer_text(404, {}, "");
    }

    std::mutex lock;
    std::condition_variable changed;
    std::map<std::string, topic_log> topics;
    listener entrance;
};

// ---- replicas

/// One replica of a service. It runs a request by noting it, waiting `work_ms`, and answering.
class replica {
public:
    struct run {
        std::string attempt;
        std::string tenant;
        std::string path;
        std::int64_t at = 0;
    };

    replica(std::string id, std::string service, std::string zone, const std::string& ip)
        : name(std::move(id)), of_service(std::move(service)), in_zone(std::move(zone)),
          address(ip), entrance(ip, 0, [this](int fd) { this->serve(fd); })
    {
    }

    int work_ms = 20;
    int slots = 6;
    std::string version = "v1";
    std::atomic<bool> draining{false};
    /// Handles a request instead of the usual answer; returns false to close the connection.
    std::function<std::optional<bool>(int fd, const message& asked)> special;

    [[nodiscard]] auto id() const -> const std::string& { return this->name; }

    [[nodiscard]] auto service() const -> const std::string& { return this->of_service; }

    auto registration() -> std::string
    {
        return "{\"service\":" + json_text(this->of_service) + ",\"address\":\"" + this->address +
               ":" + std::to_string(this->entrance.port()) +
               "\",\"zone\":" + json_text(this->in_zone) +
               ",\"version\":" + json_text(this->version) +
               ",\"slots\":" + std::to_string(this->slots) + ",\"state\":\"" +
               (this->draining ? "draining" : "ready") +
               "\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(++this->sequence) + "}";
    }

    auto runs() -> std::vector<run>
    {
        const std::lock_guard guard(this->lock);
        return this->all;
    }

    auto note_run(const message& asked) -> void
    {
        run one{
            asked.header("X-Reedramp-Attempt-Id"),
            asked.header("X-Reedramp-Tenant"),
            asked.word(1),
            now_ms()};
        record.line(
            "run replica=" + this->name + " service=" + this->of_service +
            " version=" + this->version + " attempt=" + one.attempt + " tenant=" + one.tenant);
        const std::lock_guard guard(this->lock);
        this->all.push_back(one);
    }

private:
    auto serve(int fd) -> void
    {
        reader from(fd);
        while (true) {
            const auto asked = from.read(false);
            if (!asked.whole) {
                return;
            }
            const auto attempt = asked.header("X-Reedramp-Attempt-Id");
            const auto expected = asked.header("X-Reedramp-Expect-Replica");
            if (asked.word(1) == "/health") {
                if (!send_all(fd, answer_text(200, {{"X-Reedramp-Replica-Id", this->name}}, ""))) {
                    return;
                }
                continue;
            }
            if (!expected.empty() && expected != this->name) {
                if (!send_all(
                        fd,
                        answer_text(
                            421,
                            {{"X-Reedramp-Attempt-Id", attempt}, {"X-Reedramp-Not-Executed", "1"}},
                            ""))) {
                    return;
                }
                continue;
            }
            if (this->special) {
                if (const auto kept = this->special(fd, asked)) {
                    if (*kept) {
                        continue;
                    }
                    return;
                }
            }
            this->note_run(asked);
            sleep_ms(this->work_ms);
            if (!send_all(
                    fd,
                    answer_text(
                        200,
                        {{"X-Reedramp-Attempt-Id", attempt},
                         {"X-Reedramp-Replica-Seal", "seal-" + attempt}},
                        "answer of " + this->name + " to " + attempt))) {
                return;
            }
        }
    }

    std::string name;
    std::string of_service;
    std::string in_zone;
    std::string address;
    std::atomic<int> sequence{0};
    std::mutex lock;
    std::vector<run> all;
    listener entrance;
};

/// Writes the replicas' entries every `heartbeat_ms`, as they would.
class heartbeats {
public:
    explicit heartbeats(store& of) : to(of) {}

    auto add(replica& one) -> void
    {
        const std::lock_guard guard(this->lock);
        this->all.push_back(&one);
        this->to.put("keyed.servers", one.id(), one.registration());
    }

    auto remove(replica& one) -> void
    {
        const std::lock_guard guard(this->lock);
        std::erase(this->all, &one);
        this->to.put("keyed.servers", one.id(), std::nullopt);
    }

    auto begin() -> void
    {
        std::thread([this] {
            while (true) {
                sleep_ms(1200);
                const std::lock_guard guard(this->lock);
                for (auto* one : this->all) {
                    this->to.put("keyed.servers", one->id(), one->registration());
                }
            }
        }).detach();
    }

private:
    store& to;
    std::mutex lock;
    std::vector<replica*> all;
};

// ---- router processes

struct entry {
    std::string host;
    std::string zone;
    std::string ip;
    pid_t pid = -1;
};

/// Starts and ends the router on several loopback addresses, each as a process of its own.
class deployment {
public:
    deployment(std::string router_binary, std::string work_folder, std::uint16_t store_port)
        : binary(std::move(router_binary)), folder(std::move(work_folder)), store_at(store_port)
    {
    }

    ~deployment() { this->end_all(); }

    std::vector<entry> entries;
    std::uint16_t front_port = 0;
    std::uint16_t ready_port = 0;
    std::uint16_t peer_port = 0;

    auto add(const std::string& host, const std::string& zone, const std::string& ip) -> void
    {
        this->entries.push_back({host, zone, ip});
    }

    auto choose_ports() -> void
    {
        std::vector<std::string> ips;
        for (const auto& one : this->entries) {
            ips.push_back(one.ip);
        }
        this->front_port = free_port(ips);
        do {
            this->ready_port = free_port(ips);
        } while (this->ready_port == this->front_port);
        do {
            this->peer_port = free_port(ips);
        } while (this->peer_port == this->front_port || this->peer_port == this->ready_port);
    }

    auto start(entry& one) -> void
    {
        const auto path = this->folder + "/" + one.host + ".json";
        std::ofstream(path) << this->settings(one);
        const auto log = this->folder + "/" + one.host + ".log";
        const auto pid = ::fork();
        if (pid == 0) {
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::setenv("REEDRAMP_BOOT", path.c_str(), 1);
            ::execl(this->binary.c_str(), this->binary.c_str(), static_cast<char*>(nullptr));
            ::_exit(127);
        }
        one.pid = pid;
        record.line("router started host=" + one.host + " pid=" + std::to_string(pid));
    }

    auto is_ready(const entry& one) const -> bool
    {
        const int fd = connect_to(one.ip, this->ready_port, 300);
        if (fd < 0) {
            return false;
        }
        send_all(fd, "GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        const auto answer = reader(fd).read(true, now_ms() + 1000);
        ::close(fd);
        return answer.whole && answer.status() == 200;
    }

    auto wait_until_ready(std::int64_t most_ms) const -> bool
    {
        const auto until = now_ms() + most_ms;
        for (const auto& one : this->entries) {
            while (!this->is_ready(one)) {
                if (now_ms() > until) {
                    return false;
                }
                sleep_ms(50);
            }
        }
        return true;
    }

    /// False if the process has ended by itself.
    static auto is_running(entry& one) -> bool
    {
        int how = 0;
        if (one.pid > 0 && ::waitpid(one.pid, &how, WNOHANG) == one.pid) {
            record.line("router ended host=" + one.host + " status=" + std::to_string(how));
            one.pid = -1;
        }
        return one.pid > 0;
    }

    static auto kill_and_wait(entry& one, int signal) -> void
    {
        if (one.pid > 0) {
            ::kill(one.pid, signal);
            ::waitpid(one.pid, nullptr, 0);
            one.pid = -1;
        }
    }

    auto end_all() -> void
    {
        for (auto& one : this->entries) {
            kill_and_wait(one, SIGKILL);
        }
    }

private:
    /// platform/settings.template.json, filled in as for a front machine of a small site.
    [[nodiscard]] auto settings(const entry& one) const -> std::string
    {
        const auto at = [&one](std::uint16_t port) {
            return "\"" + one.ip + ":" + std::to_string(port) + "\"";
        };
        std::string first;
        std::string zones;
        std::set<std::string> known;
        for (const auto& other : this->entries) {
            first += (first.empty() ? "\"" : ",\"") + other.ip + ":" +
                     std::to_string(this->peer_port) + "\"";
            if (known.insert(other.zone).second) {
                zones += (zones.empty() ? "\"" : ",\"") + other.zone + "\":\"region-1\"";
            }
        }
        return "{\"host\":\"" + one.host + "\",\"data_centre\":\"" + one.zone +
               "\",\"callers\":{\"listen\":" + at(this->front_port) +
               "},\"ready\":{\"listen\":" + at(this->ready_port) +
               "},\"peers\":{\"listen\":" + at(this->peer_port) + ",\"first\":[" + first +
               "]},\"shutdown\":{\"grace\":\"8 s\"},\"session_time\":\"5 "
               "s\",\"retries\":{\"ratio\":"
               "0.9,\"extra\":52,\"window\":\"10 s\"},\"rollouts\":{\"exposure\":0.15,"
               "\"exposure_slack\":30},\"deployment\":{\"features\":[\"base\",\"drain\",\"config\","
               "\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\","
               "\"rollout\"]},\"process\":{\"memory_mb\":110},\"regions\":{" +
               zones + "},\"store\":{\"address\":\"127.0.0.1:" + std::to_string(this->store_at) +
               "\"}}";
    }

    std::string binary;
    std::string folder;
    std::uint16_t store_at;
};

// ---- clients

struct answer {
    int status = 0;
    bool whole = false;
    std::string body;
    std::string seal;
    std::int64_t sent_at = 0;
    std::int64_t took_ms = 0;
};

using header_list = std::vector<std::pair<std::string, std::string>>;

inline auto request_text(
    const std::string& method,
    const std::string& path,
    const header_list& headers,
    const std::string& body) -> std::string
{
    std::string text = method + " " + path + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers) {
        text += name + ": " + value + "\r\n";
    }
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    return text + "\r\n" + body;
}

/// Sends one request on a new channel and waits for its answer.
inline auto
ask(const std::string& ip, std::uint16_t port, const std::string& text, std::int64_t most_ms)
    -> answer
{
    answer got;
    got.sent_at = now_ms();
    const int fd = connect_to(ip, port);
    if (fd >= 0) {
        send_all(fd, text);
        const auto read = reader(fd).read(true, now_ms() + most_ms);
        ::close(fd);
        got.status = read.first_line.empty() ? 0 : read.status();
        got.whole = read.whole;
        got.body = read.body;
        got.seal = read.header("X-Reedramp-Replica-Seal");
    }
    got.took_ms = now_ms() - got.sent_at;
    return got;
}

} // namespace stage
