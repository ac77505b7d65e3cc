#include "settings.hpp"

#include "daemon/logging.hpp"
#include "settings/keys.hpp"

namespace reedramp::router_program {

using settings::address_key;
using settings::text_key;
using settings::time_key;

namespace {

auto overload_keys() -> settings::schema
{
    return {
        {.path = "overload.control",
         .type = settings::value_type::text,
         .doc = "Decisions for times when callers compete for too little capacity: off, on, or "
                "automatic (where the deployment's features say so, or servers state their present "
                "speed).",
         .fallback = std::string{"automatic"}},
        {.path = "overload.admission",
         .type = settings::value_type::boolean,
         .doc = "Under overload control, also hold, defer and refuse requests while capacity is "
                "scarce.",
         .fallback = false},
        {.path = "deployment.features",
         .type = settings::value_type::text_list,
         .doc = "Words with which the platform describes the deployment.",
         .fallback = settings::text_list{}},
        {.path = "process.memory_mb",
         .type = settings::value_type::real,
         .doc = "Memory of this process, in MB; 0 if unlimited.",
         .fallback = 0.0,
         .lowest = 0.0,
         .highest = 1e9},
        {.path = "overload.held_memory",
         .type = settings::value_type::real,
         .doc = "Share of process.memory_mb that may hold data for callers and servers that read "
                "slowly. Beyond it, streams are given up and new requests refused.",
         .fallback = 0.25,
         .lowest = 0.01,
         .highest = 1.0},
        {.path = "overload.request_memory",
         .type = settings::value_type::real,
         .doc =
             "Share of process.memory_mb that requests may hold, from their first byte until they "
             "are answered. Beyond it, new ones are refused before their bodies are read.",
         .fallback = 0.25,
         .lowest = 0.01,
         .highest = 1.0},
    };
}

auto read_overload(const settings::values& values, router_settings& read) -> common::result<void>
{
    const auto mode = overload::parse_control_mode(values.text("overload.control"));
    if (!mode) {
        return common::failure(
            common::result_code::invalid_settings, "overload.control is not off, on or automatic");
    }
    read.router.overload.mode = *mode;
    read.router.overload.admits_by_room = values.boolean("overload.admission");
    read.features = values.texts("deployment.features");
    constexpr double bytes_per_mb = 1e6;
    read.memory_mb = values.real("process.memory_mb");
    const auto memory_bytes = read.memory_mb * bytes_per_mb;
    read.router.streams.held.budget =
        static_cast<std::size_t>(memory_bytes * values.real("overload.held_memory"));
    read.request_memory_bytes =
        static_cast<std::size_t>(memory_bytes * values.real("overload.request_memory"));
    return {};
}

} // namespace

auto settings_schema() -> settings::schema
{
    settings::schema keys{
        text_key("host", "Name of this host, the same over restarts of the process."),
        text_key("data_centre", "Data centre of this host."),
        address_key("callers.listen", "Where callers connect."),
        address_key("ready.listen", "Where the balancer asks whether callers may be sent here."),
        address_key(
            "peers.listen", "Where this entry receives other entries' messages (UDP and TCP)."),
        {.path = "peers.first",
         .type = settings::value_type::address_list,
         .doc = "Entries to contact first; the port is not used.",
         .fallback = settings::text_list{}},
        time_key("peers.period", "Interval of reports to other entries.", 100, 10),
        address_key("store.address", "The platform's store."),
        time_key(
            "store.servers_period",
            "Interval of readings of the server list, over all entries.",
            1000,
            50),
        time_key(
            "store.registration_period",
            "Interval at which backend servers register again; 0 if unknown.",
            0,
            0),
        time_key("shutdown.grace", "From SIGTERM until the process is killed.", 8000, 1000),
        time_key(
            "shutdown.balancer",
            "From SIGTERM until the balancer has noticed; the process accepts requests until then.",
            3000),
        time_key("session_time", "Longest time between two requests of a session.", 5000),
        settings::number_key(
            "models.accepted_confidence",
            "Least confidence at which a small model's answer is forwarded, on the most urgent "
            "routes.",
            routing::model_options{}.accepted_confidence,
            0,
            101),
        {.path = "placement.affinity_patience",
         .type = settings::value_type::real,
         .doc = "Extra work accepted at a server with the prompt's parts, in units of the work "
                "that it "
                "saves.",
         .fallback = routing::choice_options{}.affinity_patience,
         .lowest = 0.0,
         .highest = 100.0},
        {.path = "placement.distance_work",
         .type = settings::value_type::real,
         .doc = "Work, in tokens, that a request to another data centre must save.",
         .fallback = routing::choice_options{}.distance_work,
         .lowest = 0.0,
         .highest = 1e9},
        {.path = "models.short_from",
         .type = settings::value_type::real,
         .doc = "Callers' mean wait for a first event, as a share of its target, above which less "
                "confidence is required.",
         .fallback = routing::model_options{}.scarcity_from,
         .lowest = 0.0,
         .highest = 10.0},
        {.path = "models.short_to",
         .type = settings::value_type::real,
         .doc = "The same, above which any confidence is enough; above models.short_from.",
         .fallback = routing::model_options{}.scarcity_to,
         .lowest = 0.01,
         .highest = 10.0},
        {.path = "rollouts.exposure",
         .type = settings::value_type::real,
         .doc =
             "Share of a service's requests, over a roll-out's time, that a bad version may get.",
         .fallback = 0.15,
         .lowest = 0.01,
         .highest = 0.5},
        {.path = "rollouts.exposure_slack",
         .type = settings::value_type::real,
         .doc = "Requests that a bad version may get in addition to that share.",
         .fallback = 0.0,
         .lowest = 0.0,
         .highest = 1e6},
        {.path = "regions",
         .type = settings::value_type::text_map,
         .doc = "Region of each data centre, for rules that name the regions of their requests.",
         .fallback = settings::text_map{}},
        {.path = "cold.excess",
         .type = settings::value_type::real,
         .doc =
             "Requests per second that a cold server gets, over all entries, in multiples of its "
             "service's rate.",
         .fallback = routing::server_limiter_options{}.cold_excess,
         .lowest = 0.01,
         .highest = 100.0},
        {.path = "cold.slack",
         .type = settings::value_type::real,
         .doc = "Requests per second that it gets in addition.",
         .fallback = routing::server_limiter_options{}.cold_slack,
         .lowest = 0.0,
         .highest = 1e6},
        {.path = "retries.ratio",
         .type = settings::value_type::real,
         .doc = "Retries allowed to a service per request, over all entries, in any window.",
         .fallback = placement::retry_budget_settings{}.ratio,
         .lowest = 0.0,
         .highest = 10.0},
        {.path = "retries.extra",
         .type = settings::value_type::real,
         .doc = "Retries allowed in addition in any window, over all entries.",
         .fallback = placement::retry_budget_settings{}.extra,
         .lowest = 0.0,
         .highest = 1e6},
        time_key("retries.window", "The window of these.", 10'000, 100),
    };
    for (auto& key : overload_keys()) {
        keys.push_back(std::move(key));
    }
    for (auto& key : daemon::logging_keys()) {
        keys.push_back(std::move(key));
    }
    return keys;
}

auto read_settings(const settings::values& values) -> common::result<router_settings>
{
    router_settings read;
    const auto address = [&values](std::string_view path) {
        return *http::parse_endpoint(values.text(path));
    };
    read.host = common::host_id{values.text("host")};
    read.data_centre = common::data_centre_id{values.text("data_centre")};
    read.callers = address("callers.listen");
    read.ready = address("ready.listen");
    read.peers = address("peers.listen");
    read.store = address("store.address");
    for (const auto& first : values.texts("peers.first")) {
        const auto where = http::parse_endpoint(first);
        if (where) {
            read.first_peers.push_back({where->address, read.peers.port});
        }
    }
    read.grace = values.milliseconds("shutdown.grace");
    read.balancer_time = values.milliseconds("shutdown.balancer");
    read.peer_period = values.milliseconds("peers.period");
    read.follower.registration_period = values.milliseconds("store.registration_period");
    read.router.freshness.period = values.milliseconds("store.servers_period");
    // Covers one lost datagram and the response to a query.
    constexpr std::chrono::milliseconds forward_wait{300};
    read.router.freshness.forward_wait = forward_wait;
    read.router.data_centre = read.data_centre;
    for (const auto& [data_centre, region] : values.map("regions")) {
        read.router.regions[common::data_centre_id{data_centre}] = common::region_id{region};
    }
    read.router.limiter.cold_excess = values.real("cold.excess");
    read.router.limiter.cold_slack = values.real("cold.slack");
    read.router.rollout.session_time = values.milliseconds("session_time");
    // Share of the first half, which uses three fifths of the exposure that a bad version may get.
    // The rest is for requests in flight, and those sent until the version is found bad.
    constexpr double first_half_part = 1.2;
    read.router.rollout.schedule.first_share = values.real("rollouts.exposure") * first_half_part;
    read.router.rollout.exposure_slack = values.real("rollouts.exposure_slack");
    read.router.retries = {
        values.real("retries.ratio"),
        values.real("retries.extra"),
        values.milliseconds("retries.window")};
    read.router.models.accepted_confidence =
        static_cast<unsigned>(values.integer("models.accepted_confidence"));
    read.router.choice.affinity_patience = values.real("placement.affinity_patience");
    read.router.choice.distance_work = values.real("placement.distance_work");
    read.router.models.scarcity_from = values.real("models.short_from");
    read.router.models.scarcity_to = values.real("models.short_to");
    if (read.router.models.scarcity_to <= read.router.models.scarcity_from) {
        return common::failure(
            common::result_code::invalid_settings, "models.short_to is not above short_from");
    }
    if (const auto problem = read_overload(values, read); !problem) {
        return tl::unexpected(problem.error());
    }
    return read;
}

} // namespace reedramp::router_program
