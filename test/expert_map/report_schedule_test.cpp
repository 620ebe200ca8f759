#include <hornbeamweir/peers/report_schedule.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

/// \brief Counts the reports of a rank whose state is read every 20 ms for a
/// second, while each pass changes its step and load.
std::size_t reports_in_a_second(bool with_activations)
{
    report_schedule schedule;
    rank_state state;
    std::size_t out = 0;
    time_point now{std::chrono::seconds{100}};
    for (int k = 0; k < 50; ++k)
    {
        now += milliseconds{20};
        ++state.step;
        state.active = static_cast<std::uint32_t>(k % 10);
        bool const has_activations = with_activations && k % 5 == 0;
        if (!schedule.is_due(state, has_activations, now))
            continue;
        ++out;
        schedule.on_reported(state, false, now);
    }
    return out;
}

} // namespace

// The coordinator of 63 ranks was sent 3,000 reports a second. It has 0.15 of a
// core and can process some 500 besides its other work.
TEST_CASE("reports of a large group fit the share of a thin VM", "[peers]")
{
    std::size_t const reporting_activations = 11;
    std::size_t const others = 52;
    CHECK(
        reporting_activations * reports_in_a_second(true) +
            others * reports_in_a_second(false) <=
        500);
}

TEST_CASE("what a map change waits for is reported at once", "[peers]")
{
    struct test_case
    {
        char const* name;
        void (*change)(rank_state&);
    };
    std::vector<test_case> const test_cases{
        {"accepted", [](rank_state& it) { it.accepted_version = 7; }},
        {"prepared", [](rank_state& it) { it.prepared_version = 7; }},
        {"armed", [](rank_state& it) { it.armed_version = 7; }},
        {"held", [](rank_state& it) { it.held_step = 40; }},
        {"switched", [](rank_state& it) { it.map_version = 7; }},
        {"re-formed", [](rank_state& it) { it.epoch = 2; }},
        {"broken", [](rank_state& it) { it.group_formed = true; }},
        {"slow", [](rank_state& it) { it.slowdown = 3; }},
        {"restarted", [](rank_state& it) { it.incarnation = 9; }}};
    for (test_case const& test_case : test_cases)
    {
        CAPTURE(test_case.name);
        report_schedule schedule;
        rank_state state;
        time_point now{std::chrono::seconds{100}};
        schedule.on_reported(state, true, now);
        now += milliseconds{20};
        CHECK_FALSE(schedule.is_due(state, false, now));
        test_case.change(state);
        CHECK(schedule.is_due(state, false, now));
    }
}

TEST_CASE(
    "experts are reported after each change, and to each coordinator",
    "[peers]")
{
    report_schedule schedule;
    rank_state state;
    time_point now{std::chrono::seconds{100}};
    CHECK(schedule.includes_experts(state, now));
    schedule.on_reported(state, true, now);
    CHECK_FALSE(schedule.includes_experts(state, now + milliseconds{200}));
    CHECK(schedule.includes_experts(state, now + std::chrono::seconds{1}));
    state.map_version = 3;
    CHECK(schedule.includes_experts(state, now + milliseconds{200}));
    // The rank has not told its new experts yet.
    schedule.on_reported(state, false, now + milliseconds{200});
    CHECK(schedule.includes_experts(state, now + milliseconds{220}));
    schedule.on_reported(state, true, now + milliseconds{220});
    CHECK_FALSE(schedule.includes_experts(state, now + milliseconds{240}));
    schedule.reset();
    CHECK(schedule.includes_experts(state, now + milliseconds{260}));
    CHECK(schedule.is_due(state, false, now + milliseconds{260}));
}

// Entries went on sending to a stalled group until the next report.
TEST_CASE("entries are told at once that a rank stalls or runs again")
{
    hornbeamweir::entry_report_schedule schedule;
    hornbeamweir::time_point now{std::chrono::seconds{100}};
    CHECK(schedule.is_due(true, now));
    schedule.on_reported(true, now);
    now += std::chrono::milliseconds{60};
    CHECK_FALSE(schedule.is_due(true, now));
    CHECK(schedule.is_due(false, now));
    schedule.on_reported(false, now);
    // A rank that changes all the time sends a bounded number of reports.
    now += std::chrono::milliseconds{20};
    CHECK_FALSE(schedule.is_due(true, now));
    CHECK(schedule.is_due(false, now + std::chrono::milliseconds{200}));
}
