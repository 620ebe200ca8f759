#include <hornbeamweir/relay/load_report_schedule.hpp>
#include <hornbeamweir/relay/replica_chooser.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

backend_server_id const first{"a"};
backend_server_id const second{"b"};

} // namespace

TEST_CASE("open requests of all entries are added up by replica")
{
    replica_load_tracker loads;
    time_point const now{std::chrono::seconds{100}};
    loads.on_attempt_started(first);
    loads.on_peer_load(process_name{"x"}, {{first, 2}, {second, 1}}, now);
    loads.on_peer_load(process_name{"y"}, {{first, 3}, {second, 0}}, now);
    CHECK(loads.in_flight(first) == 6);
    CHECK(loads.in_flight(second) == 1);
    loads.on_peer_load(process_name{"x"}, {{second, 4}}, now);
    CHECK(loads.in_flight(first) == 4);
    CHECK(loads.in_flight(second) == 4);
    loads.on_attempt_ended(first);
    CHECK(loads.in_flight(first) == 3);
}

TEST_CASE("counts of an entry that has fallen silent are dropped")
{
    replica_load_tracker loads;
    time_point now{std::chrono::seconds{100}};
    loads.on_peer_load(process_name{"x"}, {{first, 2}}, now);
    now += replica_load_tracker::max_report_age;
    loads.on_peer_load(process_name{"y"}, {{first, 1}}, now);
    loads.expire(now);
    CHECK(loads.in_flight(first) == 3);
    now += milliseconds{1};
    loads.expire(now);
    loads.expire(now);
    CHECK(loads.in_flight(first) == 1);
    loads.on_peer_load(process_name{"x"}, {{first, 5}}, now);
    CHECK(loads.in_flight(first) == 6);
    CHECK(loads.entry_count(now) == 3);
}

TEST_CASE("starts are reported at once, ends and silence later")
{
    load_report_schedule schedule;
    replica_load_tracker loads;
    time_point now{std::chrono::seconds{100}};
    CHECK(schedule.is_due(loads, now));
    schedule.on_reported(loads, now);
    now += milliseconds{10};
    CHECK_FALSE(schedule.is_due(loads, now));
    loads.on_attempt_started(first);
    CHECK(schedule.is_due(loads, now));
    schedule.on_reported(loads, now);
    loads.on_attempt_ended(first);
    CHECK_FALSE(schedule.is_due(loads, now + milliseconds{90}));
    CHECK(schedule.is_due(loads, now + milliseconds{100}));
    schedule.on_reported(loads, now);
    CHECK_FALSE(schedule.is_due(loads, now + milliseconds{390}));
    CHECK(schedule.is_due(loads, now + milliseconds{400}));
}

// 52 entries place 314 streams/s on 129 ranks. With reports each 100 ms they
// choose the same least loaded ranks, and every pass waits for the rank with
// the most streams.
TEST_CASE("entries that know of each other's starts spread their streams")
{
    constexpr std::size_t entries = 52;
    constexpr std::size_t ranks = 129;
    constexpr duration step = milliseconds{1};
    constexpr duration stream_time = milliseconds{1500};
    std::vector<replica> replicas(ranks);
    std::vector<replica_load_tracker> loads(entries);
    std::vector<load_report_schedule> schedules(entries);
    std::vector<relay::replica_chooser> choosers;
    for (std::size_t n = 0; n < ranks; ++n)
        replicas[n].id = backend_server_id{std::to_string(n)};
    for (std::size_t n = 0; n < entries; ++n)
        choosers.emplace_back(random_source{n + 1});
    random_source random{20261204};
    std::multimap<time_point, std::pair<std::size_t, std::size_t>> ends;
    std::vector<std::uint32_t> open(ranks, 0);
    std::uint32_t most = 0;
    time_point now{std::chrono::seconds{100}};
    time_point const end = now + std::chrono::seconds{5};
    for (; now < end; now += step)
    {
        while (!ends.empty() && ends.begin()->first <= now)
        {
            auto const [entry, rank] = ends.begin()->second;
            ends.erase(ends.begin());
            loads[entry].on_attempt_ended(replicas[rank].id);
            --open[rank];
        }
        if (random.unit() < 0.314)
        {
            std::size_t const entry = random.below(entries);
            std::vector<relay::candidate> candidates;
            for (replica const& it : replicas)
                candidates.push_back(
                    {&it, loads[entry].in_flight(it.id), 6, 1, 0});
            std::optional<std::size_t> const chosen = choosers[entry].choose(
                candidates,
                {milliseconds{5}, milliseconds{2}},
                data_centre_id{},
                0);
            REQUIRE(chosen);
            loads[entry].on_attempt_started(replicas[*chosen].id);
            most = std::max(most, ++open[*chosen]);
            ends.emplace(
                now + duration{static_cast<duration::rep>(
                          2 * random.unit() *
                          static_cast<double>(stream_time.count()))},
                std::pair{entry, *chosen});
        }
        for (std::size_t from = 0; from < entries; ++from)
        {
            if (!schedules[from].is_due(loads[from], now))
                continue;
            schedules[from].on_reported(loads[from], now);
            for (std::size_t to = 0; to < entries; ++to)
            {
                if (to != from)
                    loads[to].on_peer_load(
                        process_name{std::to_string(from)},
                        loads[from].local_in_flight(),
                        now);
            }
        }
    }
    // 471 streams are open on average, 3.7 a rank.
    CHECK(most <= 5);
}
