#include "http/connection_check.hpp"

#include "fixture.hpp"

using namespace reedramp::http;
using namespace reedramp::http::testing;

namespace {

auto listens_at(loop& on, const endpoint& where) -> bool
{
    std::promise<bool> answer;
    check_connection(on.context, where, std::chrono::seconds{5}, [&answer](bool listens) {
        answer.set_value(listens);
    });
    return answer.get_future().get();
}

} // namespace

TEST_CASE("a connection check tells a server that listens from one that has ended")
{
    loop on;
    auto server = open_server({&on.context}, [](const request&, const auto&) {});
    const auto where = address_of(*server);
    CHECK(listens_at(on, where));
    CHECK(!listens_at(on, {"no address", 1}));
    // Its port is free again once the loop has closed the listener.
    server->close_listener();
    std::promise<void> closed;
    boost::asio::post(on.context, [&closed] { closed.set_value(); });
    closed.get_future().get();
    CHECK(!listens_at(on, where));
}
