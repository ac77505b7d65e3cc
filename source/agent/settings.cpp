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
        text_key("server", "Id of the backend server, as in the inventory."),
        text_key("host", "Id of this host, as in the platform's list."),
        text_key("data_centre", "Data centre of this host."),
        number_key("threads", "Threads for HTTP and timers; RPC has one more.", 2, 1, 64),
        number_key(
            "tailers",
            "Least number of processes of a data centre that read the log; one in 16 does.",
            2,
            1,
            64),
    };
}

auto address_keys() -> settings::schema
{
    auto key_file = optional_text_key(
        "rpc.shared_key_file",
        "File of the key that all processes of the system share; empty: REEDRAMP_SHARED_KEY.");
    auto weights = optional_text_key(
        "platform.weights",
        "The platform's weight store; empty: the engine gets no orders to load or unload.");
    return {
        address_key("rpc.listen", "Where entries and peers call."),
        key_file,
        address_key("http.listen", "Health, metrics and drain."),
        address_key("backend.address", "The model engine or plain service."),
        address_key("platform.log", "The platform's log."),
        address_key("platform.hosts", "The platform's list of hosts."),
        weights,
        {.path = "operators.key_hashes",
         .type = value_type::text_list,
         .doc = "SHA-256 in hexadecimal digits of the keys that may drain.",
         .fallback = settings::text_list{}},
    };
}

auto queue_keys() -> settings::schema
{
    constexpr double most = 1e6;
    constexpr double most_tokens = 1e9;
    return {
        number_key("backend.slots", "Requests that the backend server gets at once.", 8, 1, most),
        number_key(
            "backend.cost_limit",
            "Bound for the cost of all running requests: their expected completion tokens and a "
            "sixteenth of their prompt tokens; 0 for none.",
            0,
            0,
            most_tokens),
        time_key("backend.idle_timeout", "Longest silence of the backend server.", 60'000),
        number_key("queue.limit", "Requests that wait; more are refused.", 256, 0, most),
        number_key(
            "queue.run_margin",
            "Times its expected run that a waiting request keeps free before its deadline.",
            3,
            1,
            20),
        number_key(
            "queue.expected_token_rate",
            "Tokens a second of one request, until the first ones have finished.",
            50,
            1,
            most),
    };
}

auto promise_keys() -> settings::schema
{
    constexpr double most_weight_bytes = 1e13;
    auto weights = number_key(
        "orders.weight_bytes",
        "Bytes of a version that a load fetches.",
        1 << 30U,
        0,
        most_weight_bytes);
    weights.unit = "bytes";
    return {
        time_key("records.window", "How long an ended request is remembered.", 900'000, 1000),
        number_key("records.limit", "Records that new work may use.", 100'000, 1, 1e8),
        bytes_key("records.kept_answers", "Kept at-most-once answers together.", 16 << 20U),
        bytes_key("records.kept_answer", "A larger answer is not kept.", 1 << 20U),
        time_key("configuration.catch_up", "Wait for a configuration that an entry has.", 2000),
        time_key("platform.log_timeout", "Longest silence of the log.", 5000),
        time_key("registration.limit", "Then a random incarnation is taken.", 3000),
        weights,
        time_key("drain.limit", "Then what still runs is cut.", 60'000),
        time_key("drain.linger", "Answering outcome queries after the last run.", 1000, 0),
    };
}

auto endpoint_of(const settings::values& from, std::string_view path) -> http::endpoint
{
    // The schema has checked it.
    return http::parse_endpoint(from.text(path)).value_or(http::endpoint{});
}

auto core_of(const settings::values& from) -> agent::core_options
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
         {identity_keys(), address_keys(), queue_keys(), promise_keys(), daemon::logging_keys()}) {
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
    agent_settings read;
    read.server = common::server_id{from.text("server")};
    read.host = common::host_id{from.text("host")};
    read.data_centre = common::data_centre_id{from.text("data_centre")};
    read.rpc = endpoint_of(from, "rpc.listen");
    read.http = endpoint_of(from, "http.listen");
    read.shared_key = std::move(*key);
    read.backend = endpoint_of(from, "backend.address");
    read.log = endpoint_of(from, "platform.log");
    read.hosts = endpoint_of(from, "platform.hosts");
    read.operator_key_hashes = from.texts("operators.key_hashes");
    read.threads = from.size("threads");
    read.tailers = from.size("tailers");
    read.backend_idle = from.milliseconds("backend.idle_timeout");
    read.log_timeout = from.milliseconds("platform.log_timeout");
    read.registration_limit = from.milliseconds("registration.limit");
    read.drain_limit = from.milliseconds("drain.limit");
    read.drain_linger = from.milliseconds("drain.linger");
    if (const auto& text = from.text("platform.weights"); !text.empty()) {
        read.weights = http::parse_endpoint(text);
        if (!read.weights) {
            return common::failure(
                common::result_code::invalid_settings,
                "$.platform.weights: has to be an address like 127.0.0.1:8080");
        }
    }
    read.weight_bytes = from.size("orders.weight_bytes");
    read.core = core_of(from);
    return read;
}

} // namespace reedramp::agent_program
