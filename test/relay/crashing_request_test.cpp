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
