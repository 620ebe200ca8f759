#include "test/support/deployment.hpp"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <thread>

using test::deployment;
using test::eventually;
using test::http_answer;

namespace
{

constexpr char const* chat = "/v1/chat/completions";
constexpr char const* short_body =
    R"({"model":"stroke-coach","max_tokens":4,"messages":[]})";
constexpr char const* long_stream =
    R"({"model":"stroke-coach","max_tokens":300,"stream":true,"messages":[]})";
constexpr char const* award = "/services/badges/award";
constexpr int stop_timeout_ms = 10'000;

/// Sends a request on a separate thread.
class background_call
{
public:
    background_call(
        deployment const& system,
        int entry,
        std::string const& target,
        std::string const& body,
        hornbeamweir::header_list extra = {})
        : thread_{[this, &system, entry, target, body, extra]
                  {
                      answer_ = system.call(
                          entry,
                          "POST",
                          target,
                          body,
                          extra,
                          [this](std::string const&) { started_ = true; });
                  }}
    {
    }

    [[nodiscard]] bool started() const { return started_; }
    [[nodiscard]] http_answer const& wait()
    {
        thread_.join();
        return answer_;
    }

private:
    http_answer answer_;
    std::atomic<bool> started_ = false;
    std::thread thread_;
};

bool is_complete_stream(http_answer const& answer)
{
    return answer.status == 200 && answer.whole &&
           answer.body.ends_with("data: [DONE]\n\n");
}

void set_fault(deployment const& system, std::string const& body)
{
    REQUIRE(
        test::send_request(
            system.platform_port(),
            {"POST", "/faults", {{"Content-Type", "application/json"}}, body})
            .status == 200);
}

} // namespace

TEST_CASE("SIGTERM on an entry or agent does not abort open streams")
{
    deployment system{{2, 2, 0, 5}};
    system.apply_first_note();
    std::string const name = GENERATE("entry-0", "agent-rank-0");
    constexpr std::size_t call_count = 6;
    std::vector<std::unique_ptr<background_call>> calls;
    calls.reserve(call_count);
    for (std::size_t n = 0; n < call_count; ++n)
        calls.push_back(
            std::make_unique<background_call>(system, 0, chat, long_stream));
    for (std::unique_ptr<background_call> const& it : calls)
        REQUIRE(eventually([&] { return it->started(); }));
    system.process(name).signal(SIGTERM);
    for (std::unique_ptr<background_call> const& it : calls)
        CHECK(is_complete_stream(it->wait()));
    CHECK(system.process(name).wait(stop_timeout_ms) == 0);
    CHECK(system.call(1, "POST", chat, short_body).status == 200);
}

TEST_CASE(
    "an agent suspended past the latest start does not execute the request")
{
    deployment system{{1, 1, 1, 5}};
    system.apply_first_note();
    system.process("agent-badges-0").signal(SIGSTOP);
    http_answer const answer = system.call(
        0,
        "POST",
        award,
        "{}",
        {{"Idempotency-Key", "late-1"}, {"X-Request-Timeout-Ms", "2500"}});
    CHECK(answer.status >= 500);
    std::this_thread::sleep_for(std::chrono::milliseconds{1000});
    system.process("agent-badges-0").signal(SIGCONT);
    std::this_thread::sleep_for(std::chrono::milliseconds{1500});
    CHECK(system.executions("late-1") == 0);
    CHECK(eventually(
        [&]
        {
            return system
                       .call(
                           0,
                           "POST",
                           award,
                           "{}",
                           {{"Idempotency-Key", "late-2"}})
                       .status == 200;
        }));
    CHECK(system.executions("late-2") == 1);
}

TEST_CASE("an entry resumes after a suspension beyond the suspicion timeout")
{
    deployment system{{2, 2, 1, 5}};
    system.apply_first_note();
    background_call stream{system, 0, chat, long_stream};
    REQUIRE(eventually([&] { return stream.started(); }));
    system.process("entry-0").signal(SIGSTOP);
    CHECK(system.call(1, "POST", chat, short_body).status == 200);
    std::this_thread::sleep_for(std::chrono::milliseconds{2500});
    system.process("entry-0").signal(SIGCONT);
    CHECK(is_complete_stream(stream.wait()));
    CHECK(system.call(0, "POST", chat, short_body).status == 200);
}

