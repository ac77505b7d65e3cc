#pragma once

#include <string>
#include <vector>

/// Requests and answers between callers and backend servers without an agent in between.
namespace reedramp::router {

/// Names of the headers that callers and backend servers use. The defaults are the project's own;
/// an adapter of a platform puts its names in their place.
struct header_names {
    /// Names one attempt of a caller; a server's answer repeats it.
    std::string attempt = "Reedramp-Attempt-Id";
    /// Milliseconds that the sender still waits.
    std::string deadline_ms = "Reedramp-Deadline-Ms";
    /// The caller's key; never passed on.
    std::string key = "Reedramp-Key";
    /// The organisation that holds the key; set for the server.
    std::string organisation = "Reedramp-Organisation";
    /// Only the server with this id may run the request.
    std::string expected_server = "Reedramp-Expect-Server";
    /// In an answer: the request has not run and never will.
    std::string not_executed = "Reedramp-Not-Executed";
    /// In an answer: the server's mark that it is the server's own and for which request.
    std::string signature = "Reedramp-Signature";
    /// In an answer: requests running, requests waiting, slots.
    std::string load = "Reedramp-Load";
    /// In an answer: requests a second that the server takes from all entries together, for as long
    /// as its answers say so.
    std::string limit = "Reedramp-Server-Limit";
    /// In an answer: "1" where the server leaves.
    std::string leaving = "Reedramp-Server-Leaving";
    std::string model = "Reedramp-Model";
    /// Tokens of the prompt, most tokens of the answer.
    std::string token_counts = "Reedramp-Tokens";
    /// Parts of the prompt in order, "id:tokens" each, the id in hexadecimal.
    std::string prompt_parts = "Reedramp-Prompt-Parts";
    /// What the caller expects of the answer's length, in tokens.
    std::string expected_tokens = "Reedramp-Length-Hint";
    /// How sure the model is of its answer, 0 to 100.
    std::string confidence = "Reedramp-Confidence";
    /// Requests of one session name it here.
    std::string session = "Reedramp-Session";
    /// Urgency at a model engine, 0 first.
    std::string urgency = "Reedramp-Urgency";
    /// Headers that only this system may set. A caller's own would reserve memory, or make a server
    /// go on from another request's memory.
    std::vector<std::string> ours_alone;
};

} // namespace reedramp::router
