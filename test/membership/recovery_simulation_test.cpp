#include "test/membership/fake_network.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using test::fake_network;
using namespace std::chrono_literals;
using namespace hornbeamweir;

namespace
{

bool reports_not_run(fake_network::outcome const& it)
{
    return it.body.find("not run") != std::string::npos;
}

} // namespace

TEST_CASE("requests are served while the platform is down for ten minutes")
{
    fake_network net{6};
    net.platform_down = true;
    for (int n = 0; n < 600; ++n)
    {
        REQUIRE(net.call(n % 2 == 0).status == 200);
        net.run(1s - fake_network::service_time);
    }
    net.platform_down = false;
    net.configure();
    CHECK(net.call(true).status == 200);
}

TEST_CASE("a request waits while all agents are disconnected, and one sent on "
          "reconnection succeeds")
{
    fake_network net{6};
    for (int n = 0; n < 6; ++n)
        net.agent(n).disconnected = true;
    net.run(30s);
    request_id const id = net.send(true);
    net.run(20ms);
    CHECK_FALSE(net.response(id).ended);
    for (int n = 0; n < 6; ++n)
        net.agent(n).disconnected = false;
    // No heartbeat can have arrived since the reconnection.
    request_id const next = net.send(false);
    net.run(100ms);
    CHECK(net.response(next).status == 200);
}

