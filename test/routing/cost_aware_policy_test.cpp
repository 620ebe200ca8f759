#include <hornbeamweir/routing/cost_aware_policy.hpp>

#include <catch2/catch.hpp>

#include <map>

using namespace hornbeamweir;
using namespace std::chrono_literals;

namespace
{

constexpr std::size_t draws = 4000;

routing_candidate
make_candidate(std::string id, std::string group, std::uint32_t load = 4)
{
    routing_candidate out;
    out.id = backend_server_id{std::move(id)};
    out.group = model_group_id{std::move(group)};
    out.reported_in_flight = load;
    out.reported_step_time = std::chrono::microseconds{500 * (8 + load)};
    return out;
}

std::vector<routing_candidate> make_candidates(std::size_t size)
{
    std::vector<routing_candidate> out;
    for (std::size_t n = 0; n < size; ++n)
        out.push_back(
            make_candidate("s" + std::to_string(n), "g" + std::to_string(n)));
    return out;
}

/// Makes many decisions without starting attempts, and returns the fraction of
/// them that each server received.
std::map<std::string, double> selection_shares(
    cost_aware_policy& policy,
    std::vector<routing_candidate> const& candidates,
    routing_query const& query,
    time_point now)
{
    std::map<std::string, double> out;
    for (std::size_t n = 0; n < draws; ++n)
        out[policy.choose(query, candidates, now)->chosen.str()] += 1.0 / draws;
    return out;
}

} // namespace

TEST_CASE("no backend server is chosen without candidates")
{
    cost_aware_policy policy{random_source{1}};
    CHECK_FALSE(policy.choose({}, {}, time_point{1s}));
}

TEST_CASE("local attempts sent since a report are added to it")
{
    load_estimator loads{0ms, 1};
    std::vector<routing_candidate> candidates{
        make_candidate("a", "a", 4), make_candidate("b", "b", 4)};
    for (routing_candidate& candidate : candidates)
        candidate.report_age = 100ms;
    // Three attempts at b: one before the report and two after it.
    loads.on_started(candidates[1].id, time_point{850ms});
    loads.on_started(candidates[1].id, time_point{950ms});
    loads.on_started(candidates[1].id, time_point{990ms});
    candidates[1].local_in_flight = 3;
    std::vector<double> const before_end =
        loads.loads_of(candidates, time_point{1s});
    CHECK(before_end[1] - before_end[0] == Approx(2).margin(0.15));

    // The attempt that the report still counts has ended.
    loads.on_ended(
        {candidates[1].id, attempt_outcome::succeeded, 0, 140ms},
        time_point{1s});
    candidates[1].local_in_flight = 2;
    std::vector<double> const after_end =
        loads.loads_of(candidates, time_point{1s});
    CHECK(before_end[1] - after_end[1] == Approx(1).margin(0.1));
}

TEST_CASE("estimates from old reports converge to the average")
{
    load_estimator const loads{0ms, 1};
    std::vector<routing_candidate> candidates{
        make_candidate("a", "a", 0), make_candidate("b", "b", 10)};
    std::vector<double> const fresh =
        loads.loads_of(candidates, time_point{60s});
    CHECK(fresh[1] - fresh[0] == Approx(10));
    for (routing_candidate& candidate : candidates)
        candidate.report_age = 30s;
    std::vector<double> const old = loads.loads_of(candidates, time_point{60s});
    CHECK(old[1] - old[0] == Approx(0).margin(0.01));
}

TEST_CASE("the candidate with the lower cost is chosen")
{
    struct row
    {
        char const* difference;
        routing_candidate cheap;
        routing_candidate costly;
    };

    routing_candidate slow = make_candidate("costly", "d");
    slow.reported_step_time *= 2;
    routing_candidate remote = make_candidate("costly", "d");
    remote.data_centre = data_centre_id{"far"};
    routing_candidate busy = make_candidate("costly", "d");
    busy.local_in_flight = 8;
    std::vector<row> const rows{
        {"lower reported load",
         make_candidate("cheap", "c"),
         make_candidate("costly", "d", 9)},
        {"shorter step time", make_candidate("cheap", "c"), slow},
        {"same data centre", make_candidate("cheap", "c"), remote},
        {"fewer local attempts", make_candidate("cheap", "c"), busy},
    };
    for (row const& it : rows)
    {
        CAPTURE(it.difference);
        cost_aware_policy policy{random_source{1}};
        std::vector<routing_candidate> const candidates{it.costly, it.cheap};
        CHECK(
            policy.choose({}, candidates, time_point{1s})->chosen ==
            it.cheap.id);
    }
}

