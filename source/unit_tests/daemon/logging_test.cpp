#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <glog/logging.h>

#include "common/log.hpp"
#include "daemon/logging.hpp"

using namespace reedramp;

namespace {

class gathered_lines final : public google::LogSink {
public:
    gathered_lines() { google::AddLogSink(this); }

    ~gathered_lines() override { google::RemoveLogSink(this); }

    gathered_lines(const gathered_lines&) = delete;
    gathered_lines(gathered_lines&&) = delete;
    auto operator=(const gathered_lines&) -> gathered_lines& = delete;
    auto operator=(gathered_lines&&) -> gathered_lines& = delete;

    auto send(
        google::LogSeverity severity,
        const char* /*file*/,
        const char* /*base*/,
        int /*line*/,
        const google::LogMessageTime& /*when*/,
        const char* text,
        std::size_t size) -> void override
    {
        this->lines.push_back(std::to_string(severity) + " " + std::string{text, size});
    }

    std::vector<std::string> lines;
};

} // namespace

TEST_CASE("lines reach glog with their part's prefix, down to the lowest level asked for")
{
    gathered_lines gathered;
    daemon::start_logging("tool", daemon::parse_log_level("info"));
    common::log(common::log_part::place, common::log_level::debug, "unseen");
    common::log(common::log_part::place, common::log_level::info, "server=a");
    common::log(common::log_part::http, common::log_level::error, "failed");
    common::set_log_sink({});
    const std::vector<std::string> expected{"0 place: server=a", "2 http: failed"};
    // glog has a CHECK of its own.
    REQUIRE(gathered.lines == expected);
}
