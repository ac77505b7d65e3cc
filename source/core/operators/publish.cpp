#include "operators/publish.hpp"

#include <optional>

#include "operators/answers.hpp"
#include "operators/requests.hpp"

namespace reedramp::operators {

using common::execution;
using common::failure;
using common::result_code;

namespace {

using decision = common::result<common::log_offset>;

/// State of one publication while entries are tried in turn.
class publish_attempt {
public:
    publish_attempt(const publish_transport& entries, const inventory::record& record)
        : transport(entries), item(record)
    {
    }

    /// Offset or refusal of the record; empty if the entry did not report either.
    auto try_entry(std::size_t entry) -> std::optional<decision>
    {
        if (this->may_be_in_log) {
            if (auto known = this->find_in_history(entry)) {
                return known;
            }
        }
        const auto answer = this->transport.send(entry, publish_request(this->item));
        if (answer) {
            return parse_published_offset(*answer);
        }
        if (!should_try_next_entry(answer.error())) {
            return tl::unexpected(answer.error());
        }
        this->may_be_in_log = this->may_be_in_log || answer.error().run != execution::not_run;
        this->last_error = answer.error();
        return std::nullopt;
    }

    [[nodiscard]] auto outcome_without_decision() const -> decision
    {
        if (!this->may_be_in_log) {
            return tl::unexpected(this->last_error);
        }
        const auto advice = "record " + this->item.id.value() + " can safely be published again";
        return failure(result_code::append_unknown, this->last_error.detail + "; " + advice);
    }

private:
    [[nodiscard]] auto find_in_history(std::size_t entry) const -> std::optional<decision>
    {
        const auto history = this->transport.send(entry, read_request("history"));
        return history ? find_record_outcome(*history, this->item.id) : std::nullopt;
    }

    const publish_transport& transport;
    const inventory::record& item;
    bool may_be_in_log = false;
    common::error last_error =
        common::make_error(result_code::peer_unavailable, "no entry is configured or listed");
};

} // namespace

auto publish(const publish_transport& transport, const inventory::record& item) -> decision
{
    publish_attempt current(transport, item);
    for (int round = 0; round < transport.max_rounds && transport.entry_count > 0; ++round) {
        if (round > 0) {
            transport.wait_before_retry();
        }
        for (std::size_t entry = 0; entry < transport.entry_count; ++entry) {
            if (const auto decided = current.try_entry(entry)) {
                return *decided;
            }
        }
    }
    return current.outcome_without_decision();
}

} // namespace reedramp::operators
