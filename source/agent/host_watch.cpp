#include "host_watch.hpp"

#include <algorithm>
#include <utility>

#include "membership/rendezvous.hpp"

namespace reedramp::agent_program {

namespace {

constexpr common::duration period = std::chrono::seconds(1);
constexpr auto tailer_key = "configuration/";

} // namespace

host_watch::host_watch(place where, hooks wanted) : self(std::move(where)), given(std::move(wanted))
{
}

auto host_watch::start() -> void
{
    this->ask();
}

auto host_watch::ask() -> void
{
    const auto weak = this->weak_from_this();
    this->given.list.list([weak](common::result<std::vector<platform::host_entry>> rows) {
        const auto watch = weak.lock();
        if (!watch) {
            return;
        }
        if (rows) {
            watch->take(*rows);
        }
        watch->given.timer(watch->given.now() + period, [weak] {
            if (const auto again = weak.lock()) {
                again->ask();
            }
        });
    });
}

auto host_watch::take(const std::vector<platform::host_entry>& rows) -> void
{
    std::vector<messages::rpc_address> next;
    std::vector<common::host_id> here;
    for (const auto& row : rows) {
        if (row.state != platform::host_state::live) {
            continue;
        }
        if (row.data_centre == this->self.data_centre) {
            here.push_back(row.host);
        }
        if (row.host != this->self.host && !row.rpc.empty()) {
            next.emplace_back(row.rpc);
        }
    }
    auto first = membership::rank(tailer_key + this->self.data_centre.value(), here);
    first.resize(std::min(first.size(), this->self.tailers));
    const auto chosen = std::find(first.begin(), first.end(), this->self.host) != first.end();
    const std::lock_guard guard(this->lock);
    this->addresses = std::move(next);
    this->reads_log = chosen || this->addresses.empty();
}

auto host_watch::peers() const -> std::vector<messages::rpc_address>
{
    const std::lock_guard guard(this->lock);
    return this->addresses;
}

auto host_watch::is_tailer() const -> bool
{
    const std::lock_guard guard(this->lock);
    return this->reads_log;
}

} // namespace reedramp::agent_program
