#include <hornbeamweir/relay/stream_limit.hpp>
#include <hornbeamweir/relay/stream_share.hpp>

#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <numeric>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using test::find_action;
using test::relay_fixture;

// Two replicas with four slots each get three times the load that they can
// serve, for about 4 s: a request of 200 ms arrives every 8 ms.
TEST_CASE(
    "under overload requests are rejected early and retries spread",
    "[overload]")
{
    relay_fixture fixture;
    std::map<std::uint64_t, std::pair<time_point, std::uint32_t>> running;
    std::uint64_t number = 0;
    std::size_t served = 0;
    std::size_t rejected = 0;
    std::vector<duration> retry_delays;
    duration max_wait{};
    std::map<std::uint64_t, time_point> arrived;
    auto const apply = [&](actions const& out)
    {
        for (action const& one : out)
        {
            if (open_attempt const* sent = std::get_if<open_attempt>(&one))
            {
                running[sent->exchange] = {
                    fixture.now + milliseconds{200}, sent->attempt};
                max_wait = std::max(
                    max_wait, fixture.now - arrived.at(sent->exchange));
            }
            else if (
                send_error const* rejection = std::get_if<send_error>(&one))
            {
                ++rejected;
                REQUIRE(rejection->retry_after);
                CHECK(rejection->state == execution_state::not_run);
                retry_delays.push_back(*rejection->retry_after);
                // Queueing ends after half of the target latency of 300 ms; the
                // bound leaves a margin of 30 ms.
                CHECK(
                    fixture.now - arrived.at(rejection->exchange) <=
                    milliseconds{180});
            }
        }
    };
    for (int step = 0; step < 480; ++step)
    {
        fixture.advance(milliseconds{8});
        std::vector<std::uint64_t> completed;
        for (auto const& [id, state] : running)
        {
            if (state.first <= fixture.now)
                completed.push_back(id);
        }
        for (std::uint64_t const id : completed)
        {
            std::uint32_t const attempt = running.at(id).second;
            running.erase(id);
            ++served;
            apply(fixture.core.on_head(
                id, attempt, test::signed_response(200), fixture.now));
            apply(fixture.core.on_end(id, attempt, fixture.now));
        }
        ++number;
        arrived[number] = fixture.now;
        apply(fixture.request(number, "/safe/x", 4000));
        apply(fixture.core.on_tick(fixture.now));
    }
    // Eight slots serve 40 requests/s of 200 ms; 90 % of this capacity is used.
    CHECK(served > 480 * 8 / 1000.0 * 40 * 0.9);
    CHECK(max_wait <= milliseconds{180});
    CHECK(rejected > 100);
    auto const [min_delay, max_delay] =
        std::minmax_element(retry_delays.begin(), retry_delays.end());
    CHECK(*max_delay - *min_delay > milliseconds{500});
    CHECK(*max_delay <= duration{milliseconds{4000}} / 3);
}

TEST_CASE("the stream limit keeps passes within the target gap", "[overload]")
{
    engine_profile engine;
    engine.slots = 12;
    engine.stride = 4;
    engine.step = duration{4550};
    engine.per_sequence = duration{905};
    struct test_case
    {
        int gap_ms;
        std::uint32_t limit;
    };
    std::vector<test_case> const test_cases{
        {0, 12}, {40, 1}, {80, 6}, {120, 11}, {500, 12}};
    for (test_case const& test_case : test_cases)
    {
        CAPTURE(test_case.gap_ms);
        CHECK(
            stream_limit(engine, milliseconds{test_case.gap_ms}) ==
            test_case.limit);
    }
}

TEST_CASE("the stream limit follows the passes that are measured", "[overload]")
{
    engine_profile engine;
    engine.slots = 12;
    engine.stride = 4;
    engine.step = duration{4550};
    engine.per_sequence = duration{905};
    constexpr milliseconds target{120};
    constexpr double streams = 10;
    stream_limiter limiter{engine, target};
    time_point now{std::chrono::seconds{1}};
    // A pass of ten streams has token steps of 54 ms.
    auto const run = [&](int gap_ms, int windows)
    {
        for (int k = 0; k < windows; ++k)
        {
            now += milliseconds{250};
            for (int n = 0; n < 40; ++n)
                limiter.on_gap(milliseconds{gap_ms});
            limiter.update(streams, now);
        }
        return limiter.limit();
    };
    CHECK(limiter.limit() == stream_limit(engine, target));
    std::uint32_t const after_one_long_pass = run(150, 1);
    CHECK(after_one_long_pass >= 8);
    CHECK(run(150, 8) == 7);
    // Demand changes again within seconds; the limit must still be low then.
    CHECK(run(75, 8) <= 8);
    CHECK(run(75, 200) == 12);
    CHECK(run(2000, 4) == 12);
    // Fewer streams would hardly make passes of a slow rank shorter.
    CHECK(run(590, 40) == 7);
}

