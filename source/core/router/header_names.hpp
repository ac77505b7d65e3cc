#pragma once

#include <string>
#include <vector>

/// Routing of requests straight from callers to backend servers, without an agent in between.
namespace reedramp::router {

/// Names of the HTTP headers exchanged with callers and backend servers. The defaults are the
/// project's own; a platform adapter replaces them.
struct header_names {
    /// Id of one attempt of a caller. A server repeats it in its response.
    std::string attempt = "Reedramp-Attempt-Id";
    /// Milliseconds for which the sender still waits for the response.
    std::string deadline_ms = "Reedramp-Deadline-Ms";
    /// The caller's API key. Never forwarded.
    std::string key = "Reedramp-Key";
    /// Organisation that owns the key. Set on requests to the server.
    std::string organisation = "Reedramp-Organisation";
    /// Id of the only server that may run the request.
    std::string expected_server = "Reedramp-Expect-Server";
    /// Response header: the request has not run and never will.
    std::string not_executed = "Reedramp-Not-Executed";
    /// Response header: the server's signature, which shows that the response is its own and which
    /// request it belongs to.
    std::string signature = "Reedramp-Signature";
    /// Response header: running requests, waiting requests, and slots.
    std::string load = "Reedramp-Load";
    /// Response header: requests per second that the server accepts from all entries together, for
    /// as long as its responses state it.
    std::string limit = "Reedramp-Server-Limit";
    /// Response header: "1" if the server is leaving.
    std::string leaving = "Reedramp-Server-Leaving";
    std::string model = "Reedramp-Model";
    /// Prompt tokens and maximum answer tokens, separated by a comma.
    std::string token_counts = "Reedramp-Tokens";
    /// Parts of the prompt in order, each as "id:tokens" with the id in hexadecimal.
    std::string prompt_parts = "Reedramp-Prompt-Parts";
    /// Answer length that the caller expects, in tokens.
    std::string expected_tokens = "Reedramp-Length-Hint";
    /// Response header: the model's confidence in its answer, 0 to 100.
    std::string confidence = "Reedramp-Confidence";
    /// Id of the session that the request belongs to.
    std::string session = "Reedramp-Session";
    /// Urgency for the model engine; 0 is the most urgent.
    std::string urgency = "Reedramp-Urgency";
    /// Headers that only this system may set; they are removed from callers' requests. A caller's
    /// own value could reserve memory, or make a server continue from another request's memory.
    std::vector<std::string> reserved;
};

} // namespace reedramp::router
