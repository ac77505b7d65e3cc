#include "bill_reader.hpp"

#include "billing/codec.hpp"
#include "platform/json_fields.hpp"

namespace reedramp::load {

auto bill_reader::add_records(const std::vector<messages::log_record>& records) -> void
{
    for (const auto& record : records) {
        this->last_offset = record.offset;
        const auto batch = billing::parse(record.data);
        if (!batch) {
            continue;
        }
        for (const auto& bill : batch->bills) {
            request_bill sum;
            sum.lines = bill.lines.size();
            for (const auto& line : bill.lines) {
                sum.completion_tokens += line.used.completion_tokens.value();
                sum.cost_micro += line.cost.value();
            }
            this->bills.try_emplace(common::to_string(bill.request), sum);
        }
    }
}

auto bill_reader::compare(
    const std::unordered_map<std::string, std::uint64_t>& answered_tokens) const -> bill_comparison
{
    bill_comparison comparison;
    comparison.answered = answered_tokens.size();
    comparison.bills = this->bills.size();
    for (const auto& [request, tokens] : answered_tokens) {
        const auto found = this->bills.find(request);
        if (found == this->bills.end()) {
            ++comparison.missing;
            continue;
        }
        const auto& bill = found->second;
        // A cascade or a replaced server adds a line for each run, so the sum may exceed the
        // answer.
        const auto is_correct =
            bill.lines <= 1 ? bill.completion_tokens == tokens : bill.completion_tokens >= tokens;
        comparison.wrong_tokens += is_correct ? 0 : 1;
    }
    for (const auto& [request, bill] : this->bills) {
        comparison.without_answer += answered_tokens.contains(request) ? 0 : 1;
        comparison.cost_micro += static_cast<std::uint64_t>(bill.cost_micro);
    }
    return comparison;
}

auto add_run_bodies(std::string_view json, run_counts& into) -> bool
{
    const auto fields = platform::parse_object(json);
    const auto* bodies = fields ? platform::array_field(*fields, "bodies") : nullptr;
    if (bodies == nullptr) {
        return false;
    }
    for (const auto& item : *bodies) {
        const auto* row = item.if_object();
        if (row == nullptr) {
            return false;
        }
        const auto body = platform::string_field(*row, "key");
        const auto runs = platform::count_field(*row, "runs");
        if (body && runs) {
            into[*body] += *runs;
        }
    }
    return true;
}

} // namespace reedramp::load
