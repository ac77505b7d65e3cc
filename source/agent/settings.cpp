#include "settings.hpp"

#include "daemon/logging.hpp"
#include "daemon/secret.hpp"
#include "settings/keys.hpp"

namespace reedramp::agent_program {

using settings::address_key;
using settings::bytes_key;
using settings::number_key;
using settings::optional_text_key;
using settings::text_key;
using settings::time_key;
using settings::value_type;

namespace {

auto identity_keys() -> settings::schema
{
    return {
        text_key("server", "Id of the backend server in the inventory."),
        text_key("host", "Id of this host in the platform's list of hosts."),
        text_key("data_centre", "Data centre of this host."),
        number_key("threads", "Threads for HTTP and timers; RPC uses one more.", 2, 1, 64),
        number_key(
            "tailers",
            "Minimum number of processes per data centre that read the log; otherwise one in 16.",
            2,
            1,
            64),
    };
}

auto address_keys() -> settings::schema
{
    auto key_file = optional_text_key(
        "rpc.shared_key_file",
        "File with the key shared by all processes of the system; if empty, the environment "
        "variable REEDRAMP_SHARED_KEY is used.");
    auto weights = optional_text_key(
        "platform.weights",
        "Address of the platform's weight store; if empty, the engine gets no orders to load or "
        "unload.");
    return {
        address_key("rpc.listen", "Address for RPC from entries and peers."),
        key_file,
        address_key("http.listen", "Address for health checks, metrics and drain."),
        address_key("backend.address", "Address of the model engine or plain service."),
        address_key("platform.log", "Address of the platform's log."),
        address_key("platform.hosts", "Address of the platform's list of hosts."),
        weights,
        {.path = "operators.key_hashes",
         .type = value_type::text_list,
         .doc = "SHA-256 hashes (hexadecimal) of the operator keys that may drain.",
         .fallback = settings::text_list{}},
    };
}

auto queue_keys() -> settings::schema
{
    constexpr double max_count = 1e6;
    constexpr double max_tokens = 1e9;
    return {
        number_key(
            "backend.slots",
            "Maximum number of concurrent requests to the backend server.",
            8,
            1,
            max_count),
        number_key(
            "backend.cost_limit",
            "Maximum total cost of running requests: their expected completion tokens plus a "
            "sixteenth of their prompt tokens; 0 for no limit.",
            0,
            0,
            max_tokens),
        time_key(
            "backend.idle_timeout", "Maximum time without data from the backend server.", 60'000),
        number_key(
            "queue.limit",
            "Maximum number of queued requests; more are refused.",
            256,
            0,
            max_count),
        number_key(
            "queue.run_margin",
            "Time that a queued request needs before its deadline, as a multiple of its expected "
            "run time.",
            3,
            1,
            20),
        number_key(
            "queue.expected_token_rate",
            "Expected tokens per second of one request, until the first requests have finished.",
            50,
            1,
            max_count),
    };
}

auto record_and_shutdown_keys() -> settings::schema
{
    constexpr double max_weight_bytes = 1e13;
    auto weights = number_key(
        "orders.weight_bytes",
        "Size of a version's weights, fetched for a load.",
        1 << 30U,
        0,
        max_weight_bytes);
    weights.unit = "bytes";
    return {
        time_key(
            "records.window", "How long the record of an ended request is kept.", 900'000, 1000),
        number_key("records.limit", "Maximum number of records for new requests.", 100'000, 1, 1e8),
        bytes_key("records.kept_answers", "Total size of kept at-most-once answers.", 16 << 20U),
        bytes_key("records.kept_answer", "Maximum size of one kept answer.", 1 << 20U),
        time_key(
            "configuration.catch_up",
            "How long a request waits for a configuration that its entry has.",
            2000),
        time_key("platform.log_timeout", "Maximum time without data from the log.", 5000),
        time_key(
            "registration.limit",
            "Time limit of the registration; after it the agent uses a random incarnation.",
            3000),
        weights,
        time_key("drain.limit", "Time limit of a drain; runs that are left after it fail.", 60'000),
        time_key(
            "drain.linger", "How long outcome queries are answered after the last run.", 1000, 0),
    };
}

auto endpoint_of(const settings::values& from, std::string_view path) -> http::endpoint
{
    // The schema has already validated the address.
    return http::parse_endpoint(from.text(path)).value_or(http::endpoint{});
}

auto make_core_options(const settings::values& from) -> agent::core_options
{
    agent::core_options options;
    options.server = common::server_id{from.text("server")};
    auto& queue = options.queue;
    queue.capacity.slots = from.size("backend.slots");
    queue.capacity.tokens = common::token_count{from.size("backend.cost_limit")};
    queue.max_queued = from.size("queue.limit");
    queue.run_margin = static_cast<double>(from.integer("queue.run_margin"));
    queue.expected_stream_rate = static_cast<double>(from.integer("queue.expected_token_rate"));
    options.record_window = from.milliseconds("records.window");
    options.record_limit = from.size("records.limit");
    options.kept_answers_limit = from.size("records.kept_answers");
    options.kept_answer_limit = from.size("records.kept_answer");
    options.configuration_wait_limit = from.milliseconds("configuration.catch_up");
    return options;
}

} // namespace

auto settings_schema() -> settings::schema
{
    settings::schema all;
    for (const auto& part :
         {identity_keys(),
          address_keys(),
          queue_keys(),
          record_and_shutdown_keys(),
          daemon::logging_keys()}) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

auto read_settings(const settings::values& from) -> common::result<agent_settings>
{
    auto key = daemon::read_secret(from.text("rpc.shared_key_file"), daemon::shared_key_variable);
    if (!key) {
        return tl::unexpected(key.error());
    }
    agent_settings result;
    result.server = common::server_id{from.text("server")};
    result.host = common::host_id{from.text("host")};
    result.data_centre = common::data_centre_id{from.text("data_centre")};
    result.rpc = endpoint_of(from, "rpc.listen");
    result.http = endpoint_of(from, "http.listen");
    result.shared_key = std::move(*key);
    result.backend = endpoint_of(from, "backend.address");
    result.log = endpoint_of(from, "platform.log");
    result.hosts = endpoint_of(from, "platform.hosts");
    result.operator_key_hashes = from.texts("operators.key_hashes");
    result.threads = from.size("threads");
    result.tailers = from.size("tailers");
    result.backend_idle_timeout = from.milliseconds("backend.idle_timeout");
    result.log_timeout = from.milliseconds("platform.log_timeout");
    result.registration_limit = from.milliseconds("registration.limit");
    result.drain_limit = from.milliseconds("drain.limit");
    result.drain_linger = from.milliseconds("drain.linger");
    if (const auto& text = from.text("platform.weights"); !text.empty()) {
        result.weights = http::parse_endpoint(text);
        if (!result.weights) {
            return common::failure(
                common::result_code::invalid_settings,
                "$.platform.weights: has to be an address like 127.0.0.1:8080");
        }
    }
    result.weight_bytes = from.size("orders.weight_bytes");
    result.core = make_core_options(from);
    return result;
}

} // namespace reedramp::agent_program
