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

/// Stream of records with random claims of a few keys. Some claims lose, some replace the holder,
/// and some horizons are behind, like those of an arbiter that has not read the newest records.
class random_stream {
public:
    random_stream(unsigned seed, bool with_conflicts) : random(seed), with_races(with_conflicts) {}

    auto append() -> const claim_batch&
    {
        const auto offset = this->records.size() + 1;
        const auto span = this->with_races ? 8 + this->random() % 8 : 10;
        claim_batch made{{offset, offset}, log_offset{offset > span ? offset - span : 1}, {}};
        const auto key = this->with_races ? this->random() % key_count : offset;
        auto claim = make_claim(key, offset, this->random() % 10 == 0 ? 2 : 1);
        const auto held = this->full_table.find(claim.key);
        if (held && this->random() % 2 == 0) {
            claim.replaces = held->offset;
        }
        made.claims.push_back(claim);
        this->full_table.apply(log_offset{offset}, made);
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

    /// Table of an arbiter that takes over now.
    auto replayed_table() const -> claim_table
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

    /// True if the key was claimed since the horizon; nothing else decides whether it is held.
    auto should_be_held(const common::request_id& key) const -> bool
    {
        const auto found = this->last_claims.find(key);
        return found != this->last_claims.end() && found->second >= this->horizon;
    }

    claim_table full_table;

private:
    std::mt19937 random;
    bool with_races;
    std::map<common::request_id, log_offset> last_claims;
    log_offset horizon;
    std::vector<messages::log_record> records;
    std::vector<claim_batch> batches;
};

} // namespace

TEST_CASE(
    "an arbiter that replays two windows agrees with one that read the whole stream", "[claims]")
{
    // If two arbiters started at different times disagreed on whether a key is free, each could
    // grant it to another request, which would run twice. They must always agree on whether a key
    // is held, and on its holder unless the later one marks the holder as uncertain.
    for (const bool with_races : {true, false}) {
        for (unsigned seed = 1; seed <= 20; ++seed) {
            INFO("races=" << with_races << " seed=" << seed);
            random_stream stream(seed, with_races);
            for (int record = 0; record < 120; ++record) {
                stream.append();
                const auto replayed_table = stream.replayed_table();
                REQUIRE(replayed_table.size() == stream.full_table.size());
                for (std::uint64_t key = 0; key <= 120; ++key) {
                    const auto whole = stream.full_table.find({key, key});
                    const auto part = replayed_table.find({key, key});
                    REQUIRE(whole.has_value() == stream.should_be_held({key, key}));
                    REQUIRE(whole.has_value() == part.has_value());
                    if (!part) {
                        continue;
                    }
                    REQUIRE(part->last_claimed == whole->last_claimed);
                    // Without conflicting claims no holder is uncertain.
                    REQUIRE((part->is_certain || with_races));
                    if (part->is_certain) {
                        REQUIRE(part->offset == whole->offset);
                        REQUIRE(same_claim(part->claim, whole->claim));
                    }
                }
            }
        }
    }
}

TEST_CASE("an uncertain holder is never replaced", "[claims]")
{
    // The first record left in the log is a claim that lost to a trimmed one. Its agent never got
    // the request and reports so, but the real holder may be running. The key must be refused
    // (not_run) until no claim from before the first record can matter any more.
    partition_fixture fixture;
    const auto old = fixture.start_arbiter();
    CHECK(fixture.decide(old, make_claim(1, 1)).state == messages::claim_state::won);
    const auto other = fixture.start_arbiter();
    claim_batch late{{9, 9}, log_offset{1}, {make_claim(1, 2)}};
    fixture.log.put(fixture.config.stream, serialise(late));
    fixture.log.trim(fixture.config.stream, log_offset{2});
    const auto fresh = fixture.start_arbiter();
    auto retry = make_claim(1, 3);
    const auto seen = fixture.decide(fresh, retry);
    CHECK(seen.holder.request == common::request_id{2, 2});
    retry.replaces = seen.offset;
    const auto refused = fixture.decide(fresh, retry);
    CHECK(refused.state == messages::claim_state::refused);
    CHECK(refused.why->code == common::result_code::claims_unavailable);
    CHECK(fixture.decide(other, make_claim(1, 4)).holder.request == common::request_id{1, 1});
}

} // namespace reedramp::claims
