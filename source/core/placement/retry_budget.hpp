#pragma once

#include <mutex>

namespace reedramp::placement {

struct retry_budget_settings {
    /// Second tries allowed for each first try.
    double retries_per_first_try = 0.1;
    /// Most second tries that can be saved up; also what a new process starts with.
    double max_saved = 20.0;
};

/// Bounds an entry's second tries by a share of its first tries.
///
/// Without it, servers that refuse work because they are overloaded get each request several times
/// and so stay overloaded after the surge is over. With it, retries add at most the stated share.
/// Thread-safe.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings);

    /// What is saved up stays, up to the new bound.
    auto update_settings(retry_budget_settings settings) -> void;

    auto record_first_attempt() -> void;

    /// True if one more try may be made now; it is then counted. A try that is a matter of choice
    /// leaves `reserve` tries to those without which a request fails.
    [[nodiscard]] auto try_acquire_retry(double reserve = 0.0) -> bool;

private:
    retry_budget_settings settings;
    std::mutex lock;
    double saved;
};

} // namespace reedramp::placement
