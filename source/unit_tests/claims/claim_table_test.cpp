#include <algorithm>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "claims/claim_table.hpp"
#include "claims/replay_start_search.hpp"
#include "partition_fixture.hpp"

namespace reedramp::claims {

namespace {

using common::log_offset;

constexpr std::uint64_t key_count = 12;

/// Records with random claims of few keys. Some claims lose, some replace the holder, and some
/// horizons fall behind, as those of a keeper that has not read the newest records do.
class random_stream {
public:
    random_stream(unsigned seed, bool given_races) : random(seed), races(given_races) {}

    auto append() -> const claim_batch&
    {
        const auto offset = this->records.size() + 1;
        const auto span = this->races ? 8 + this->random() % 8 : 10;
        claim_batch made{{offset, offset}, log_offset{offset > span ? offset - span : 1}, {}};
        const auto key = this->races ? this->random() % key_count : offset;
        auto claim = make_claim(key, offset, this->random() % 10 == 0 ? 2 : 1);
        const auto held = this->fold.find(claim.key);
        if (held && this->random() % 2 == 0) {
            claim.replaces = held->offset;
        }
        made.claims.push_back(claim);
        this->fold.apply(log_offset{offset}, made);
        this->last_claims[claim.key] = log_offset{offset};
        this->horizon = std::max(this->horizon, made.horizon);
        this->records.push_back({log_offset{offset}, serialise(made)});
        this->batches.push_back(made);
        return this->batches.back();
    }

    auto read(log_offset after) const -> platform::read_answer
    {
        platform::read_answer answer;
        answer.head = log_offset{this->records.size()};
        answer.oldest = log_offset{1};
        for (auto index = after.value(); index < this->records.size(); ++index) {
            answer.records.push_back(this->records[index]);
        }
        return answer;
    }

    /// The table of a keeper that takes over now.
    auto taken_over() const -> claim_table
    {
        replay_start_search search;
        std::optional<log_offset> first;
        while (!first) {
            first = search.on_answer(this->read(search.read_after()));
        }
        claim_table made;
        made.reset(*first);
        for (auto offset = first->value(); offset <= this->batches.size(); ++offset) {
            made.apply(log_offset{offset}, this->batches[offset - 1]);
        }
        return made;
    }

    /// Whether the key was claimed since the horizon, which is all that decides whether it is held.
    auto is_held(const common::request_id& key) const -> bool
    {
        const auto found = this->last_claims.find(key);
        return found != this->last_claims.end() && found->second >= this->horizon;
    }

    claim_table fold;

private:
    std::mt19937 random;
    bool races;
    std::map<common::request_id, log_offset> last_claims;
    log_offset horizon;
    std::vector<messages::log_record> records;
    std::vector<claim_batch> batches;
};

} // namespace

TEST_CASE("a keeper that reads two windows agrees with one that read all", "[claims]")
{
    // Two keepers started at different times. If they differed on whether a key is free, each could
    // grant it to another request, and the caller would see it done twice. They agree on that
    // always; on who holds it, unless the younger one says itself that it is not certain.
    for (const bool races : {true, false}) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            INFO("races=" << races << " seed=" << seed);
            random_stream stream(seed, races);
            for (int record = 0; record < 120; ++record) {
                stream.append();
                const auto taken_over = stream.taken_over();
                REQUIRE(taken_over.size() == stream.fold.size());
                for (std::uint64_t key = 0; key <= 120; ++key) {
                    const auto whole = stream.fold.find({key, key});
                    const auto part = taken_over.find({key, key});
                    REQUIRE(whole.has_value() == stream.is_held({key, key}));
                    REQUIRE(whole.has_value() == part.has_value());
                    if (!part) {
                        continue;
                    }
                    REQUIRE(part->last == whole->last);
                    // Without lost claims, none is uncertain.
                    REQUIRE((part->certain || races));
                    if (part->certain) {
                        REQUIRE(part->offset == whole->offset);
                        REQUIRE(same_claim(part->claim, whole->claim));
                    }
                }
            }
        }
    }
}

TEST_CASE("a holder that may not have won is never replaced", "[claims]")
{
    // The first record that a keeper could read is a claim that lost to one that the log has
    // dropped. Its agent never got it and says so; but the true holder may run, so the key is
    // refused (not_run) until the claims that are known are all there is.
    partition_fixture one;
    const auto old = one.keep();
    CHECK(one.decide(old, make_claim(1, 1)).state == messages::claim_state::won);
    const auto other = one.keep();
    claim_batch late{{9, 9}, log_offset{1}, {make_claim(1, 2)}};
    one.log.put(one.config.stream, serialise(late));
    one.log.trim(one.config.stream, log_offset{2});
    const auto fresh = one.keep();
    auto retry = make_claim(1, 3);
    const auto seen = one.decide(fresh, retry);
    CHECK(seen.holder.request == common::request_id{2, 2});
    retry.replaces = seen.offset;
    const auto refused = one.decide(fresh, retry);
    CHECK(refused.state == messages::claim_state::refused);
    CHECK(refused.why->code == common::result_code::claims_unavailable);
    CHECK(one.decide(other, make_claim(1, 4)).holder.request == common::request_id{1, 1});
}

} // namespace reedramp::claims
