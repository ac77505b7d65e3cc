#include <atomic>

#include "fixture.hpp"

using namespace reedramp;
using namespace reedramp::http;
using namespace reedramp::http::testing;
using namespace std::chrono_literals;

namespace {

enum class sender_then { waits, closes_sending_side };

struct bad_input {
    std::string name;
    std::string bytes;
    /// Start of the answer; empty when the connection closes without one.
    std::string answer;
    sender_then then = sender_then::waits;
};

const std::string post_head = "POST / HTTP/1.1\r\nHost: x\r\n";
const std::string refused = "HTTP/1.1 400 Bad Request\r\n";
const std::string timed_out = "HTTP/1.1 408 Request Timeout\r\n";
const std::string header_too_large = "HTTP/1.1 431 Request Header Fields Too Large\r\n";
const std::string body_too_large = "HTTP/1.1 413 Payload Too Large\r\n";

auto rows() -> std::vector<bad_input>
{
    using enum sender_then;
    const std::string chunked = post_head + "Transfer-Encoding: chunked\r\n\r\n";
    return {
        {"no HTTP", "hello\r\n\r\n", refused},
        {"binary", std::string("\x16\x03\x01\x02\x00\x01\x00\x01", 8) + "\r\n\r\n", refused},
        {"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", refused},
        {"no target", "GET HTTP/1.1\r\nHost: x\r\n\r\n", refused},
        {"line feeds alone", "GET / HTTP/1.1\nHost: x\n\n", refused},
        {"no Host", "GET / HTTP/1.1\r\n\r\n", refused},
        {"two Hosts", "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n", refused},
        {"space before colon", "GET / HTTP/1.1\r\nHost : x\r\n\r\n", refused},
        {"header without colon", "GET / HTTP/1.1\r\nHost: x\r\nnonsense\r\n\r\n", refused},
        {"NUL in a header",
         "GET / HTTP/1.1\r\nHost: x" + std::string(1, '\0') + "\r\n\r\n",
         refused},
        {"length no number", post_head + "Content-Length: ten\r\n\r\n", refused},
        {"length negative", post_head + "Content-Length: -1\r\n\r\n", refused},
        {"length overflows", post_head + "Content-Length: 99999999999999999999\r\n\r\n", refused},
        {"two lengths", post_head + "Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", refused},
        {"length and chunks",
         post_head + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         refused},
        {"chunks and length",
         post_head + "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
         refused},
        {"unknown coding", post_head + "Transfer-Encoding: gzip\r\n\r\n", refused},
        {"chunked not last", post_head + "Transfer-Encoding: chunked, gzip\r\n\r\n", refused},
        {"chunked twice",
         post_head + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         refused},
        {"chunked in HTTP/1.0",
         "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
         refused},
        {"chunk size no number", chunked + "zz\r\nab\r\n0\r\n\r\n", refused},
        {"chunk longer than said", chunked + "1\r\nabc\r\n0\r\n\r\n", refused},
        {"endless chunk extension", chunked + "1;" + std::string(4000, 'x'), header_too_large},
        {"header too large",
         "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a') + "\r\n\r\n",
         header_too_large},
        {"endless header",
         "GET / HTTP/1.1\r\nHost: x\r\nA: " + std::string(2000, 'a'),
         header_too_large},
        {"endless target", "GET /" + std::string(2000, 'a'), header_too_large},
        {"body too large by its length", post_head + "Content-Length: 101\r\n\r\n", body_too_large},
        {"chunks too large",
         chunked + "60\r\n" + std::string(0x60, 'a') + "\r\n60\r\n",
         body_too_large},
        {"input ends in the header", "GET / HT", refused, closes_sending_side},
        {"input ends in the body",
         post_head + "Content-Length: 10\r\n\r\nabc",
         refused,
         closes_sending_side},
        {"input ends in a chunk", chunked + "5\r\nab", refused, closes_sending_side},
        {"header never ends", "GET / HTTP/1.1\r\nHost: x\r\n", timed_out},
        {"body never ends", post_head + "Content-Length: 10\r\n\r\nabc", timed_out},
        {"nothing comes", "", ""},
        {"nothing comes, input ends", "", "", closes_sending_side},
    };
}

} // namespace

// What the caller sees: a coded answer, or a closed connection where HTTP has no answer. What HTTP
// forbids, or what does not arrive in time, must never start work: the handler is not called, and
// the server goes on serving others.
TEST_CASE("what is no whole request is refused and never handled")
{
    loop server_loop;
    std::atomic<int> handled{0};
    server_options options;
    options.header_limit_bytes = 1024;
    options.body_limit_bytes = 100;
    options.read_timeout = 150ms;
    const auto serving = open_server(
        {&server_loop.context},
        [&handled](const request&, const std::shared_ptr<responder>& out) {
            handled += 1;
            out->send({});
        },
        options);
    for (const auto& row : rows()) {
        INFO(row.name);
        raw_caller caller{address_of(*serving)};
        caller.send(row.bytes);
        if (row.then == sender_then::closes_sending_side) {
            caller.close_sending_side();
        }
        const auto answer = caller.read_to_end();
        CHECK(answer.substr(0, row.answer.size()) == row.answer);
        CHECK(answer.empty() == row.answer.empty());
        CHECK((answer.empty() || answer.find(R"("execution":"not_run")") != std::string::npos));
        CHECK((answer.empty() || answer.find("Connection: close\r\n") != std::string::npos));
        CHECK(handled == 0);
    }
    loop client_loop;
    CHECK(fetch(*client::create(client_loop.context, {}), address_of(*serving), get("/")));
}

TEST_CASE("a whole request before a broken one is answered, and each pipelined one in its turn")
{
    loop server_loop;
    const auto serving = open_server(
        {&server_loop.context}, [](const request& asked, const std::shared_ptr<responder>& out) {
            out->send({200, {}, asked.target + asked.body});
        });
    raw_caller caller{address_of(*serving)};
    caller.send("GET /one HTTP/1.1\r\nHost: x\r\n\r\n"
                "POST /two HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n"
                "2\r\nab\r\n1;e=1\r\nc\r\n0\r\nTrailer: t\r\n\r\n"
                "HEAD /three HTTP/1.1\r\nHost: x\r\n\r\n"
                "nonsense\r\n\r\n");
    const auto answers = caller.read_to_end();
    const auto one = answers.find("\r\n\r\n/one");
    const auto two = answers.find("\r\n\r\n/twoabc");
    const auto three = answers.find("Content-Length: 6\r\n\r\nHTTP/1.1 400");
    CHECK(one != std::string::npos);
    CHECK(one < two);
    CHECK(two < three);
    CHECK(three != std::string::npos);
}
