#include "settings.hpp"

#include <limits>
#include <utility>

#include "object_reader.hpp"
#include "platform/http_hosts.hpp"

namespace reedramp::standin {

namespace {

constexpr std::uint64_t highest_port = 65535;
constexpr std::uint64_t any_number = std::numeric_limits<std::uint32_t>::max();
constexpr std::uint64_t whole_permille = 1000;

auto read_log(object_reader& from, log_settings& into) -> void
{
    from.number("port", into.port, 0, highest_port);
    from.number("appends_per_second", into.appends_per_second, 0, any_number);
    from.number("kept_records", into.kept_records, 0, any_number);
}

auto read_host(object_reader& from, hosts_settings& into) -> void
{
    std::map<std::string, std::string> fields{{"state", "live"}};
    for (const auto* name : {"host", "data_centre", "region", "role", "state", "rpc", "http"}) {
        from.text(name, fields[name]);
    }
    auto parsed = platform::parse_host(boost::json::serialize(boost::json::value_from(fields)));
    if (!parsed) {
        from.problem("host", parsed.error().detail);
        return;
    }
    into.initial.push_back(std::move(*parsed));
}

auto read_hosts(object_reader& from, hosts_settings& into) -> void
{
    from.number("port", into.port, 0, highest_port);
    from.number("lag_ms", into.lag_ms, 0, any_number);
    from.objects("initial", [&into](object_reader& row) { read_host(row, into); });
}

auto read_ratings(object_reader& from, ratings_settings& into) -> void
{
    from.number("port", into.port, 0, highest_port);
    from.number("delay_ms", into.delay_ms, 0, any_number);
    from.number("missing_permille", into.missing_permille, 0, whole_permille);
    from.real("noise", into.noise, 0.0, 1.0);
    from.real("bad_score", into.bad_score, 0.0, 1.0);
    from.each("quality", [&from, &into](std::string_view version, const boost::json::value& item) {
        const auto* tasks = item.if_object();
        if (tasks == nullptr) {
            from.problem("quality." + std::string(version), "has to be an object");
            return;
        }
        for (const auto& task : *tasks) {
            const std::string name(task.key());
            if (!task.value().is_number()) {
                from.problem("quality." + std::string(version) + "." + name, "has to be a number");
                continue;
            }
            into.quality[std::string(version)][name] = task.value().to_number<double>();
        }
    });
}

auto read_weights(object_reader& from, weights_settings& into) -> void
{
    from.number("port", into.port, 0, highest_port);
    from.number(
        "bytes_per_second", into.bytes_per_second, 1, std::numeric_limits<std::int64_t>::max());
    from.number("longest_queue_ms", into.longest_queue_ms, 0, any_number);
}

auto read_engine(object_reader& from, engine_settings& into) -> void
{
    from.text("name", into.name);
    from.number("port", into.port, 0, highest_port);
    from.texts("versions", into.versions);
    from.number("slots", into.slots, 1, any_number);
    from.number("queue_limit", into.queue_limit, 0, any_number);
    from.number("prefill_us_per_token", into.prefill_us_per_token, 0, any_number);
    from.number("decode_us_per_token", into.decode_us_per_token, 0, any_number);
    from.number("load_ms", into.load_ms, 0, any_number);
    from.number("load_lag_ms", into.load_lag_ms, 0, any_number);
    from.number("cache_entries", into.cache_entries, 0, any_number);
    from.flag("checks_fencing", into.checks_fencing);
    from.flag("honours_resume", into.honours_resume);
    if (into.name.empty()) {
        from.problem("name", "has to be given");
    }
    for (const auto& version : into.versions) {
        if (version.find_first_of("\"\\") != std::string::npos) {
            from.problem("versions", "has to be without quotes and backslashes");
        }
    }
}

auto read_service(object_reader& from, service_settings& into) -> void
{
    from.text("name", into.name);
    from.number("port", into.port, 0, highest_port);
    from.number("delay_us", into.delay_us, 0, any_number);
    if (into.name.empty()) {
        from.problem("name", "has to be given");
    }
}

/// Hands each list item or optional object to its reader function.
template <typename Item>
auto reader_of(std::optional<Item>& into, void (*read)(object_reader&, Item&))
    -> object_reader::read_hook
{
    return [&into, read](object_reader& inner) {
        read(inner, into.emplace());
    };
}

template <typename Item>
auto reader_of(std::vector<Item>& into, void (*read)(object_reader&, Item&))
    -> object_reader::read_hook
{
    return [&into, read](object_reader& inner) {
        read(inner, into.emplace_back());
    };
}

} // namespace

auto parse_settings(std::string_view json_text)
    -> tl::expected<stand_in_settings, std::vector<settings::problem>>
{
    std::vector<settings::problem> problems;
    boost::system::error_code failed;
    const auto parsed = boost::json::parse({json_text.data(), json_text.size()}, failed);
    if (failed || !parsed.is_object()) {
        problems.push_back({"$", "has to be a JSON object"});
        return tl::unexpected(std::move(problems));
    }
    stand_in_settings made;
    object_reader top(parsed.get_object(), "$", problems);
    top.text("address", made.address);
    top.number("threads", made.threads, 1, 64);
    top.number("seed", made.seed, 0, std::numeric_limits<std::int64_t>::max());
    top.object("log", reader_of(made.log, read_log));
    top.object("hosts", reader_of(made.hosts, read_hosts));
    top.object("ratings", reader_of(made.ratings, read_ratings));
    top.object("weights", reader_of(made.weights, read_weights));
    top.objects("engines", reader_of(made.engines, read_engine));
    top.objects("services", reader_of(made.services, read_service));
    top.finish();
    if (!problems.empty()) {
        return tl::unexpected(std::move(problems));
    }
    return made;
}

} // namespace reedramp::standin
