#include <thread>
#include <vector>

#include <catch2/catch.hpp>

#include "metrics/registry.hpp"

using namespace reedramp::metrics;

namespace {

auto has_line(const std::string& text, const std::string& line) -> bool
{
    return ("\n" + text).find("\n" + line + "\n") != std::string::npos;
}

} // namespace

TEST_CASE("quantiles stay within a bucket's width of the exact value")
{
    histogram values{{1.0, 1e6, 20}};
    for (int number = 1; number <= 10000; number += 1) {
        values.record(number);
    }
    const auto taken = values.read();
    CHECK(taken.count == 10000);
    CHECK(taken.sum == Approx(50005000.0));
    for (const double part : {0.1, 0.5, 0.9, 0.99}) {
        CHECK(taken.quantile(part) == Approx(part * 10000).epsilon(0.13));
    }
}

TEST_CASE("values outside the range are counted, not lost")
{
    histogram values{{1.0, 100.0, 5}};
    for (const double value : {-3.0, 0.0, 0.5, 50.0, 1e9}) {
        values.record(value);
    }
    const auto taken = values.read();
    CHECK(taken.buckets.front().cumulative == 3);
    CHECK(taken.buckets.back().cumulative == 5);
    CHECK(taken.quantile(0.0) == 1.0);
    CHECK(taken.quantile(1.0) == Approx(100.0));
    CHECK(histogram{{1.0, 100.0, 5}}.read().quantile(0.5) == 0.0);
}

TEST_CASE("no count is lost when threads record and read together")
{
    registry all;
    constexpr std::uint64_t each = 20000;
    std::vector<std::thread> threads;
    for (int number = 0; number < 4; number += 1) {
        threads.emplace_back([&all] {
            for (std::uint64_t count = 0; count < each; count += 1) {
                all.counter_of("reedramp_requests_total", "Requests.").add();
                all.histogram_of("reedramp_wait_us", "Wait.").record(10.0);
            }
        });
    }
    all.gauge_of("reedramp_open", "Open.").set(1);
    const auto while_recording = all.prometheus_text();
    for (auto& thread : threads) {
        thread.join();
    }
    CHECK_FALSE(while_recording.empty());
    CHECK(all.counter_of("reedramp_requests_total", "").value() == 4 * each);
    CHECK(all.histogram_of("reedramp_wait_us", "").read().count == 4 * each);
}

TEST_CASE("the Prometheus text escapes labels, cumulates buckets and names each kind")
{
    registry all;
    all.counter_of("reedramp_answers_total", "Answers.", {{"code", "a\"b\\c\nd"}}).add(3);
    all.gauge_of("reedramp_open", "Open.").set(-2);
    auto& wait = all.histogram_of("reedramp_wait", "Wait.", {{"part", "x"}}, {1.0, 100.0, 2});
    wait.record(2.0);
    wait.record(50.0);
    const auto text = all.prometheus_text();
    for (const auto* line :
         {"# TYPE reedramp_answers_total counter",
          "reedramp_answers_total{code=\"a\\\"b\\\\c\\nd\"} 3",
          "# TYPE reedramp_open gauge",
          "reedramp_open -2",
          "# TYPE reedramp_wait histogram",
          "reedramp_wait_bucket{part=\"x\",le=\"1\"} 0",
          "reedramp_wait_bucket{part=\"x\",le=\"100\"} 2",
          "reedramp_wait_bucket{part=\"x\",le=\"+Inf\"} 2",
          "reedramp_wait_sum{part=\"x\"} 52",
          "reedramp_wait_count{part=\"x\"} 2"}) {
        INFO(line << "\n" << text);
        CHECK(has_line(text, line));
    }
    CHECK_THROWS_AS(all.gauge_of("reedramp_wait", ""), std::logic_error);
}
