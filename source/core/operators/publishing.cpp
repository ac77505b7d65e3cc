#include "operators/publishing.hpp"

#include <optional>

#include "operators/answers.hpp"
#include "operators/requests.hpp"

namespace reedramp::operators {

using common::execution;
using common::failure;
using common::result_code;

namespace {

using decision = common::result<common::log_offset>;

/// One publication on its way.
class attempt {
public:
    attempt(const publishing& given, const inventory::record& wanted) : by(given), item(wanted) {}

    /// Nothing if the entry could not decide.
    auto try_at(std::size_t entry) -> std::optional<decision>
    {
        if (this->may_be_there) {
            if (auto known = this->look_up(entry)) {
                return known;
            }
        }
        const auto answer = this->by.ask(entry, publish_request(this->item));
        if (answer) {
            return published_offset(*answer);
        }
        if (!may_ask_next(answer.error())) {
            return tl::unexpected(answer.error());
        }
        this->may_be_there = this->may_be_there || answer.error().run != execution::not_run;
        this->why = answer.error();
        return std::nullopt;
    }

    [[nodiscard]] auto undecided() const -> decision
    {
        if (!this->may_be_there) {
            return tl::unexpected(this->why);
        }
        const auto advice = "publishing record " + this->item.id.value() + " again is safe";
        return failure(result_code::append_unknown, this->why.detail + "; " + advice);
    }

private:
    [[nodiscard]] auto look_up(std::size_t entry) const -> std::optional<decision>
    {
        const auto history = this->by.ask(entry, read_request("history"));
        return history ? find_published(*history, this->item.id) : std::nullopt;
    }

    const publishing& by;
    const inventory::record& item;
    bool may_be_there = false;
    common::error why = common::make_error(result_code::peer_unavailable, "no entry is known");
};

} // namespace

auto publish(const publishing& by, const inventory::record& item) -> decision
{
    attempt current(by, item);
    for (int round = 0; round < by.rounds && by.entries > 0; ++round) {
        if (round > 0) {
            by.pause();
        }
        for (std::size_t entry = 0; entry < by.entries; ++entry) {
            if (const auto decided = current.try_at(entry)) {
                return *decided;
            }
        }
    }
    return current.undecided();
}

} // namespace reedramp::operators
