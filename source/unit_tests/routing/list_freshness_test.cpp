#include "routing/list_freshness.hpp"

#include <vector>

#include <catch2/catch.hpp>

namespace reedramp::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const time_point start{seconds{100}};

/// Entries that follow a list; each tells all others ten times a second, unless it is down.
struct followed_list {
    std::vector<list_freshness> entries;
    std::vector<bool> is_up;
    std::vector<std::uint64_t> read_to;
    std::uint64_t end = 10;
    std::uint64_t last_change = 10;
    int readings = 0;
    /// What a message takes until its receiver has read it.
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
        // A server's sign of life, which changes nothing.
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
                    this->entries[to].hear(
                        this->entries[from].tell(this->now), this->now + this->delay);
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

TEST_CASE("calls to the store do not grow with the number of entries", "[list_freshness]")
{
    for (const std::size_t count : {1, 4, 26, 100}) {
        followed_list all{count};
        // Also where nothing is written for long, so that all readings end at one place.
        all.has_signs_of_life = count % 4 != 0;
        all.run(seconds{1}); // Each reads once at its start.
        all.readings = 0;
        all.run(seconds{20});
        INFO(count << " entries");
        CHECK(all.readings >= 15);
        CHECK(all.readings <= 25);
    }
}

TEST_CASE("a change is known everywhere within a second and a half", "[list_freshness]")
{
    // A server leaves. Entries that heard only that the list had been read a moment ago, and not
    // that it had changed, would go on sending work there.
    followed_list all{26};
    all.run(seconds{3});
    for (int i = 0; i < 12; ++i) {
        all.run(milliseconds{100 * (i + 3)});
        all.change();
        all.run(milliseconds{1400});
        CHECK(all.all_know());
    }
}

TEST_CASE("the entries that read may die at any moment", "[list_freshness]")
{
    // Those that go first lose their power together, just as a server leaves.
    followed_list all{26};
    all.run(seconds{3});
    for (std::size_t i = 0; i < 10; ++i) {
        all.is_up[i] = false;
    }
    all.change();
    all.run(milliseconds{1600});
    CHECK(all.all_know());
}

TEST_CASE("words that take time make no old reading new", "[list_freshness]")
{
    // Entries on slow hosts take each other's messages in 60 ms late. Each passed on what it had
    // heard as that much younger than it was, ten times a second and round in a circle, so that a
    // reading aged by 40 ms in 100: all thought their list new for 2.5 s after the last reading,
    // and sent work to a server that had left for as long.
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
    // The first one reads once a second.
    CHECK(one.is_due(0, start + milliseconds{1000}));
}

TEST_CASE("what an entry lacks makes nobody's list look fresh", "[list_freshness]")
{
    // One entry has read a change; the store turns another one away, which only hears of it. Its
    // peers must not take its old list for the newest.
    list_freshness reader{freshness_options{}};
    list_freshness turned_away{freshness_options{}};
    reader.note_read(10, true, start);
    turned_away.note_read(10, true, start);
    const auto later = start + milliseconds{900};
    reader.note_read(20, true, later);
    turned_away.hear(reader.tell(later), later);
    CHECK(turned_away.is_due(3, later));
    CHECK(turned_away.tell(later).changed == 10);
    CHECK(turned_away.tell(later).age == milliseconds{900});
    // A told age that can't be: it counts as just now, no later.
    turned_away.hear({10, milliseconds{-5000}}, later);
    CHECK(turned_away.tell(later).age >= milliseconds{0});
    // One that has read nothing makes no list fresh.
    list_freshness fresh{freshness_options{}};
    list_freshness other{freshness_options{}};
    other.note_read(10, true, start);
    other.hear(fresh.tell(later), later);
    CHECK(other.is_due(4, start + milliseconds{1400}));
}

} // namespace reedramp::routing
