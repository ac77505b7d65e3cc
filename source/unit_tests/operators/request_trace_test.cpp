#include "operators/request_trace.hpp"

#include <boost/json.hpp>
#include <catch2/catch.hpp>

namespace reedramp::operators {

namespace {

/// Parses lines as entries write them to their logs.
auto logs_of(const std::vector<std::string>& texts) -> std::vector<log_line>
{
    std::vector<log_line> lines;
    for (const auto& text : texts) {
        auto parsed = parse_log_line(text);
        REQUIRE(parsed);
        lines.push_back(std::move(*parsed));
    }
    return lines;
}

struct trace_row {
    const char* what;
    std::vector<std::string> lines;
    std::string end;
    /// Text that the cause must contain.
    std::string cause_part;
};

} // namespace

TEST_CASE("a log line is parsed into its parts", "[request_story]")
{
    const auto line = parse_log_line(
        "I 1700000000.250 place: attempt lost request=r1 server=i-7 run=unknown detail=read: "
        "Connection reset by peer");
    REQUIRE(line);
    CHECK(line->level == 'I');
    CHECK(line->time == 1700000000.250);
    CHECK(line->component == "place");
    CHECK(line->message == "attempt lost");
    CHECK(line->field("server") == "i-7");
    CHECK(line->field("detail") == "read: Connection reset by peer");
    CHECK(line->field("none").empty());
    for (const auto* bad :
         {"", "I", "I place: sent", "I 12 place", "II 12 place: x", "I x place: y"}) {
        INFO(bad);
        CHECK_FALSE(parse_log_line(bad));
    }
}

TEST_CASE("the end of a request and its cause are derived from its lines", "[request_story]")
{
    const std::string sent =
        "I 10.000 place: sent request=r1 route=drafts server=a version=v1 send=1";
    const std::vector<trace_row> rows{
        {"served",
         {sent, "I 11.000 entry: ended request=r1 how=served sends=1 ms=1000"},
         "served",
         "server a of version v1"},
        {"refused",
         {"I 10.000 entry: refused request=r1 why=shutting_down"},
         "shutting_down",
         "before it was sent"},
        {"unknown outcome",
         {sent,
          "I 10.500 place: attempt lost request=r1 server=a run=unknown detail=reset",
          "I 10.500 entry: ended request=r1 how=outcome_unknown sends=1 ms=500"},
         "outcome_unknown",
         "server a was lost (reset)"},
        {"broken stream",
         {sent,
          "I 11.200 place: stalled request=r1 server=a",
          "I 11.200 place: sent request=r1 route=drafts server=b version=v1 send=2 after_event=4",
          "W 11.900 place: answer not trusted request=r1 server=b status=200",
          "I 11.900 entry: ended request=r1 how=stream_broken sends=2 ms=1900"},
         "stream_broken",
         "server b sent an answer that failed verification"},
        {"full",
         {sent,
          "I 10.100 place: server refused request=r1 server=a status=503",
          "I 10.100 entry: ended request=r1 how=no_capacity sends=1 ms=100"},
         "no_capacity",
         "server a refused it, status 503"},
        {"caller left",
         {sent, "I 10.100 entry: ended request=r1 how=caller_left sends=1 ms=100"},
         "caller_left",
         "the caller"},
        {"entry killed", {sent}, "unknown", "the entry stopped before the request ended"},
    };
    for (const auto& row : rows) {
        INFO(row.what);
        auto lines = logs_of(row.lines);
        lines.push_back(*parse_log_line("I 10.000 entry: ended request=r2 how=served sends=1"));
        const auto trace = build_request_trace("r1", lines);
        REQUIRE(trace);
        CHECK(trace->lines.size() == row.lines.size());
        CHECK(trace->end == row.end);
        INFO(trace->cause);
        CHECK(trace->cause.find(row.cause_part) != std::string::npos);
    }
    CHECK(
        build_request_trace("r9", logs_of({sent})).error().code == common::result_code::not_found);
}

TEST_CASE(
    "the trace of a request that crashes servers includes its other attempts", "[request_story]")
{
    // The caller has the id of its last attempt only, which was refused immediately. The reason is
    // in log lines of other entries about attempts with other ids and the same fingerprint.
    const auto lines = logs_of(
        {"I 10.000 place: attempt lost request=r1 print=00ab server=a after_ms=60 detail=reset",
         "I 11.000 place: attempt lost request=r2 print=00ab server=b after_ms=50 detail=reset",
         "I 11.100 place: attempt lost request=r7 print=00cd server=b after_ms=50 detail=reset",
         "W 12.500 place: request barred print=00ab crashes=3 others=0",
         "W 12.510 place: request barred print=00cd told_by=h",
         "I 13.000 entry: refused request=r3 why=ends_servers print=00ab"});
    const auto trace = build_request_trace("r3", lines);
    REQUIRE(trace);
    CHECK(trace->end == "ends_servers");
    INFO(trace->cause);
    CHECK(
        trace->cause.find("attempts with the same fingerprint were lost at servers a, b") !=
        std::string::npos);
    CHECK(trace->lines.size() == 4);
}

TEST_CASE(
    "the trace states the organisation, the rank and why a small model answered", "[request_story]")
{
    // Without them, an operator can't see from the trace who gave way to whom under overload.
    const auto lines = logs_of(
        {"I 10.000 place: sent request=r1 organisation=north rank=2 server=a version=v1 send=1 "
         "excess=1.80",
         "I 10.400 policy: answer accepted request=r1 organisation=north rank=2 model=s "
         "confidence=40 asked=30 pressure=1.20",
         "I 11.000 entry: ended request=r1 how=served organisation=north rank=2 sends=1"});
    const auto trace = build_request_trace("r1", lines);
    REQUIRE(trace);
    CHECK(trace->organisation == "north");
    CHECK(trace->rank == "2");
    CHECK(
        trace->cause.find("model s was passed on: its confidence was 40, 30 was required at a "
                          "pressure of 1.20") != std::string::npos);
    CHECK(trace->cause.find("used 1.80 times its fair share") != std::string::npos);
    CHECK(trace_text(*trace).find("organisation north\nrank 2\n") != std::string::npos);
    const auto refusal = build_request_trace(
        "r2",
        logs_of(
            {"I 10.000 entry: refused request=r2 why=shutting_down organisation=north rank=0"}));
    REQUIRE(refusal);
    CHECK(refusal->organisation == "north");
    CHECK(refusal->rank == "0");
}

TEST_CASE("the trace states why a request was delayed or refused", "[request_story]")
{
    // Guards against a refusal that operators can't tell from a service without servers.
    const auto refused = build_request_trace(
        "r1",
        logs_of(
            {"I 10.000 policy: refused request=r1 why=scarcity rank=2 pressure=2.50 "
             "expected_ms=9000 retry_after_ms=700",
             "I 10.000 entry: ended request=r1 how=no_capacity rank=2 sends=0"}));
    REQUIRE(refused);
    CHECK(refused->end == "no_capacity");
    CHECK(
        refused->cause.find("refused for \"scarcity\" at a pressure of 2.50, with its end expected "
                            "after 9000 ms.") != std::string::npos);
    const auto delayed = build_request_trace(
        "r1",
        logs_of(
            {"I 10.000 policy: deferred request=r1 why=share pressure=1.50 expected_ms=4000",
             "I 10.000 place: sent request=r1 server=a version=v1 send=1",
             "I 14.000 entry: ended request=r1 how=served sends=1"}));
    REQUIRE(delayed);
    CHECK(delayed->cause.find("deferred for \"share\"") != std::string::npos);
}

TEST_CASE("lines of several entries are ordered by time", "[request_story]")
{
    // The entry of the request was killed, and another entry continued the request.
    const auto lines = logs_of(
        {"I 14.000 entry: ended request=r1 how=served sends=1 ms=900",
         "I 13.100 place: sent request=r1 server=b version=v1 send=1 after_event=7",
         "I 10.000 place: sent request=r1 server=a version=v1 send=1 after_event=-1"});
    const auto trace = build_request_trace("r1", lines);
    REQUIRE(trace);
    CHECK(trace->lines.front().field("server") == "a");
    CHECK(trace->cause.find("server b") != std::string::npos);
    const auto text = trace_text(*trace);
    CHECK(text.find("10.000") < text.find("13.100"));
    const auto parsed = boost::json::parse(trace_json(*trace));
    CHECK(parsed.at("end").as_string() == "served");
    CHECK(parsed.at("lines").as_array().size() == 3);
}

} // namespace reedramp::operators
