#include "daemon/logging.hpp"

#include <array>
#include <string>
#include <utility>

#include <glog/logging.h>

namespace reedramp::daemon {

namespace {

constexpr std::array<std::pair<std::string_view, common::log_level>, 4> level_names{{
    {"debug", common::log_level::debug},
    {"info", common::log_level::info},
    {"warning", common::log_level::warning},
    {"error", common::log_level::error},
}};

auto severity_of(common::log_level level) -> google::LogSeverity
{
    switch (level) {
    case common::log_level::debug:
    case common::log_level::info:
        return google::GLOG_INFO;
    case common::log_level::warning:
        return google::GLOG_WARNING;
    case common::log_level::error:
        return google::GLOG_ERROR;
    }
    return google::GLOG_ERROR;
}

} // namespace

auto start_logging(const char* program_name, common::log_level lowest) -> void
{
    FLAGS_logtostderr = true;
    google::InitGoogleLogging(program_name);
    common::set_log_sink([lowest](common::log_level level, std::string_view line) {
        if (level < lowest) {
            return;
        }
        // The place in the source would always be this one; the line's prefix names the part.
        google::LogMessage("reedramp", 0, severity_of(level)).stream() << line;
    });
}

auto parse_log_level(std::string_view text) -> common::log_level
{
    for (const auto& [name, level] : level_names) {
        if (name == text) {
            return level;
        }
    }
    return common::log_level::info;
}

auto logging_keys() -> settings::schema
{
    settings::text_list names;
    for (const auto& [name, level] : level_names) {
        names.emplace_back(name);
    }
    return {
        {.path = "log.level",
         .type = settings::value_type::text,
         .doc = "Lines below this level are dropped.",
         .fallback = std::string{"info"},
         .choices = names},
    };
}

} // namespace reedramp::daemon