TEST_CASE(
    "an attempt in panic mode is abandoned a fixed time after it was sent")
{
    fake_network net{6};
    for (int n = 0; n < 6; ++n)
        net.agent(n).disconnected = true;
    net.run(30s);
    request_id const id = net.send(false, 60'000);
    net.run(4s);
    CHECK_FALSE(net.response(id).ended);
    net.run(1s);
    CHECK(net.response(id).body.find("may have run") != std::string::npos);
}

TEST_CASE(
    "a disconnected entry waits before it reports a request as possibly run")
{
    fake_network net{6};
    request_id const id = net.send(false);
    net.run(20ms);
    for (int n = 0; n < 6; ++n)
        net.agent(n).disconnected = true;
    // The answers are lost, so the entry must wait, and then report that the
    // request may have run.
    net.run(3s);
    CHECK_FALSE(net.response(id).ended);
    net.run(3s);
    CHECK(net.response(id).ended);
    CHECK(net.response(id).body.find("may have run") != std::string::npos);
}

TEST_CASE("a disconnected data centre gets no work after the time to suspicion")
{
    fake_network net{9};
    for (int n = 0; n < 9; n += 3)
        net.agent(n).disconnected = true;
    net.run(2s);
    for (int n = 0; n < 50; ++n)
        CHECK(net.call(false, 1s).status == 200);
    for (int n = 0; n < 9; n += 3)
    {
        CHECK(net.agent(n).executed.empty());
        net.agent(n).disconnected = false;
    }
    net.run(2s);
    for (int n = 0; n < 100; ++n)
        CHECK(net.call(false, 1s).status == 200);
    CHECK_FALSE(net.agent(0).executed.empty());
}

TEST_CASE("requests are served while the platform is down and a data centre "
          "disconnected")
{
    fake_network net{9};
    net.platform_down = true;
    for (int n = 0; n < 9; n += 3)
        net.agent(n).disconnected = true;
    net.run(2s);
    for (int n = 0; n < 20; ++n)
        CHECK(net.call(n % 2 == 0, 1s).status == 200);
}

TEST_CASE("no request fails while all VMs are replaced one after another")
{
    fake_network net{6};
    for (int n = 0; n < 6; ++n)
    {
        net.agent(n).core->drain();
        net.run(500ms);
        CHECK(net.agent(n).core->unfinished_count() == 0);
        net.restart(n);
        for (int k = 0; k < 10; ++k)
            CHECK(net.call(false, 1s).status == 200);
    }
    net.run(2s);
    CHECK(net.call(false).status == 200);
}

TEST_CASE("a leaving VM gets no new work")
{
    fake_network net{4};
    SECTION("its agent is draining")
    {
        net.agent(0).core->drain();
        net.run(100ms);
    }
    SECTION("the configuration marks it as draining")
    {
        net.agent(0).server.draining = true;
        net.configure();
        net.run(1s);
        CHECK_FALSE(net.agent(0).core->ready());
    }
    SECTION("the platform lists it as leaving")
    {
        net.entry().on_vm_list(vm_list{7, {vm_id{"vm-0"}}});
        net.run(1s);
        CHECK_FALSE(net.agent(0).core->ready());
    }
    std::size_t const before = net.agent(0).executed.size();
    for (int n = 0; n < 50; ++n)
        CHECK(net.call(false, 1s).status == 200);
    CHECK(net.agent(0).executed.size() == before);
}

TEST_CASE("work rejected by an agent whose leave is not yet known goes to "
          "another agent")
{
    fake_network net{2};
    net.agent(0).loses_heartbeats = true;
    net.agent(0).core->drain();
    for (int n = 0; n < 15; ++n)
        CHECK(net.call(false, 1s).status == 200);
    CHECK(net.agent(0).executed.empty());
    CHECK(net.agent(1).executed.size() == 15);
}

TEST_CASE("a backend server gets work again after its leave is revoked")
{
    fake_network net{2};
    net.entry().on_vm_list(vm_list{7, {vm_id{"vm-0"}}});
    net.run(1s);
    net.entry().on_vm_list(vm_list{8, {}});
    net.run(20s);
    CHECK(net.agent(0).core->ready());
    for (int n = 0; n < 50; ++n)
        CHECK(net.call(false, 1s).status == 200);
    CHECK_FALSE(net.agent(0).executed.empty());
}

TEST_CASE("an entry that was suspended abandons no running attempt")
{
    fake_network net{4};
    request_id const id = net.send(false, 60'000);
    net.set_entry_suspended(true);
    net.run(10s);
    net.set_entry_suspended(false);
    net.run(100ms);
    CHECK(net.response(id).status == 200);
}

TEST_CASE("an agent that was suspended executes nothing after its latest start")
{
    fake_network net{1};
    net.agent(0).suspended = true;
    request_id const id = net.send(false);
    net.run(8s);
    CHECK(net.response(id).ended);
    net.agent(0).suspended = false;
    net.run(2s);
    CHECK(net.agent(0).executed.empty());
    CHECK(net.call(false).status == 200);
}

// Disconnects, suspends, restarts and drains agents at random. A request that
// is reported as not run was not run, no request runs twice, and a leaving
// agent gets no new work.
TEST_CASE(
    "no request runs twice, or after it was reported as not run, under random "
    "faults")
{
    rc::check(
        []
        {
            fake_network net{5};
            std::map<int, time_point> drained_at;
            std::vector<std::pair<std::string, request_id>> sent;
            int const steps = *rc::gen::inRange(10, 60);
            for (int n = 0; n < steps; ++n)
            {
                int const index = *rc::gen::inRange(0, 5);
                switch (*rc::gen::inRange(0, 9))
                {
                case 0:
                    net.agent(index).disconnected =
                        !net.agent(index).disconnected;
                    break;
                case 1:
                    net.agent(index).suspended = !net.agent(index).suspended;
                    break;
                case 2:
                    if (!drained_at.contains(index))
                        net.restart(index);
                    break;
                case 3:
                    if (drained_at.empty())
                    {
                        net.agent(index).core->drain();
                        net.agent(index).loses_heartbeats =
                            *rc::gen::arbitrary<bool>();
                        drained_at.emplace(index, net.now());
                    }
                    break;
                default:
                    sent.emplace_back(
                        "/services/stock/" + std::to_string(sent.size()),
                        net.send(false, 5'000));
                }
                net.run(
                    std::chrono::milliseconds{*rc::gen::inRange(1, 80) * 10});
            }
            for (int n = 0; n < 5; ++n)
            {
                net.agent(n).disconnected = false;
                net.agent(n).suspended = false;
            }
            net.run(8s);
            std::map<std::string, int> const counts = net.executions();
            for (std::pair<std::string, request_id> const& it : sent)
            {
                fake_network::outcome const& result = net.response(it.second);
                int const runs =
                    counts.contains(it.first) ? counts.at(it.first) : 0;
                RC_ASSERT(result.ended);
                RC_ASSERT(runs <= 1);
                RC_ASSERT(!(reports_not_run(result) && runs > 0));
                RC_ASSERT(result.status != 200 || runs == 1);
            }
            for (auto it = drained_at.begin(); it != drained_at.end(); ++it)
            {
                for (std::pair<std::string, time_point> const& run :
                     net.agent(it->first).executed)
                    RC_ASSERT(run.second <= it->second + 3s);
            }
        });
}
