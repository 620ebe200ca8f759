#include "test/support/crash_simulation.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hornbeamweir;
using test::crash_simulation;
using crash_moment = crash_simulation::crash_moment;

namespace
{

constexpr int steps_per_second = 100;
/// Requests that crash replicas, of those that may be sent 3 s after the third
/// crash.
constexpr std::size_t max_late_requests = 3;
constexpr std::size_t counted_crashes = 3;

/// \brief Sends sound requests of one caller and path, some of which are alike,
/// and if wanted some with the body "bad".
void play(
    crash_simulation& simulation,
    std::size_t entries,
    int seconds,
    std::string const& bad_target = "")
{
    static int unique = 0;
    for (int step = 0; step < seconds * steps_per_second; ++step)
    {
        std::size_t const entry = static_cast<std::size_t>(step / 4) % entries;
        if (step % 4 == 0)
            simulation.plain_request(entry, "b" + std::to_string(++unique));
        if (step % 10 == 5)
            simulation.plain_request(entry, "list");
        if (!bad_target.empty() && step % 40 == 20)
            simulation.plain_request(entry, "bad", bad_target);
        simulation.step();
    }
}

crash_simulation::options
options_of(std::size_t entries, std::size_t replicas, crash_moment moment)
{
    return {entries, replicas, false, 1, 0.1, moment, counted_crashes};
}

} // namespace

// Guards against the incident of docs/incidents/crashing-requests.md.
TEST_CASE("a plain request that crashes replicas stops reaching them")
{
    for (std::size_t const entries : {1, 5, 52})
    {
        for (std::size_t const replicas : {3, 6})
        {
            for (crash_moment const moment :
                 {crash_moment::before_head,
                  crash_moment::after_head,
                  crash_moment::in_mid_answer})
            {
                for (std::string const target : {"/plain/", "/once/"})
                {
                    CAPTURE(entries, replicas, moment, target);
                    crash_simulation simulation{
                        options_of(entries, replicas, moment)};
                    play(simulation, entries, 11);
                    simulation.set_crashing_body("bad");
                    play(simulation, entries, 27, target);
                    CHECK(
                        simulation.totals().crashing_sent_late <=
                        max_late_requests);
                }
            }
        }
    }
}

TEST_CASE("bystanders of a crashing request are served as before")
{
    for (crash_moment const moment :
         {crash_moment::before_head, crash_moment::in_mid_answer})
    {
        CAPTURE(moment);
        crash_simulation simulation{options_of(5, 6, moment)};
        play(simulation, 5, 11);
        simulation.set_crashing_body("bad");
        play(simulation, 5, 12, "/plain/");
        CHECK(simulation.is_body_blocked(0, "bad"));
        crash_simulation::counters const before = simulation.totals();
        play(simulation, 5, 10, "/plain/");
        crash_simulation::counters const after = simulation.totals();
        std::size_t const sent = after.sound - before.sound;
        CHECK(after.sound_answered - before.sound_answered >= sent * 95 / 100);
        for (std::size_t n = 0; n < 5; ++n)
            CHECK_FALSE(simulation.is_body_blocked(n, "list"));
    }
}

TEST_CASE("a request that is harmless again is served again")
{
    crash_simulation simulation{options_of(5, 6, crash_moment::before_head)};
    play(simulation, 5, 11);
    simulation.set_crashing_body("bad");
    play(simulation, 5, 10, "/plain/");
    REQUIRE(simulation.is_body_blocked(4, "bad"));
    simulation.set_crashing_body("");
    play(simulation, 5, 45, "/plain/");
    for (std::size_t n = 0; n < 5; ++n)
        CHECK_FALSE(simulation.is_body_blocked(n, "bad"));
}

