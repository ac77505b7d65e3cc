#include "settings.hpp"

#include <limits>
#include <utility>

#include "object_reader.hpp"
#include "platform/http_hosts.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint64_t max_port = 65535;
constexpr std::uint64_t max_count = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t max_permille = 1000;

auto read_log(object_reader& reader, log_settings& result) -> void
{
    reader.number("port", result.port, 0, max_port);
    reader.number("appends_per_second", result.appends_per_second, 0, max_count);
    reader.number("kept_records", result.kept_records, 0, max_count);
}

auto read_host(object_reader& reader, hosts_settings& result) -> void
{
    std::map<std::string, std::string> fields{{"state", "live"}};
    for (const auto* name : {"host", "data_centre", "region", "role", "state", "rpc", "http"}) {
        reader.text(name, fields[name]);
    }
    auto parsed = platform::parse_host(boost::json::serialize(boost::json::value_from(fields)));
    if (!parsed) {
        reader.problem("host", parsed.error().detail);
        return;
    }
    result.initial.push_back(std::move(*parsed));
}

auto read_hosts(object_reader& reader, hosts_settings& result) -> void
{
    reader.number("port", result.port, 0, max_port);
    reader.number("lag_ms", result.lag_ms, 0, max_count);
    reader.objects("initial", [&result](object_reader& entry) { read_host(entry, result); });
}

auto read_ratings(object_reader& reader, ratings_settings& result) -> void
{
    reader.number("port", result.port, 0, max_port);
    reader.number("delay_ms", result.delay_ms, 0, max_count);
    reader.number("missing_permille", result.missing_permille, 0, max_permille);
    reader.real("noise", result.noise, 0.0, 1.0);
    reader.real("bad_score", result.bad_score, 0.0, 1.0);
    reader.each(
        "quality", [&reader, &result](std::string_view version, const boost::json::value& item) {
            const auto* tasks = item.if_object();
            if (tasks == nullptr) {
                reader.problem("quality." + std::string(version), "must be an object");
                return;
            }
            for (const auto& task : *tasks) {
                const std::string name(task.key());
                if (!task.value().is_number()) {
                    reader.problem(
                        "quality." + std::string(version) + "." + name, "must be a number");
                    continue;
                }
                result.quality[std::string(version)][name] = task.value().to_number<double>();
            }
        });
}

auto read_weights(object_reader& reader, weights_settings& result) -> void
{
    reader.number("port", result.port, 0, max_port);
    reader.number(
        "bytes_per_second", result.bytes_per_second, 1, std::numeric_limits<std::int64_t>::max());
    reader.number("longest_queue_ms", result.longest_queue_ms, 0, max_count);
}

auto read_engine(object_reader& reader, engine_settings& result) -> void
{
    reader.text("name", result.name);
    reader.number("port", result.port, 0, max_port);
    reader.texts("versions", result.versions);
    reader.number("slots", result.slots, 1, max_count);
    reader.number("queue_limit", result.queue_limit, 0, max_count);
    reader.number("prefill_us_per_token", result.prefill_us_per_token, 0, max_count);
    reader.number("decode_us_per_token", result.decode_us_per_token, 0, max_count);
    reader.number("load_ms", result.load_ms, 0, max_count);
    reader.number("load_lag_ms", result.load_lag_ms, 0, max_count);
    reader.number("cache_entries", result.cache_entries, 0, max_count);
    reader.flag("checks_fencing", result.checks_fencing);
    reader.flag("honours_resume", result.honours_resume);
    if (result.name.empty()) {
        reader.problem("name", "is required");
    }
    for (const auto& version : result.versions) {
        if (version.find_first_of("\"\\") != std::string::npos) {
            reader.problem("versions", "must not contain quotes or backslashes");
        }
    }
}

auto read_service(object_reader& reader, service_settings& result) -> void
{
    reader.text("name", result.name);
    reader.number("port", result.port, 0, max_port);
    reader.number("delay_us", result.delay_us, 0, max_count);
    if (result.name.empty()) {
        reader.problem("name", "is required");
    }
}

/// Returns a hook that reads an object into the optional, or into a new last element of the list.
template <typename Item>
auto reader_of(std::optional<Item>& result, void (*read)(object_reader&, Item&))
    -> object_reader::read_hook
{
    return [&result, read](object_reader& inner) {
        read(inner, result.emplace());
    };
}

template <typename Item>
auto reader_of(std::vector<Item>& result, void (*read)(object_reader&, Item&))
    -> object_reader::read_hook
{
    return [&result, read](object_reader& inner) {
        read(inner, result.emplace_back());
    };
}

} // namespace

auto parse_settings(std::string_view json_text)
    -> tl::expected<stand_in_settings, std::vector<settings::problem>>
{
    std::vector<settings::problem> problems;
    boost::system::error_code error;
    const auto parsed = boost::json::parse({json_text.data(), json_text.size()}, error);
    if (error || !parsed.is_object()) {
        problems.push_back({"$", "must be a JSON object"});
        return tl::unexpected(std::move(problems));
    }
    stand_in_settings parsed_settings;
    object_reader top(parsed.get_object(), "$", problems);
    top.text("address", parsed_settings.address);
    top.number("threads", parsed_settings.threads, 1, 64);
    top.number("seed", parsed_settings.seed, 0, std::numeric_limits<std::int64_t>::max());
    top.object("log", reader_of(parsed_settings.log, read_log));
    top.object("hosts", reader_of(parsed_settings.hosts, read_hosts));
    top.object("ratings", reader_of(parsed_settings.ratings, read_ratings));
    top.object("weights", reader_of(parsed_settings.weights, read_weights));
    top.objects("engines", reader_of(parsed_settings.engines, read_engine));
    top.objects("services", reader_of(parsed_settings.services, read_service));
    top.finish();
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return parsed_settings;
}

} // namespace reedramp::standin