TEST_CASE(
    "a stopping VM gets no new requests within 3 s despite a lagging VM list")
{
    deployment system{{2, 2, 0, 5}};
    system.apply_first_note();
    // The platform stops the VM now; its VM list shows this 5 s later.
    REQUIRE(
        test::send_request(
            system.platform_port(),
            {"POST",
             "/vms",
             {{"Content-Type", "application/json"}},
             R"({"name":"vm-rank-0","state":"leaving","lag_ms":5000})"})
            .status == 200);
    system.process("agent-rank-0").signal(SIGTERM);
    auto const sees_leaving = [&](int n)
    {
        return test::get(system.admin_port(n), "/status")
                   .body.find("\"state\":\"leaving\"") != std::string::npos;
    };
    CHECK(eventually(
        [&] { return sees_leaving(0) && sees_leaving(1); },
        std::chrono::seconds{3}));
    for (int n = 0; n < 20; ++n)
        CHECK(system.call(n % 2, "POST", chat, short_body).status == 200);
    std::string const log = system.log("agent-rank-0");
    std::size_t const draining = log.find("event=draining");
    REQUIRE(draining != std::string::npos);
    CHECK(log.find("execution_started", draining) == std::string::npos);
    // A new agent on the same VM stays excluded once the list shows the stop.
    CHECK(system.process("agent-rank-0").wait(stop_timeout_ms) == 0);
    system.start_agent("rank-0");
    std::this_thread::sleep_for(std::chrono::milliseconds{5000});
    CHECK(sees_leaving(0));
    CHECK(sees_leaving(1));
}

TEST_CASE("a backend server drained by a note gets no new requests within 3 s")
{
    deployment system{{2, 2, 0, 5}};
    system.apply_first_note();
    background_call stream{system, 0, chat, long_stream};
    REQUIRE(eventually([&] { return stream.started(); }));
    test::finished_process const applied = system.operate(
        {"apply",
         system.write(
             "drain.yaml",
             "note: drain\nbase_revision: 1\nchanged:\n  backend_servers:\n"
             "    - {id: rank-0, draining: true}\n")});
    REQUIRE(applied.code == 0);
    auto const drain_received = [&]
    {
        std::string const log = system.log("agent-rank-0");
        return log.find("event=state leaving=1") != std::string::npos;
    };
    CHECK(eventually(drain_received, std::chrono::seconds{3}));
    for (int n = 0; n < 20; ++n)
        CHECK(system.call(n % 2, "POST", chat, short_body).status == 200);
    std::string const log = system.log("agent-rank-0");
    CHECK(
        log.find("execution_started", log.find("event=state leaving=1")) ==
        std::string::npos);
    CHECK(is_complete_stream(stream.wait()));
}

TEST_CASE(
    "service recovers from a simultaneous platform outage and agent crash")
{
    deployment system{{2, 2, 1, 5}};
    system.apply_first_note();
    set_fault(system, R"({"down":1})");
    system.process("agent-rank-0").kill();
    for (int n = 0; n < 10; ++n)
        CHECK(system.call(n % 2, "POST", chat, short_body).status == 200);
    http_answer const rejected =
        system.call(0, "POST", award, "{}", {{"Idempotency-Key", "down-1"}});
    CHECK(rejected.status == 503);
    CHECK(rejected.body.find("not run") != std::string::npos);
    CHECK(system.executions("down-1") == 0);
    set_fault(system, "{}");
    system.start_agent("rank-0");
    CHECK(eventually(
        [&]
        {
            return system
                       .call(
                           1,
                           "POST",
                           award,
                           "{}",
                           {{"Idempotency-Key", "down-1"}})
                       .status == 200;
        }));
    CHECK(system.executions("down-1") == 1);
}

TEST_CASE("a rolling restart of all agents of a group aborts no stream")
{
    deployment system{{1, 2, 0, 5}};
    system.apply_first_note();
    for (std::string const& id : {std::string{"rank-0"}, std::string{"rank-1"}})
    {
        background_call stream{system, 0, chat, long_stream};
        REQUIRE(eventually([&] { return stream.started(); }));
        system.process("agent-" + id).signal(SIGTERM);
        CHECK(system.call(0, "POST", chat, short_body).status == 200);
        CHECK(is_complete_stream(stream.wait()));
        CHECK(system.process("agent-" + id).wait(stop_timeout_ms) == 0);
        system.start_agent(id);
        std::this_thread::sleep_for(std::chrono::milliseconds{2000});
        CHECK(system.call(0, "POST", chat, short_body).status == 200);
    }
}
