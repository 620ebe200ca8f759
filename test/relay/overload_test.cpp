#include <hornbeamweir/relay/stream_limit.hpp>

#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using test::find_action;
using test::relay_fixture;

// Replays three times the load that two replicas with four slots each can take
// for 4 s: requests of 200 ms come at 120/s.
TEST_CASE("refusals under overload are early and returns spread", "[overload]")
{
    relay_fixture it;
    std::map<std::uint64_t, std::pair<time_point, std::uint32_t>> running;
    std::uint64_t number = 0;
    std::size_t served = 0;
    std::size_t refused = 0;
    std::vector<duration> returns;
    duration longest_wait{};
    std::map<std::uint64_t, time_point> arrived;
    auto const apply = [&](actions const& out)
    {
        for (action const& one : out)
        {
            if (open_attempt const* sent = std::get_if<open_attempt>(&one))
            {
                running[sent->request] = {
                    it.now + milliseconds{200}, sent->attempt};
                longest_wait =
                    std::max(longest_wait, it.now - arrived.at(sent->request));
            }
            else if (send_error const* no = std::get_if<send_error>(&one))
            {
                ++refused;
                REQUIRE(no->retry_after);
                CHECK(no->state == execution_state::not_run);
                returns.push_back(*no->retry_after);
                // Nobody waits longer than a request could still be on time.
                CHECK(it.now - arrived.at(no->request) <= milliseconds{180});
            }
        }
    };
    for (int step = 0; step < 480; ++step)
    {
        it.pass(milliseconds{8});
        std::vector<std::uint64_t> ended;
        for (auto const& [id, state] : running)
        {
            if (state.first <= it.now)
                ended.push_back(id);
        }
        for (std::uint64_t const id : ended)
        {
            std::uint32_t const attempt = running.at(id).second;
            running.erase(id);
            ++served;
            apply(
                it.core.on_head(id, attempt, test::signed_answer(200), it.now));
            apply(it.core.on_end(id, attempt, it.now));
        }
        ++number;
        arrived[number] = it.now;
        apply(it.request(number, "/safe/x", 4000));
        apply(it.core.on_tick(it.now));
    }
    // Eight slots of 200 ms serve 40 a second; 90 % of it is used.
    CHECK(served > 480 * 8 / 1000.0 * 40 * 0.9);
    CHECK(longest_wait <= milliseconds{180});
    CHECK(refused > 100);
    auto const [least, most] =
        std::minmax_element(returns.begin(), returns.end());
    CHECK(*most - *least > milliseconds{500});
    CHECK(*most <= duration{milliseconds{4000}} / 3);
}

TEST_CASE("the stream limit keeps passes within the pause", "[overload]")
{
    engine_profile engine;
    engine.slots = 12;
    engine.stride = 4;
    engine.step = duration{4550};
    engine.per_sequence = duration{905};
    struct row
    {
        int gap_ms;
        std::uint32_t limit;
    };
    std::vector<row> const rows{
        {0, 12}, {40, 1}, {80, 6}, {120, 11}, {500, 12}};
    for (row const& row : rows)
    {
        CAPTURE(row.gap_ms);
        CHECK(stream_limit(engine, milliseconds{row.gap_ms}) == row.limit);
    }
}

TEST_CASE("repeats stay within the budget of any sliding window", "[overload]")
{
    retry_limits limits;
    limits.ratio = 0.2;
    limits.allowance = 90;
    limits.window = std::chrono::seconds{10};
    retry_budget_share budget{limits};
    std::vector<time_point> repeats;
    time_point now{std::chrono::seconds{1}};
    for (int n = 0; n < 3000; ++n)
    {
        now += milliseconds{10};
        budget.on_request(now);
        if (budget.take(4, now))
            repeats.push_back(now);
    }
    for (time_point const& start : repeats)
    {
        std::size_t const within = static_cast<std::size_t>(std::count_if(
            repeats.begin(),
            repeats.end(),
            [&](time_point at)
            { return at >= start && at < start + limits.window; }));
        // 100 requests a second come; a quarter of the allowance is ours.
        CHECK(within <= 0.2 * 1000 + 90 / 4.0);
    }
    CHECK(repeats.size() > 400);
}
