#include "routing/list_freshness.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};

/// Entries that follow a list. Each one reports to all others ten times per second, unless it is
/// down.
struct followed_list {
    std::vector<list_freshness> entries;
    std::vector<bool> is_up;
    std::vector<std::uint64_t> read_to;
    std::uint64_t end = 10;
    std::uint64_t last_change = 10;
    int readings = 0;
    /// Delay until the receiver has read a message.
    milliseconds delay{0};
    bool has_signs_of_life = true;
    time_point now = start;

    explicit followed_list(std::size_t count) : is_up(count, true), read_to(count, 0)
    {
        for (std::size_t i = 0; i < count; ++i) {
            freshness_options options;
            options.reader = i + 1;
            this->entries.emplace_back(options);
        }
    }

    auto rank(std::size_t of) const -> std::size_t
    {
        std::size_t before = 0;
        for (std::size_t i = 0; i < of; ++i) {
            before += this->is_up[i] ? 1 : 0;
        }
        return before;
    }

    auto step() -> void
    {
        this->now += milliseconds{100};
        // A server's heartbeat, which changes nothing.
        this->end += this->has_signs_of_life ? 1 : 0;
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            if (this->is_up[i] && this->entries[i].is_due(this->rank(i), this->now)) {
                this->entries[i].note_read(
                    this->end, this->read_to[i] < this->last_change, this->now);
                this->read_to[i] = this->end;
                this->readings += 1;
            }
        }
        for (std::size_t from = 0; from < this->entries.size(); ++from) {
            for (std::size_t to = 0; to < this->entries.size(); ++to) {
                if (from != to && this->is_up[from] && this->is_up[to]) {
                    this->entries[to].apply_report(
                        this->entries[from].make_report(this->now), this->now + this->delay);
                }
            }
        }
    }

    auto run(milliseconds time) -> void
    {
        for (const auto until = this->now + time; this->now < until;) {
            this->step();
        }
    }

    auto change() -> void
    {
        this->end += 1;
        this->last_change = this->end;
    }

    [[nodiscard]] auto all_know() const -> bool
    {
        for (std::size_t i = 0; i < this->entries.size(); ++i) {
            if (this->is_up[i] && this->read_to[i] < this->last_change) {
                return false;
            }
        }
        return true;
    }
};

} // namespace

TEST_CASE("calls to the store do not increase with the number of entries", "[list_freshness]")
{
    for (const std::size_t count : {1, 4, 26, 100}) {
        followed_list all{count};
        // Also without writes for a long time, when all readings end at the same position.
        all.has_signs_of_life = count % 4 != 0;
        all.run(seconds{1}); // Each entry reads once at its start.
        all.readings = 0;
        all.run(seconds{20});
        INFO(count << " entries");
        CHECK(all.readings >= 15);
        CHECK(all.readings <= 25);
    }
}

TEST_CASE("a change is known everywhere within a second and a half", "[list_freshness]")
{
    // A server leaves. Entries that learned only that the list was read recently, and not that it
    // changed, would keep sending requests there.
    followed_list all{26};
    all.run(seconds{3});
    for (int i = 0; i < 12; ++i) {
        all.run(milliseconds{100 * (i + 3)});
        all.change();
        all.run(milliseconds{1400});
        CHECK(all.all_know());
    }
}

TEST_CASE("the entries that read may fail at any time", "[list_freshness]")
{
    // The entries that rank first lose power together, just as a server leaves.
    followed_list all{26};
    all.run(seconds{3});
    for (std::size_t i = 0; i < 10; ++i) {
        all.is_up[i] = false;
    }
    all.change();
    all.run(milliseconds{1600});
    CHECK(all.all_know());
}

TEST_CASE("delayed reports do not make an old reading appear new", "[list_freshness]")
{
    // Entries on slow hosts process each other's messages 60 ms late. If each of them forwards a
    // reading's age without that delay, ten times per second and in a cycle, the reading ages by
    // only 40 ms in 100 ms: all entries considered their list current for 2.5 s after the last
    // reading, and sent requests for as long to a server that had left.
    followed_list all{4};
    all.delay = milliseconds{60};
    all.run(seconds{3});
    for (int i = 0; i < 12; ++i) {
        all.run(milliseconds{100 * (i + 3)});
        all.change();
        all.run(milliseconds{1500});
        CHECK(all.all_know());
    }
}

TEST_CASE("an entry that is cut off from the others reads by itself", "[list_freshness]")
{
    list_freshness one{freshness_options{}};
    CHECK(one.is_due(20, start));
    one.note_read(10, true, start);
    CHECK_FALSE(one.is_due(20, start + milliseconds{1300}));
    CHECK(one.is_due(20, start + milliseconds{1400}));
    // The first entry reads once per second.
    CHECK(one.is_due(0, start + milliseconds{1000}));
}

TEST_CASE("an entry that lacks a change makes no other list appear current", "[list_freshness]")
{
    // One entry has read a change. Another entry can't read the store and only receives the report;
    // its peers must not consider its old list current.
    list_freshness reader{freshness_options{}};
    list_freshness turned_away{freshness_options{}};
    reader.note_read(10, true, start);
    turned_away.note_read(10, true, start);
    const auto later = start + milliseconds{900};
    reader.note_read(20, true, later);
    turned_away.apply_report(reader.make_report(later), later);
    CHECK(turned_away.is_due(3, later));
    CHECK(turned_away.make_report(later).changed == 10);
    CHECK(turned_away.make_report(later).age == milliseconds{900});
    // An impossible age counts as zero.
    turned_away.apply_report({10, milliseconds{-5000}}, later);
    CHECK(turned_away.make_report(later).age >= milliseconds{0});
    // An entry that has read nothing makes no list current.
    list_freshness fresh{freshness_options{}};
    list_freshness other{freshness_options{}};
    other.note_read(10, true, start);
    other.apply_report(fresh.make_report(later), later);
    CHECK(other.is_due(4, start + milliseconds{1400}));
}

} // namespace reedramp::routing