TEST_CASE("entries share the streams of a group", "[overload]")
{
    struct test_case
    {
        stream_counts counts;
        std::uint32_t maximum;
    };
    std::vector<test_case> const test_cases{
        {{0, {0, 0, 0}, 400}, 50},
        {{80, {100, 100, 100}, 400}, 100},
        {{100, {80, 80, 0}, 400}, 118},
        // All is used by others: grows towards an equal share.
        {{20, {200, 180, 0}, 400}, 30},
        {{0, {400, 400, 400}, 400}, 13},
        // More is used than there is: those above their share give way.
        {{160, {120, 120, 100}, 400}, 100},
        {{5, {}, 60}, 60}};
    for (test_case const& test_case : test_cases)
    {
        CAPTURE(test_case.counts.own, test_case.counts.peers);
        stream_share share;
        share.update(test_case.counts, time_point{std::chrono::seconds{1}});
        CHECK(share.maximum() == test_case.maximum);
    }
}

TEST_CASE("entries with old counts of each other keep the limit", "[overload]")
{
    rc::prop(
        "the streams stay near the capacity, and no entry is starved",
        []
        {
            std::size_t const entries = *rc::gen::inRange<std::size_t>(2, 16);
            std::uint32_t const capacity = *rc::gen::inRange(100U, 800U);
            std::uint32_t const equal =
                capacity / static_cast<std::uint32_t>(entries);
            std::vector<std::uint32_t> own(entries, 0);
            own.front() = *rc::gen::inRange(0U, capacity + 1);
            std::vector<std::uint32_t> reported(entries, 0);
            reported.front() = own.front();
            time_point now{std::chrono::seconds{1}};
            constexpr int rounds = 60;
            for (int round = 0; round < rounds; ++round)
            {
                now += milliseconds{100};
                std::vector<std::uint32_t> next;
                for (std::size_t n = 0; n < entries; ++n)
                {
                    std::vector<std::uint32_t> peers = reported;
                    peers.erase(peers.begin() + static_cast<std::ptrdiff_t>(n));
                    stream_share share;
                    share.update({own[n], peers, capacity}, now);
                    // Streams last for 2 s, and demand takes all that it can.
                    std::uint32_t const left = own[n] - (own[n] + 10) / 20;
                    next.push_back(std::max(left, share.maximum()));
                }
                reported = own;
                own = next;
                std::uint32_t const total =
                    std::accumulate(own.begin(), own.end(), 0U);
                // The slots of ranks are about 1.5 times their stream limit;
                // each entry may round up in both intervals that a report
                // takes.
                std::uint32_t const rounding =
                    2 * static_cast<std::uint32_t>(entries);
                RC_ASSERT(total <= capacity + capacity / 2 + rounding);
                if (round + 1 == rounds)
                {
                    RC_ASSERT(total <= capacity + capacity / 10 + rounding);
                    RC_ASSERT(
                        *std::min_element(own.begin(), own.end()) + 2 >=
                        equal - equal / 4);
                }
            }
        });
}

TEST_CASE("retries stay within the budget of any sliding window", "[overload]")
{
    retry_limits limits;
    limits.ratio = 0.2;
    limits.allowance = 90;
    limits.window = std::chrono::seconds{10};
    retry_budget_share budget{limits, {}};
    std::vector<time_point> retries;
    time_point now{std::chrono::seconds{1}};
    for (int n = 0; n < 3000; ++n)
    {
        now += milliseconds{10};
        budget.on_request(now);
        std::optional<retry_source> const source = budget.try_reserve(4, now);
        if (!source)
            continue;
        budget.on_sent(*source, now);
        retries.push_back(now);
    }
    for (time_point const& start : retries)
    {
        std::size_t const within = static_cast<std::size_t>(std::count_if(
            retries.begin(),
            retries.end(),
            [&](time_point time)
            { return time >= start && time < start + limits.window; }));
        // 100 requests/s arrive; a quarter of the allowance belongs to this
        // entry.
        CHECK(within <= 0.2 * 1000 + 90 / 4.0);
    }
    CHECK(retries.size() > 400);
}
