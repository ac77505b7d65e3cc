#pragma once

#include <optional>
#include <string>

#include "common/ids.hpp"
#include "http/message.hpp"
#include "unit_tests/entry/core_fixture.hpp"

/// Callers' requests of the tests, and how to read their answers.
namespace reedramp::whole_path {

using entry::test::fake_caller;

struct chat_options {
    bool stream = false;
    /// Session token; empty for none.
    std::string session = {};
    /// "m", or a version by its name.
    std::string model = "m";
    int deadline_ms = 5000;
};

/// A chat whose prompt is `mark`.
auto chat(const std::string& key, const std::string& mark, const chat_options& options)
    -> http::request;

/// A call of the service "notes" that must not run twice, unless `method` is GET.
auto note_call(
    const std::string& key,
    const std::string& mark,
    const std::string& idempotency_key,
    const std::string& method = "POST") -> http::request;

/// Opens a session, whose token comes in the header; `name` is one that the caller chose, if not
/// empty.
auto open_session(const std::string& key, const std::string& name) -> http::request;

/// Text of a whole chat answer; empty for another body.
auto answer_of(const fake_caller& caller) -> std::string;

/// Id of the request in the answer, if one came.
auto request_of(const fake_caller& caller) -> std::optional<common::request_id>;

auto is_stream(const fake_caller& caller) -> bool;

/// A whole answer with status 200 has come.
auto is_answered(const fake_caller& caller) -> bool;

} // namespace reedramp::whole_path
