#include "test/support/retry_simulation.hpp"

#include <catch2/catch.hpp>

#include <cstdlib>

using std::chrono::milliseconds;
using std::chrono::seconds;
using test::retry_simulation;

namespace
{

void check_budget(retry_simulation const& simulation)
{
    retry_simulation::window const worst = simulation.worst_window();
    INFO(
        worst.retries << " retries arrived in 10 s from "
                      << worst.start.time_since_epoch().count() / 1000
                      << " ms; allowed " << worst.allowed);
    CHECK(worst.excess() <= 0);
}

void disturb(retry_simulation& simulation, hornbeamweir::random_source& random)
{
    std::size_t const entry = random.below(5);
    switch (random.below(5))
    {
    case 0:
        // At times all of them.
        for (std::size_t n = random.below(5) + 1; n > 0; --n)
            simulation.restart((entry + n) % 5);
        break;
    case 1:
        simulation.set_cut(entry, random.below(2) == 0);
        break;
    case 2:
        simulation.set_weight(
            entry, static_cast<double>(random.below(3)) + 0.01);
        break;
    default:
        simulation.fail_group(milliseconds{1500 + 100 * random.below(15)});
    }
}

} // namespace

// Guards against retries that are charged as the first attempt fails, but
// arrive together with those of the next window.
TEST_CASE("retries that have waited stay within the budget", "[retry_budget]")
{
    for (int const pause_ms : {8900, 9500, 9900, 10'300, 10'900, 11'500})
    {
        retry_simulation simulation{{}};
        simulation.run(seconds{15});
        simulation.fail_group(milliseconds{2700});
        simulation.run(milliseconds{pause_ms});
        simulation.fail_group(milliseconds{1500});
        simulation.run(milliseconds{pause_ms});
        simulation.fail_group(milliseconds{2700});
        simulation.run(seconds{15});
        INFO("pause " << pause_ms << " ms");
        check_budget(simulation);
    }
}

// Guards against a part of the allowance for each start of a process.
TEST_CASE(
    "entries that restart in series stay within the retry budget",
    "[retry_budget]")
{
    retry_simulation simulation{{}};
    simulation.run(seconds{15});
    for (int round = 0; round < 6; ++round)
    {
        simulation.fail_group(milliseconds{1900});
        simulation.run(milliseconds{2200});
        for (std::size_t n = 0; n < 3; ++n)
            simulation.restart((static_cast<std::size_t>(round) + n) % 5);
        simulation.run(milliseconds{800});
    }
    simulation.run(seconds{15});
    check_budget(simulation);
}

// Guards against requests that are counted by the entry that the callers left
// and by the one that they use now.
TEST_CASE(
    "callers that move between entries stay within the retry budget",
    "[retry_budget]")
{
    retry_simulation simulation{{}};
    simulation.set_weight(3, 0);
    simulation.set_weight(4, 0);
    simulation.run(seconds{20});
    simulation.fail_group(milliseconds{1900});
    simulation.run(milliseconds{2100});
    for (std::size_t n = 0; n < 3; ++n)
        simulation.set_weight(n, 0);
    simulation.set_weight(3, 1);
    simulation.set_weight(4, 1);
    simulation.run(milliseconds{4000});
    simulation.fail_group(milliseconds{1900});
    simulation.run(milliseconds{3800});
    simulation.fail_group(milliseconds{1900});
    simulation.run(seconds{15});
    check_budget(simulation);
}

// Guards against entries that take the parts of others which they don't hear.
TEST_CASE(
    "entries that don't hear each other stay within the retry budget",
    "[retry_budget]")
{
    retry_simulation simulation{{}};
    simulation.run(seconds{15});
    for (std::size_t n = 0; n < 5; ++n)
        simulation.set_cut(n, true);
    simulation.run(seconds{25});
    simulation.fail_group(milliseconds{1900});
    simulation.run(milliseconds{4000});
    simulation.fail_group(milliseconds{1900});
    simulation.run(seconds{15});
    check_budget(simulation);
}

// Guards against excesses that only combinations of disruptions show.
TEST_CASE(
    "no series of failures and restarts exceeds the retry budget",
    "[retry_budget]")
{
    char const* const chosen = std::getenv("HORNBEAMWEIR_RETRY_SEEDS");
    std::uint64_t const seeds =
        chosen ? std::strtoull(chosen, nullptr, 10) : 12;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed)
    {
        hornbeamweir::random_source random{seed};
        retry_simulation::options options;
        options.seed = seed;
        retry_simulation simulation{options};
        simulation.run(seconds{15});
        for (int round = 0; round < 25; ++round)
        {
            disturb(simulation, random);
            simulation.run(milliseconds{random.below(1500)});
        }
        INFO("seed " << seed);
        check_budget(simulation);
    }
}
