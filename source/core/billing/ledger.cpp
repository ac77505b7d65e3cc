#include "billing/ledger.hpp"

#include <string>

#include <xxhash.h>

#include "billing/codec.hpp"
#include "common/log.hpp"

namespace reedramp::billing {

namespace {

/// A request id has 128 random bits already. The organisation is included so that a caller can't
/// suppress another organisation's bill by reusing its request id.
auto fingerprint(const messages::bill& item) -> common::request_id
{
    const auto& organisation = item.organisation.value();
    const auto hash = XXH3_128bits(organisation.data(), organisation.size());
    return {item.request.high ^ hash.high64, item.request.low ^ hash.low64};
}

auto add(totals& sum, const messages::bill_line& line) -> void
{
    const auto prompt = sum.used.prompt_tokens.value() + line.used.prompt_tokens.value();
    const auto completion =
        sum.used.completion_tokens.value() + line.used.completion_tokens.value();
    sum.used = {common::token_count{prompt}, common::token_count{completion}};
    sum.cost = common::micro_money{sum.cost.value() + line.cost.value()};
    ++sum.lines;
}

} // namespace

auto ledger::apply(const messages::log_record& record) -> ledger_outcome
{
    if (record.offset <= this->last) {
        return ledger_outcome::skipped;
    }
    this->last = record.offset;
    const auto content = parse(record.data);
    if (!content) {
        ++this->malformed_records;
        common::log(
            common::log_part::bills,
            common::log_level::warning,
            "malformed record skipped offset=" + std::to_string(record.offset.value()));
        return ledger_outcome::malformed;
    }
    auto outcome = ledger_outcome::repeated;
    for (const auto& item : content->bills) {
        if (this->count(item) == ledger_outcome::counted) {
            outcome = ledger_outcome::counted;
        }
    }
    return outcome;
}

auto ledger::count(const messages::bill& item) -> ledger_outcome
{
    if (!this->seen.insert(fingerprint(item)).second) {
        ++this->repeated_bills;
        return ledger_outcome::repeated;
    }
    auto& organisation = this->organisations[item.organisation];
    ++organisation.requests;
    for (const auto& line : item.lines) {
        auto& version = this->versions[line.version];
        ++version.requests;
        add(version, line);
        add(organisation, line);
    }
    return ledger_outcome::counted;
}

} // namespace reedramp::billing
