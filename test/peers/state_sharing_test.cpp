#include <hornbeamweir/peers/state_sharing.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

std::vector<process_name> fleet(int size)
{
    std::vector<process_name> out;
    for (int n = 10; n < 10 + size; ++n)
        out.push_back(process_name{"e" + std::to_string(n)});
    return out;
}

/// \brief The last entry of a fleet of 20, which is no reader.
struct asking_entry
{
    asking_entry() { sharing.set_peers(fleet(20)); }

    /// \brief Ticks each 20 ms until the entry asks or a time has passed.
    state_sharing::step wait(duration time)
    {
        for (time_point const end = now + time; now < end;
             now += milliseconds{20})
        {
            state_sharing::step const out = sharing.on_tick(now);
            if (out.ask || out.read_configuration)
                return out;
        }
        return {};
    }

    state_sharing sharing{process_name{"e99"}};
    known_state own{7, {}, 42, {}};
    time_point now{std::chrono::seconds{100}};
};

} // namespace

TEST_CASE("few entries of a large fleet read from the store", "[peers]")
{
    for (int const size : {1, 5, 8, 9, 13, 52, 430})
    {
        CAPTURE(size);
        std::vector<process_name> const names = fleet(size);
        int readers = 0;
        for (process_name const& name : names)
        {
            state_sharing it{name};
            it.set_peers(names);
            readers += it.is_reader() ? 1 : 0;
            CHECK(it.is_shared() == size >= 9);
        }
        CHECK(readers == (size < 9 ? size : 3));
    }
}

TEST_CASE("an answer confirms what is the same and young", "[peers]")
{
    struct row
    {
        char const* name;
        state_answer answer;
        bool configuration_confirmed;
        bool replicas_confirmed;
    };
    duration const young = milliseconds{300};
    duration const old = milliseconds{1600};
    for (row const& it :
         {row{"all same", {1, 7, young, 42, young}, true, true},
          row{"newer configuration", {1, 8, young, 42, young}, false, true},
          row{"older configuration", {1, 6, young, 42, young}, false, true},
          row{"other replicas", {1, 7, young, 43, young}, true, false},
          row{"old configuration", {1, 7, old, 42, young}, false, true},
          row{"old replicas", {1, 7, young, 42, old}, true, false},
          row{"another question", {5, 7, young, 42, young}, false, false}})
    {
        CAPTURE(it.name);
        asking_entry entry;
        REQUIRE(entry.wait(milliseconds{900}).ask);
        time_point const asked_at = entry.now;
        entry.now += milliseconds{5};
        state_sharing::step const next =
            entry.sharing.on_answer(it.answer, entry.own, entry.now);
        CHECK(
            next.configuration_confirmed.has_value() ==
            it.configuration_confirmed);
        CHECK(next.replicas_confirmed.has_value() == it.replicas_confirmed);
        bool const is_answer = it.answer.nonce == 1;
        CHECK(
            next.read_configuration ==
            (is_answer && !it.configuration_confirmed));
        CHECK(next.read_replicas == (is_answer && !it.replicas_confirmed));
        if (next.configuration_confirmed)
            CHECK(*next.configuration_confirmed == asked_at - young);
    }
}

TEST_CASE("an entry without an answer reads and asks another", "[peers]")
{
    asking_entry entry;
    state_sharing::step const first = entry.wait(milliseconds{900});
    REQUIRE(first.ask);
    time_point const asked_at = entry.now;
    entry.now += milliseconds{20};
    state_sharing::step const second = entry.wait(milliseconds{900});
    CHECK(second.read_configuration);
    CHECK(second.read_replicas);
    CHECK(entry.now - asked_at <= milliseconds{300});
    // The answer that arrives now is of no use.
    CHECK_FALSE(
        entry.sharing
            .on_answer({first.nonce, 7, {}, 42, {}}, entry.own, entry.now)
            .configuration_confirmed);
    state_sharing::step const third = entry.wait(milliseconds{1000});
    REQUIRE(third.ask);
    CHECK(*third.ask != *first.ask);
}

TEST_CASE("a hint makes an entry ask at once", "[peers]")
{
    asking_entry entry;
    REQUIRE(entry.wait(milliseconds{900}).ask);
    static_cast<void>(
        entry.sharing.on_answer({1, 7, {}, 42, {}}, entry.own, entry.now));
    CHECK_FALSE(entry.wait(milliseconds{500}).ask);
    entry.sharing.on_hint();
    CHECK(entry.wait(milliseconds{20}).ask);
}

// A withdrawn key must stop working within a bound also if the process that
// asks, the one that answers or the messages between them are suspended or
// delayed for any time.
TEST_CASE("nothing is confirmed later than it was the newest", "[peers]")
{
    rc::prop(
        "random delays and suspensions",
        []
        {
            asking_entry entry;
            // The answering reader polls the store; the state changes there at
            // one moment.
            time_point const changed_at =
                entry.now + milliseconds{*rc::gen::inRange(0, 4000)};
            known_state reader{7, entry.now, 42, entry.now};
            std::optional<time_point> latest;
            for (int k = 0; k < 30; ++k)
            {
                entry.now += milliseconds{*rc::gen::inRange(0, 400)};
                state_sharing::step const asked =
                    entry.sharing.on_tick(entry.now);
                if (!asked.ask)
                    continue;
                entry.now += milliseconds{*rc::gen::inRange(0, 150)};
                if (*rc::gen::inRange(0, 2) == 0)
                {
                    reader.configuration_as_of = entry.now;
                    reader.replicas_as_of = entry.now;
                    if (entry.now >= changed_at)
                        reader.configuration_version = 8;
                }
                state_answer const answer =
                    state_sharing::answer_of(reader, asked.nonce, entry.now);
                entry.now += milliseconds{*rc::gen::inRange(0, 2500)};
                state_sharing::step const next =
                    entry.sharing.on_answer(answer, entry.own, entry.now);
                if (next.configuration_confirmed)
                    latest = next.configuration_confirmed;
            }
            RC_ASSERT(!latest || *latest < changed_at);
        });
}