TEST_CASE("a straggler raises the cost of all ranks of its group")
{
    cost_aware_policy policy{random_source{1}};
    routing_candidate straggler = make_candidate("a0", "a");
    straggler.reported_step_time *= 4;
    std::vector<routing_candidate> const candidates{
        straggler, make_candidate("a1", "a"), make_candidate("b1", "b")};
    routing_choice const choice =
        *policy.choose({}, candidates, time_point{1s});
    CHECK(choice.chosen.str() == "b1");
}

TEST_CASE("failing servers get few requests and recover their share gradually")
{
    cost_aware_policy policy{random_source{1}};
    std::vector<routing_candidate> const candidates = make_candidates(8);
    time_point const start{10s};
    for (int n = 0; n < 10; ++n)
        policy.on_ended(
            {candidates[0].id, attempt_outcome::failed, 0, 1ms}, start);
    CHECK(selection_shares(policy, candidates, {}, start)["s0"] < 0.02);

    SECTION("if all servers fail, each is still chosen sometimes")
    {
        for (routing_candidate const& it : candidates)
        {
            for (int n = 0; n < 20; ++n)
                policy.on_ended(
                    {it.id, attempt_outcome::failed, 0, 1ms}, start);
        }
        std::map<std::string, double> const all =
            selection_shares(policy, candidates, {}, start);
        CHECK(all.size() == candidates.size());
    }
    SECTION("the sampling probability grows and is still below 1 after 20 s")
    {
        failure_tracker failures;
        for (int n = 0; n < 10; ++n)
            failures.on_failed(candidates[0].id, start);
        double previous = 0;
        for (duration const age : {duration{0s}, duration{5s}, duration{20s}})
        {
            double const probability =
                failures.sampling_probability(candidates[0].id, start + age);
            CHECK(probability > previous);
            previous = probability;
        }
        CHECK(previous < 1);
    }
    SECTION("abandoned attempts don't count as failures")
    {
        failure_tracker const failures;
        policy.on_ended(
            {candidates[1].id, attempt_outcome::abandoned, 0, 1ms}, start);
        CHECK(selection_shares(policy, candidates, {}, start)["s1"] > 0.05);
    }
}

TEST_CASE("requests go where their prefix is cached unless the load there is "
          "too high")
{
    cost_aware_policy policy{random_source{1}};
    std::vector<routing_candidate> candidates = make_candidates(8);
    time_point const now{10s};
    routing_query query;
    query.prefix = 77;

    SECTION("entries choose the same server for an unknown prefix")
    {
        cost_aware_policy other{random_source{2}};
        CHECK(
            policy.choose(query, candidates, now)->chosen ==
            other.choose(query, candidates, now)->chosen);
    }
    SECTION("a server that served or reported the prefix is chosen")
    {
        std::size_t const preferred =
            preferred_candidate(query.prefix, candidates);
        backend_server_id const holder = candidates[(preferred + 1) % 8].id;
        if (GENERATE(true, false))
            policy.on_ended(
                {holder, attempt_outcome::succeeded, query.prefix, 1ms}, now);
        else
            policy.on_cache_event({holder, query.prefix, true}, now);
        CHECK(policy.choose(query, candidates, now)->chosen == holder);

        policy.on_cache_event({holder, query.prefix, false}, now);
        CHECK(
            policy.choose(query, candidates, now)->chosen ==
            candidates[preferred].id);
    }
    SECTION("a holder with a high load is not chosen")
    {
        backend_server_id const holder =
            policy.choose(query, candidates, now)->chosen;
        for (routing_candidate& candidate : candidates)
        {
            if (candidate.id == holder)
                candidate.local_in_flight = 20;
        }
        CHECK(policy.choose(query, candidates, now)->chosen != holder);
    }
}

TEST_CASE(
    "the prefix index limits prefixes and holders and evicts the least recent")
{
    prefix_index index{2};
    backend_server_id const server{"a"};
    index.on_served(1, server);
    index.on_served(2, server);
    index.on_served(1, server);
    index.on_served(3, server);
    CHECK(index.size() == 2);
    CHECK(index.holders(1).size() == 1);
    CHECK(index.holders(2).empty());
    for (char name = 'a'; name < 'z'; ++name)
        index.on_served(1, backend_server_id{std::string(1, name)});
    CHECK(index.holders(1).size() == 4);
}

TEST_CASE("removing a server moves only the prefixes that preferred it")
{
    std::vector<routing_candidate> const candidates = make_candidates(12);
    std::vector<routing_candidate> const fewer = make_candidates(11);
    for (std::uint64_t prefix = 1; prefix < 500; ++prefix)
    {
        std::size_t const before = preferred_candidate(prefix, candidates);
        if (before < fewer.size())
            CHECK(preferred_candidate(prefix, fewer) == before);
    }
}