TEST_CASE("a request that turns bad while it is in use is found")
{
    for (std::size_t const replicas : {3, 6})
    {
        crash_simulation simulation{
            options_of(5, replicas, crash_moment::before_head)};
        play(simulation, 5, 11, "/plain/");
        simulation.set_crashing_body("bad");
        play(simulation, 5, 27, "/plain/");
        CHECK(simulation.totals().crashing_sent_late <= max_late_requests);
    }
}

TEST_CASE("a prompt that crashes replicas by itself takes no part with it")
{
    crash_simulation simulation{options_of(5, 6, crash_moment::before_head)};
    auto const play_streams = [&](int seconds, bool with_bad)
    {
        for (int step = 0; step < seconds * steps_per_second; ++step)
        {
            std::size_t const entry = static_cast<std::size_t>(step / 4) % 5;
            std::string const session = "s" + std::to_string(step / 4 % 7);
            if (step % 4 == 0)
                simulation.request(
                    entry, {"first", session}, std::to_string(step));
            if (with_bad && step % 40 == 20)
                simulation.request(entry, {"first", "s1"}, "bad");
            simulation.step();
        }
    };
    play_streams(11, false);
    simulation.set_crashing_body("bad");
    play_streams(27, true);
    CHECK(simulation.totals().crashing_sent_late <= max_late_requests);
    CHECK_FALSE(simulation.is_blocked(0, "first"));
    CHECK_FALSE(simulation.is_blocked(0, "s1"));
}

TEST_CASE("replicas that end for another reason block no request for long")
{
    rc::prop(
        "ends alone, together and in series",
        []
        {
            std::size_t const entries = *rc::gen::inRange<std::size_t>(1, 7);
            std::uint64_t const seed =
                *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
            std::vector<int> const waits =
                *rc::gen::container<std::vector<int>>(
                    *rc::gen::inRange<std::size_t>(1, 16),
                    rc::gen::inRange(0, 100));
            crash_simulation simulation{
                {entries,
                 6,
                 false,
                 seed,
                 0.1,
                 crash_moment::before_head,
                 counted_crashes}};
            play(simulation, entries, 11);
            random_source random{seed};
            for (int const wait : waits)
            {
                simulation.crash(random.below(6));
                for (int step = 0; step < wait; ++step)
                {
                    if (step % 3 == 0)
                        simulation.plain_request(random.below(entries), "list");
                    simulation.step();
                }
            }
            play(simulation, entries, 40);
            for (std::size_t n = 0; n < entries; ++n)
                RC_ASSERT(!simulation.is_body_blocked(n, "list"));
        });
}

TEST_CASE("a crashing request is found among random failures")
{
    rc::prop(
        "lost messages, restarts and cuts",
        []
        {
            std::size_t const entries = *rc::gen::inRange<std::size_t>(2, 8);
            std::size_t const replicas = *rc::gen::inRange<std::size_t>(3, 7);
            std::uint64_t const seed =
                *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
            crash_moment const moment = *rc::gen::element(
                crash_moment::before_head,
                crash_moment::after_head,
                crash_moment::in_mid_answer);
            std::string const target =
                *rc::gen::element<std::string>("/plain/", "/once/");
            crash_simulation simulation{
                {entries, replicas, false, seed, 0.3, moment, counted_crashes}};
            play(simulation, entries, 11);
            simulation.set_crashing_body("bad");
            random_source random{seed};
            for (int second = 0; second < 20; ++second)
            {
                // Knowledge survives as long as one entry does.
                if (random.unit() < 0.2)
                    simulation.restart(1 + random.below(entries - 1));
                if (random.unit() < 0.2)
                    simulation.crash(random.below(replicas));
                if (random.unit() < 0.2)
                    simulation.set_cut(
                        1 + random.below(entries - 1), random.unit() < 0.5);
                play(simulation, entries, 1, target);
            }
            RC_ASSERT(
                simulation.totals().crashing_sent_late <= max_late_requests);
            RC_ASSERT(!simulation.is_body_blocked(0, "list"));
        });
}
