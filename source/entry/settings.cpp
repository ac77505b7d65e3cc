#include "settings.hpp"

#include <limits>

#include "daemon/logging.hpp"
#include "daemon/secret.hpp"
#include "settings/keys.hpp"

namespace reedramp::entry_program {

using settings::address_key;
using settings::bytes_key;
using settings::number_key;
using settings::optional_text_key;
using settings::text_key;
using settings::time_key;
using settings::value_type;

namespace {

constexpr double max_count = 1e9;
constexpr double min_bytes = 1024;
constexpr auto session_key_variable = "REEDRAMP_SESSION_KEY";

auto identity_keys() -> settings::schema
{
    return {
        text_key("host", "Id of this host, as in the platform's host list."),
        text_key("data_centre", "Data centre of this host."),
        text_key("region", "Region of this host."),
        number_key("threads", "Number of threads for HTTP and timers.", 2, 1, 64),
        number_key(
            "rpc.threads", "Number of threads for calls to agents and other entries.", 1, 1, 64),
        number_key(
            "tailers",
            "Minimum number of processes per data centre that read the log; one in 16 does.",
            2,
            1,
            64),
    };
}

auto address_keys() -> settings::schema
{
    return {
        address_key(
            "http.listen",
            "Address for the callers' and administration APIs, health checks and metrics."),
        optional_text_key(
            "http.certificate_file", "File of the certificate chain (PEM); empty: no TLS."),
        optional_text_key("http.private_key_file", "File of the certificate's private key (PEM)."),
        number_key("http.connection_limit", "Maximum open connections of callers.", 2000, 1, 1e6),
        bytes_key("http.body_limit", "Maximum size of a request body.", 4 << 20U, min_bytes),
        bytes_key("http.header_limit", "Maximum size of a request head.", 16 << 10U, min_bytes),
        time_key(
            "http.read_timeout",
            "Timeout for reading a request, and for an idle connection.",
            15'000),
        address_key("rpc.listen", "Address for calls from other processes."),
        optional_text_key(
            "rpc.shared_key_file",
            "File of the key shared by all processes; empty: environment REEDRAMP_SHARED_KEY."),
        address_key("platform.log", "Address of the platform's log."),
        address_key("platform.hosts", "Address of the platform's host list."),
        address_key("platform.ratings", "Address of the platform's rating service."),
        time_key("platform.log_timeout", "Timeout for responses of the log.", 5000),
        {.path = "operators.key_hashes",
         .type = value_type::text_list,
         .doc = "SHA-256 hashes of the operators' keys, in hexadecimal.",
         .fallback = settings::text_list{}},
        time_key("operators.publish_limit", "Timeout for reading back a published record.", 10'000),
    };
}

auto session_keys() -> settings::schema
{
    constexpr double last_id = std::numeric_limits<std::uint32_t>::max();
    return {
        optional_text_key(
            "sessions.key_file",
            "File of the key that signs session tokens; empty: environment REEDRAMP_SESSION_KEY."),
        number_key("sessions.key_id", "Id of the signing key.", 1, 0, last_id),
        optional_text_key(
            "sessions.previous_key_file",
            "File of the previous signing key, whose tokens are still accepted."),
        number_key("sessions.previous_key_id", "Id of the previous signing key.", 0, 0, last_id),
        time_key("sessions.life", "Lifetime of a session token.", 43'200'000),
        time_key(
            "sessions.wait",
            "How long a request waits for a server of its session's version.",
            5000,
            0),
    };
}

auto request_keys() -> settings::schema
{
    return {
        time_key("requests.deadline", "Timeout of a request without a deadline header.", 30'000),
        time_key(
            "requests.longest_deadline",
            "Maximum timeout of a request; longer ones are reduced to it.",
            300'000),
        number_key(
            "requests.limit",
            "Maximum requests in flight; more are refused.",
            20'000,
            1,
            max_count),
        number_key("requests.attempts", "Maximum attempts per request.", 4, 1, 16),
        number_key(
            "requests.retry_permille",
            "Retries per thousand requests, over all entries, in any ten seconds.",
            100,
            0,
            1000),
        number_key(
            "requests.retry_extra",
            "Retries in addition in any ten seconds, over all entries.",
            20,
            0,
            1e6),
        number_key(
            "requests.rate_every",
            "One chat in this many is submitted for rating; 0: none.",
            1,
            0,
            max_count),
        time_key(
            "requests.ask_limit", "How long the outcome of a lost idempotent run is queried.", 300),
        bytes_key(
            "streams.backlog_high",
            "Unsent bytes above which a stream is paused.",
            256 << 10U,
            min_bytes),
        bytes_key(
            "streams.backlog_low",
            "Unsent bytes below which a stream is resumed.",
            64 << 10U,
            min_bytes),
        bytes_key(
            "streams.backlog_limit",
            "Unsent bytes above which a stream is aborted.",
            8 << 20U,
            min_bytes),
        bytes_key(
            "streams.kept_text",
            "Maximum sent text that is kept for continuing a stream on another server.",
            1 << 20U,
            min_bytes),
        number_key(
            "servers.subset",
            "Number of servers that this entry uses per version or service.",
            8,
            1,
            1000),
        number_key(
            "servers.elsewhere",
            "Number of these in other data centres, if there are any.",
            2,
            0,
            1000),
        bytes_key(
            "bills.limit",
            "Size of unconfirmed bills at which new requests are refused.",
            16 << 20U,
            min_bytes),
        time_key(
            "shutdown.announce",
            "Time between turning not ready and closing the listener at shutdown.",
            500,
            0),
        time_key(
            "shutdown.limit",
            "Time after which requests still in flight are aborted at shutdown.",
            60'000),
        time_key(
            "shutdown.bills_limit",
            "Time for the log to confirm the bills before they are handed over.",
            5000),
    };
}

auto endpoint_of(const settings::values& from, std::string_view path) -> http::endpoint
{
    // The schema has validated the address.
    return http::parse_endpoint(from.text(path)).value_or(http::endpoint{});
}

auto signing_key_of(
    const settings::values& from, std::string_view file, std::string_view id, const char* variable)
    -> common::result<session::signing_key>
{
    auto secret = daemon::read_secret(from.text(file), variable);
    if (!secret) {
        return tl::unexpected(secret.error());
    }
    if (secret->size() < session::min_secret_bytes) {
        return common::failure(
            common::result_code::invalid_settings,
            std::string(file) + ": a key of at least " + std::to_string(session::min_secret_bytes) +
                " bytes is required");
    }
    const auto number = static_cast<std::uint32_t>(from.integer(id));
    return session::signing_key{session::key_id(number), std::move(*secret)};
}

auto key_ring_of(const settings::values& from) -> common::result<session::key_ring>
{
    auto current =
        signing_key_of(from, "sessions.key_file", "sessions.key_id", session_key_variable);
    if (!current) {
        return tl::unexpected(current.error());
    }
    session::key_ring ring{std::move(*current), std::nullopt};
    if (from.text("sessions.previous_key_file").empty()) {
        return ring;
    }
    auto previous = signing_key_of(
        from, "sessions.previous_key_file", "sessions.previous_key_id", session_key_variable);
    if (!previous) {
        return tl::unexpected(previous.error());
    }
    ring.previous = std::move(*previous);
    return ring;
}

auto http_of(const settings::values& from) -> http::server_options
{
    http::server_options options;
    options.listen = endpoint_of(from, "http.listen");
    options.header_limit_bytes = from.size("http.header_limit");
    options.body_limit_bytes = from.size("http.body_limit");
    options.read_timeout = from.milliseconds("http.read_timeout");
    options.connection_limit = from.size("http.connection_limit");
    const auto& certificate = from.text("http.certificate_file");
    if (!certificate.empty()) {
        options.tls = http::tls_files{certificate, from.text("http.private_key_file")};
    }
    return options;
}

auto core_of(const settings::values& from) -> entry::core_options
{
    constexpr double permille = 1000.0;
    entry::core_options options;
    options.headers.default_timeout = from.milliseconds("requests.deadline");
    options.headers.max_timeout = from.milliseconds("requests.longest_deadline");
    options.attempt_limit = static_cast<std::uint32_t>(from.integer("requests.attempts"));
    options.retries.ratio = static_cast<double>(from.integer("requests.retry_permille")) / permille;
    options.retries.extra = static_cast<double>(from.integer("requests.retry_extra"));
    options.rate_every = static_cast<std::uint32_t>(from.integer("requests.rate_every"));
    options.outcome_query_timeout = from.milliseconds("requests.ask_limit");
    options.request_limit = from.size("requests.limit");
    options.session_lifetime = from.milliseconds("sessions.life");
    options.session_wait = from.milliseconds("sessions.wait");
    options.backlog_high_bytes = from.size("streams.backlog_high");
    options.backlog_low_bytes = from.size("streams.backlog_low");
    options.backlog_limit_bytes = from.size("streams.backlog_limit");
    options.sent_text_limit_bytes = from.size("streams.kept_text");
    return options;
}

} // namespace

auto settings_schema() -> settings::schema
{
    settings::schema all;
    for (const auto& part :
         {identity_keys(),
          address_keys(),
          session_keys(),
          request_keys(),
          daemon::logging_keys()}) {
        all.insert(all.end(), part.begin(), part.end());
    }
    return all;
}

auto read_settings(const settings::values& from) -> common::result<entry_settings>
{
    auto key = daemon::read_secret(from.text("rpc.shared_key_file"), daemon::shared_key_variable);
    if (!key) {
        return tl::unexpected(key.error());
    }
    auto ring = key_ring_of(from);
    if (!ring) {
        return tl::unexpected(ring.error());
    }
    entry_settings read;
    read.self.host = common::host_id{from.text("host")};
    read.self.data_centre = common::data_centre_id{from.text("data_centre")};
    read.self.region = common::region_id{from.text("region")};
    read.threads = from.size("threads");
    read.rpc_threads = from.size("rpc.threads");
    read.tailers = from.size("tailers");
    read.http = http_of(from);
    read.rpc = endpoint_of(from, "rpc.listen");
    read.shared_key = std::move(*key);
    read.log = endpoint_of(from, "platform.log");
    read.hosts = endpoint_of(from, "platform.hosts");
    read.ratings = endpoint_of(from, "platform.ratings");
    read.log_timeout = from.milliseconds("platform.log_timeout");
    read.operator_key_hashes = from.texts("operators.key_hashes");
    read.session_keys = std::move(*ring);
    read.publish_timeout = from.milliseconds("operators.publish_limit");
    read.shutdown_announce_time = from.milliseconds("shutdown.announce");
    read.shutdown_timeout = from.milliseconds("shutdown.limit");
    read.bills_timeout = from.milliseconds("shutdown.bills_limit");
    read.pending_bills_limit_bytes = from.size("bills.limit");
    read.core = core_of(from);
    read.placer.self = read.self;
    read.placer.subset = {from.size("servers.subset"), from.size("servers.elsewhere")};
    return read;
}

} // namespace reedramp::entry_program
