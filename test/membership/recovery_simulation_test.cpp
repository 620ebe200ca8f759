#include "test/membership/fake_network.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using test::fake_network;
using namespace std::chrono_literals;
using namespace hornbeamweir;

namespace
{

bool says_not_run(fake_network::outcome const& it)
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

TEST_CASE("an entry that is cut off keeps its routing table")
{
    fake_network net{6};
    for (int n = 0; n < 6; ++n)
        net.agent(n).cut = true;
    net.run(30s);
    request_id const id = net.send(true);
    net.run(20ms);
    CHECK_FALSE(net.answer(id).ended);
    for (int n = 0; n < 6; ++n)
        net.agent(n).cut = false;
    // Before any heartbeat could have come back.
    request_id const next = net.send(false);
    net.run(100ms);
    CHECK(net.answer(next).status == 200);
}

TEST_CASE("an attempt sent in a panic is given up in its own time")
{
    fake_network net{6};
    for (int n = 0; n < 6; ++n)
        net.agent(n).cut = true;
    net.run(30s);
    request_id const id = net.send(false, 60'000);
    net.run(4s);
    CHECK_FALSE(net.answer(id).ended);
    net.run(1s);
    CHECK(net.answer(id).body.find("may have run") != std::string::npos);
}

TEST_CASE("a short cut of the entry loses no request in flight")
{
    fake_network net{6};
    request_id const id = net.send(false);
    net.run(20ms);
    for (int n = 0; n < 6; ++n)
        net.agent(n).cut = true;
    // The answers are lost here, so the entry must wait and then say so.
    net.run(3s);
    CHECK_FALSE(net.answer(id).ended);
    net.run(3s);
    CHECK(net.answer(id).ended);
    CHECK(net.answer(id).body.find("may have run") != std::string::npos);
}

TEST_CASE("a data centre that is cut off is left within the suspicion time")
{
    fake_network net{9};
    for (int n = 0; n < 9; n += 3)
        net.agent(n).cut = true;
    net.run(2s);
    for (int n = 0; n < 50; ++n)
        CHECK(net.call(false, 1s).status == 200);
    for (int n = 0; n < 9; n += 3)
    {
        CHECK(net.agent(n).executed.empty());
        net.agent(n).cut = false;
    }
    net.run(2s);
    for (int n = 0; n < 100; ++n)
        CHECK(net.call(false, 1s).status == 200);
    CHECK_FALSE(net.agent(0).executed.empty());
}

TEST_CASE("two faults at once: platform down and a data centre cut off")
{
    fake_network net{9};
    net.platform_down = true;
    for (int n = 0; n < 9; n += 3)
        net.agent(n).cut = true;
    net.run(2s);
    for (int n = 0; n < 20; ++n)
        CHECK(net.call(n % 2 == 0, 1s).status == 200);
}

TEST_CASE("all VMs are replaced one after another")
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
    SECTION("its agent is told to stop")
    {
        net.agent(0).core->drain();
        net.run(100ms);
    }
    SECTION("the configuration says that it is draining")
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

TEST_CASE("an agent that leaves unheard refuses, and the work goes elsewhere")
{
    fake_network net{2};
    net.agent(0).mute = true;
    net.agent(0).core->drain();
    for (int n = 0; n < 15; ++n)
        CHECK(net.call(false, 1s).status == 200);
    CHECK(net.agent(0).executed.empty());
    CHECK(net.agent(1).executed.size() == 15);
}

TEST_CASE("a leave that is revoked brings the backend server back")
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

TEST_CASE("an entry that was frozen gives up nothing that is still running")
{
    fake_network net{4};
    request_id const id = net.send(false, 60'000);
    net.freeze_entry(true);
    net.run(10s);
    net.freeze_entry(false);
    net.run(100ms);
    CHECK(net.answer(id).status == 200);
}

TEST_CASE("an agent that was frozen executes nothing late")
{
    fake_network net{1};
    net.agent(0).frozen = true;
    request_id const id = net.send(false);
    net.run(8s);
    CHECK(net.answer(id).ended);
    net.agent(0).frozen = false;
    net.run(2s);
    CHECK(net.agent(0).executed.empty());
    CHECK(net.call(false).status == 200);
}

// Random cuts, freezes, restarts and leaves: what is said not to have run was
// not run, nothing runs twice, and a leaving agent gets no new work.
TEST_CASE("random faults break no promise")
{
    rc::check(
        []
        {
            fake_network net{5};
            std::map<int, time_point> left;
            std::vector<std::pair<std::string, request_id>> sent;
            int const steps = *rc::gen::inRange(10, 60);
            for (int n = 0; n < steps; ++n)
            {
                int const at = *rc::gen::inRange(0, 5);
                switch (*rc::gen::inRange(0, 9))
                {
                case 0:
                    net.agent(at).cut = !net.agent(at).cut;
                    break;
                case 1:
                    net.agent(at).frozen = !net.agent(at).frozen;
                    break;
                case 2:
                    if (!left.contains(at))
                        net.restart(at);
                    break;
                case 3:
                    if (left.empty())
                    {
                        net.agent(at).core->drain();
                        net.agent(at).mute = *rc::gen::arbitrary<bool>();
                        left.emplace(at, net.now());
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
                net.agent(n).cut = false;
                net.agent(n).frozen = false;
            }
            net.run(8s);
            std::map<std::string, int> const counts = net.executions();
            for (std::pair<std::string, request_id> const& it : sent)
            {
                fake_network::outcome const& got = net.answer(it.second);
                int const runs =
                    counts.contains(it.first) ? counts.at(it.first) : 0;
                RC_ASSERT(got.ended);
                RC_ASSERT(runs <= 1);
                RC_ASSERT(!(says_not_run(got) && runs > 0));
                RC_ASSERT(got.status != 200 || runs == 1);
            }
            for (auto it = left.begin(); it != left.end(); ++it)
            {
                for (std::pair<std::string, time_point> const& run :
                     net.agent(it->first).executed)
                    RC_ASSERT(run.second <= it->second + 3s);
            }
        });
}
