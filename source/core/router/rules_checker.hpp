#pragma once

#include <functional>
#include <memory>

#include "router/rules_follower.hpp"
#include "router/servers_follower.hpp"

namespace reedramp::router {

/// Bounds the age of what an entry knows of the operators' stream, whatever happens to the read
/// that waits at the store.
///
/// A waiting read that is lost looks like one without news. An entry that knows of no reading
/// within the last second, by itself or another entry, therefore asks the store a second question,
/// which is answered at once. Entries report their readings to each other, so that there is about
/// one question a second for all of them.
class rules_checker : public std::enable_shared_from_this<rules_checker> {
public:
    /// `rank` returns this entry's rank among those that read.
    rules_checker(
        std::shared_ptr<router_core> core,
        std::shared_ptr<rules_follower> follower,
        std::function<auto()->reader_rank> rank);

    auto start() -> void { this->check_when_due(); }

private:
    auto check_when_due() -> void;

    std::shared_ptr<router_core> core;
    std::shared_ptr<rules_follower> follower;
    std::function<auto()->reader_rank> rank;
    /// A question that is not answered is asked again after this.
    time_point next_check{};
};

} // namespace reedramp::router
