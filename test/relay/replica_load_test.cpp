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

namespace
{

/// \brief Entries that place streams on the ranks of a group and tell each
/// other their open requests, without delay.
class placement_simulation
{
public:
    placement_simulation()
    {
        for (std::size_t n = 0; n < ranks; ++n)
            replicas_[n].id = backend_server_id{std::to_string(n)};
        for (std::size_t n = 0; n < entries; ++n)
            choosers_.emplace_back(random_source{n + 1});
    }

    /// \param usable Number of replicas that are registered.
    void run(duration time, std::size_t usable)
    {
        constexpr duration step = milliseconds{1};
        for (time_point const end = now_ + time; now_ < end; now_ += step)
        {
            end_streams();
            if (random_.unit() < streams_per_ms)
                place(random_.below(entries), usable);
            exchange_loads();
        }
    }

    [[nodiscard]] std::uint32_t open(std::size_t rank) const
    {
        return open_[rank];
    }
    [[nodiscard]] std::uint32_t most() const noexcept { return most_; }

    static constexpr std::size_t ranks = 129;

private:
    static constexpr std::size_t entries = 52;
    static constexpr double streams_per_ms = 0.314;
    static constexpr duration mean_stream_time = milliseconds{1500};

    void end_streams()
    {
        while (!ends_.empty() && ends_.begin()->first <= now_)
        {
            auto const [entry, rank] = ends_.begin()->second;
            ends_.erase(ends_.begin());
            loads_[entry].on_attempt_ended(replicas_[rank].id);
            --open_[rank];
        }
    }

    void place(std::size_t entry, std::size_t usable)
    {
        std::vector<relay::candidate> candidates;
        for (std::size_t n = 0; n < usable; ++n)
            candidates.push_back(
                {&replicas_[n],
                 loads_[entry].in_flight(replicas_[n].id),
                 6,
                 1,
                 0});
        std::optional<std::size_t> const chosen = choosers_[entry].choose(
            candidates,
            {milliseconds{5}, milliseconds{2}},
            data_centre_id{},
            0);
        REQUIRE(chosen);
        loads_[entry].on_attempt_started(replicas_[*chosen].id);
        most_ = std::max(most_, ++open_[*chosen]);
        ends_.emplace(
            now_ + duration{static_cast<duration::rep>(
                       2 * random_.unit() *
                       static_cast<double>(mean_stream_time.count()))},
            std::pair{entry, *chosen});
    }

    void exchange_loads()
    {
        for (std::size_t from = 0; from < entries; ++from)
        {
            if (!schedules_[from].is_due(loads_[from], now_))
                continue;
            schedules_[from].on_reported(loads_[from], now_);
            for (std::size_t to = 0; to < entries; ++to)
            {
                if (to != from)
                    loads_[to].on_peer_load(
                        process_name{std::to_string(from)},
                        loads_[from].local_in_flight(),
                        now_);
            }
        }
    }

    std::vector<replica> replicas_ = std::vector<replica>(ranks);
    std::vector<replica_load_tracker> loads_ =
        std::vector<replica_load_tracker>(entries);
    std::vector<load_report_schedule> schedules_ =
        std::vector<load_report_schedule>(entries);
    std::vector<relay::replica_chooser> choosers_;
    random_source random_{20261204};
    /// Entry and rank of each open stream, by its end.
    std::multimap<time_point, std::pair<std::size_t, std::size_t>> ends_;
    std::vector<std::uint32_t> open_ = std::vector<std::uint32_t>(ranks, 0);
    std::uint32_t most_ = 0;
    time_point now_{std::chrono::seconds{100}};
};

} // namespace

// 52 entries place 314 streams/s on 129 ranks. With reports each 100 ms they
// choose the same least loaded ranks, and every pass waits for the rank with
// the most streams.
TEST_CASE("entries that know of each other's starts spread their streams")
{
    placement_simulation simulation;
    simulation.run(std::chrono::seconds{5}, placement_simulation::ranks);
    // 471 streams are open on average, 3.7 a rank.
    CHECK(simulation.most() <= 5);
}

// All entries see an added replica as the least loaded one at the same moment.
TEST_CASE("an added replica gets work soon and is not flooded")
{
    placement_simulation simulation;
    std::size_t const added = placement_simulation::ranks - 1;
    simulation.run(std::chrono::seconds{4}, added);
    REQUIRE(simulation.open(added) == 0);
    simulation.run(milliseconds{100}, placement_simulation::ranks);
    CHECK(simulation.open(added) >= 2);
    simulation.run(std::chrono::seconds{3}, placement_simulation::ranks);
    CHECK(simulation.most() <= 5);
}
