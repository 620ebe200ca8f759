#include <hornbeamweir/expert_map/hold_coordinator.hpp>
#include <hornbeamweir/expert_map/map_delta.hpp>
#include <hornbeamweir/peers/rank_messages.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <set>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

constexpr std::uint32_t ranks = 63;
constexpr std::uint16_t experts = 252;
constexpr std::size_t sets = 8;

/// \brief Places the experts in turn, as the initial map of a group does.
group_experts initial_map()
{
    group_experts out(sets, std::vector<std::vector<std::uint16_t>>(ranks));
    for (std::vector<std::vector<std::uint16_t>>& set : out)
    {
        for (std::uint16_t n = 0; n < experts; ++n)
            set[n % ranks].push_back(n);
    }
    return out;
}

/// \brief Adds one expert to each of some ranks.
group_experts with_moves(group_experts map, std::size_t moves)
{
    for (std::size_t n = 0; n < moves; ++n)
    {
        std::vector<std::uint16_t>& list =
            map[n % sets][(n / sets + 7 * (n % sets)) % ranks];
        list.push_back(
            static_cast<std::uint16_t>((list.front() + 1) % experts));
        std::sort(list.begin(), list.end());
    }
    return map;
}

struct order_totals
{
    std::size_t ranks = 0;
    std::size_t bytes = 0;
    duration time{};
};

/// \brief Starts a change of 110 experts in a group of 63 ranks, and runs until
/// all ranks are ordered to prepare it.
order_totals order_new_map(bool accepts_deltas)
{
    constexpr std::uint64_t base_version = 5;
    null_event_log log;
    hold_coordinator coordinator{log};
    time_point now{std::chrono::seconds{100}};
    group_experts const base = initial_map();
    coordinator.on_map_ordered(
        base_version, std::make_shared<group_experts const>(base));
    coordinator.become_coordinator(1, 0, std::nullopt, now);
    std::vector<rank_state> states(ranks);
    std::uint64_t prepared = base_version;
    auto const report_all = [&]
    {
        for (std::uint32_t n = 0; n < ranks; ++n)
        {
            rank_state& it = states[n];
            it.group = model_group_id{"g"};
            it.epoch = 1;
            it.rank = n;
            it.ranks = ranks;
            it.group_formed = true;
            it.map_version = base_version;
            it.prepared_version = prepared;
            it.accepted_version = prepared;
            it.agent_accepts_deltas = accepts_deltas;
            coordinator.on_report(it, std::nullopt, now);
        }
    };
    // Clearing: the ranks prepare the map in force under a new version.
    for (int k = 0; k < 200 && !coordinator.ready_for_map(now); ++k)
    {
        now += milliseconds{20};
        report_all();
        for (rank_order const& order : coordinator.on_tick(now))
            prepared = order.version;
    }
    REQUIRE(coordinator.ready_for_map(now));
    coordinator.start(with_moves(base, 110), now);
    time_point const started = now;
    std::set<std::uint32_t> ordered;
    std::size_t bytes = 0;
    while (ordered.size() < ranks && now - started < std::chrono::seconds{1})
    {
        now += milliseconds{5};
        report_all();
        for (rank_order const& order : coordinator.on_tick(now))
        {
            ordered.insert(order.rank);
            bytes += to_wire(order).ByteSizeLong();
        }
    }
    return {ordered.size(), bytes, now - started};
}

} // namespace

TEST_CASE("a map is restored from its difference to another", "[expert_map]")
{
    rc::prop(
        "any two maps of one shape",
        []
        {
            std::size_t const shape_sets = *rc::gen::inRange<std::size_t>(1, 4);
            std::size_t const shape_ranks =
                *rc::gen::inRange<std::size_t>(1, 9);
            auto const draw = [&]
            {
                group_experts out(
                    shape_sets,
                    std::vector<std::vector<std::uint16_t>>(shape_ranks));
                for (std::vector<std::vector<std::uint16_t>>& set : out)
                {
                    for (std::vector<std::uint16_t>& list : set)
                    {
                        std::vector<std::uint16_t> const numbers =
                            *rc::gen::container<std::vector<std::uint16_t>>(
                                rc::gen::inRange<std::uint16_t>(0, 40));
                        std::set<std::uint16_t> const drawn(
                            numbers.begin(), numbers.end());
                        list.assign(drawn.begin(), drawn.end());
                    }
                }
                return out;
            };
            group_experts const from = draw();
            group_experts const to = draw();
            std::optional<map_delta> const delta = difference_of(from, to);
            RC_ASSERT(delta.has_value());
            RC_ASSERT(apply_delta(from, *delta) == std::optional{to});
        });
}

TEST_CASE("maps without a usable difference are sent whole", "[expert_map]")
{
    group_experts const base = initial_map();
    group_experts unsorted = base;
    std::swap(unsorted[0][0][0], unsorted[0][0][1]);
    CHECK_FALSE(difference_of(base, unsorted));
    group_experts smaller = base;
    smaller.pop_back();
    CHECK_FALSE(difference_of(base, smaller));
    CHECK_FALSE(apply_delta(base, {experts, {sets * ranks * experts}, 0}));
    CHECK_FALSE(apply_delta(base, {0, {1}, 0}));
    CHECK_FALSE(apply_delta({}, {experts, {1}, 0}));
}

// An agent may know another map under the same version, if its group was
// re-formed while the map was ordered.
TEST_CASE("a difference to another map is not applied", "[expert_map]")
{
    group_experts const base = initial_map();
    group_experts const next = with_moves(base, 110);
    std::optional<map_delta> const delta = difference_of(base, next);
    REQUIRE(delta);
    CHECK(apply_delta(base, *delta) == std::optional{next});
    CHECK_FALSE(apply_delta(with_moves(base, 1), *delta));
    CHECK_FALSE(apply_delta(next, *delta));
}

// The coordinator's link carries 1 KB in a millisecond. With whole maps, the
// orders of a change alone took longer than the ranks need to copy the experts.
TEST_CASE("a new map is ordered in a large group at once", "[expert_map]")
{
    order_totals const totals = order_new_map(true);
    CHECK(totals.ranks == ranks);
    // A tenth of the 230 ms in which a rank copies two experts of each set.
    CHECK(totals.time <= milliseconds{25});
    CHECK(totals.bytes <= 50'000);
}

TEST_CASE("agents of an earlier version get whole maps", "[expert_map]")
{
    order_totals const totals = order_new_map(false);
    CHECK(totals.ranks == ranks);
    CHECK(totals.bytes > 200'000);
    CHECK(totals.time >= milliseconds{300});
}
