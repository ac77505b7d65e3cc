#pragma once

#include <optional>
#include <string>

#include "common/ids.hpp"
#include "http/message.hpp"
#include "unit_tests/entry/core_fixture.hpp"

/// Builds the callers' requests of the tests and reads the answers.
namespace reedramp::whole_path {

using entry::test::fake_caller;

struct chat_options {
    bool stream = false;
    /// Session token; empty for none.
    std::string session = {};
    /// Model "m", or the name of a version.
    std::string model = "m";
    int deadline_ms = 5000;
};

/// Chat request with `mark` as its prompt.
auto chat(const std::string& key, const std::string& mark, const chat_options& options)
    -> http::request;

/// Call of the service "notes", which must run at most once unless `method` is GET.
auto note_call(
    const std::string& key,
    const std::string& mark,
    const std::string& idempotency_key,
    const std::string& method = "POST") -> http::request;

/// Request that opens a session; the answer has the session token in a header. `name` is the
/// caller's name for the session, or empty.
auto open_session(const std::string& key, const std::string& name) -> http::request;

/// Text of a complete chat answer; empty if the body is anything else.
auto chat_answer_text(const fake_caller& caller) -> std::string;

/// Request id from the answer's header, if there is one.
auto request_id_of(const fake_caller& caller) -> std::optional<common::request_id>;

auto is_stream(const fake_caller& caller) -> bool;

/// Whether a complete answer with status 200 has arrived.
auto is_answered(const fake_caller& caller) -> bool;

} // namespace reedramp::whole_path
