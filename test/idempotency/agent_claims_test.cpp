#include <hornbeamweir/agent/agent_core.hpp>
#include <hornbeamweir/idempotency/attempt_filter.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

constexpr std::uint64_t incarnation = 9;
constexpr time_point noon{std::chrono::hours{12}};

/// An attempt that is sent to the agent.
struct attempt
{
    std::string request;
    std::string claim;
    std::uint64_t fence = 0;
    std::uint32_t number = 1;
    bool replay_only = false;
    std::uint64_t agent_incarnation = incarnation;
};

/// What an agent did in response to an attempt.
struct outcome
{
    std::size_t calls = 0;
    std::size_t frames = 0;
    std::optional<wire::answer_failure> failed;
};

class agent_fixture
{
public:
    agent_fixture() { core_.on_probe("{}"); }

    /// Sends an attempt and summarizes the resulting actions.
    outcome execute(attempt const& it, time_point now = noon)
    {
        wire::envelope message;
        wire::execute& out = *message.mutable_execute();
        out.set_request_id(it.request);
        out.set_attempt(it.number);
        out.set_agent_incarnation(it.agent_incarnation);
        out.set_start_before_us(to_wire(noon + std::chrono::seconds{2}));
        out.set_timeout_us(5'000'000);
        out.set_credit_bytes(1024);
        out.set_claim(it.claim);
        out.set_claim_fence(it.fence);
        out.set_replay_only(it.replay_only);
        core_.on_message({peer_side::accepted, "entry"}, message, now);
        return take_outcome();
    }

    /// Summarizes the agent's actions since the last call.
    outcome take_outcome()
    {
        outcome seen;
        for (agent_action const& action : core_.take_actions())
        {
            if (std::holds_alternative<start_call>(action))
                ++seen.calls;
            agent_send const* const sent = std::get_if<agent_send>(&action);
            if (sent == nullptr)
                continue;
            ++seen.frames;
            if (sent->message.answer().has_failure())
                seen.failed = sent->message.answer().failure();
        }
        return seen;
    }

    /// Completes a call with a response of 100 bytes.
    void finish(call_number call)
    {
        core_.on_call_head(call, 200, {});
        core_.on_call_data(call, std::string(100, 'x'));
        core_.on_call_ended(call, noon);
        static_cast<void>(take_outcome());
    }

    agent_core& core() noexcept { return core_; }

private:
    static agent_settings make_settings()
    {
        agent_settings out;
        // Room for one answer of finish(), but not for two.
        out.retention_bytes = 150;
        // The smallest machine that settings permit.
        out.limits.memory_mb = 32;
        return out;
    }

    null_event_log log_;
    metrics_registry metrics_;
    agent_core core_{make_settings(), incarnation, log_, metrics_};
};

/// Whether nothing was executed and the attempt failed with a state.
bool failed_with(outcome const& seen, wire::execution_state state)
{
    return seen.calls == 0 && seen.failed && seen.failed->state() == state;
}

bool not_run(outcome const& seen)
{
    return failed_with(seen, wire::execution_state_not_run);
}

bool may_have_run(outcome const& seen)
{
    return failed_with(seen, wire::execution_state_may_have_run);
}

} // namespace

TEST_CASE("a late copy of a rejected attempt is not executed")
{
    agent_fixture agent;
    agent.core().on_probe(std::nullopt);
    CHECK(not_run(agent.execute({"a", "key", 5})));
    agent.core().on_probe("{}");
    outcome const copy = agent.execute({"a", "key", 5});
    CHECK(not_run(copy));
    CHECK(copy.failed->result_code() == number_of(result_code::fenced));
    CHECK(agent.execute({"b", "key", 6}).calls == 1);
}

TEST_CASE("a late copy of an attempt that did not reach the backend server is "
          "not executed")
{
    agent_fixture agent;
    CHECK(agent.execute({"a", "key", 5}).calls == 1);
    agent.core().on_call_failed(
        1, {result_code::backend_unreachable, ""}, false, noon);
    CHECK(not_run(agent.take_outcome()));
    CHECK(not_run(agent.execute({"a", "key", 5})));
    CHECK(agent.execute({"b", "key", 6}).calls == 1);
}

TEST_CASE("a claim whose answer was evicted is reported as possibly executed "
          "and not executed again")
{
    agent_fixture agent;
    CHECK(agent.execute({"a", "key-1", 5}).calls == 1);
    agent.finish(1);
    CHECK(agent.execute({"b", "key-2", 6}).calls == 1);
    agent.finish(2);
    CHECK(may_have_run(agent.execute({"a", "key-1", 5})));
    CHECK(may_have_run(agent.execute({"c", "key-1", 5, 1, true})));
    CHECK(agent.execute({"d", "key-2", 6, 1, true}).frames > 1);
}

// Guards against answers whose recording needs more memory than there is, and
// against callers that never get the rest of such an answer.
TEST_CASE(
    "an answer that is too large to record is delivered, and not replayed")
{
    constexpr std::size_t size = 5 * 1024 * 1024;
    constexpr std::uint32_t credit = 2 * size;
    agent_fixture it;
    CHECK(it.execute({"r1", "c1", 5}).calls == 1);
    it.core().on_call_head(1, 200, {});
    it.core().on_call_data(1, std::string(size, 'x'));
    CHECK(it.core().status().at("recorded_bytes") == 0);
    wire::envelope message;
    message.mutable_credit()->set_request_id("r1");
    message.mutable_credit()->set_attempt(1);
    message.mutable_credit()->set_bytes(credit);
    it.core().on_message({peer_side::accepted, "entry"}, message, noon);
    CHECK(it.core().status().at("held_bytes") == 0);
    it.core().on_call_ended(1, noon);
    static_cast<void>(it.take_outcome());
    CHECK(may_have_run(it.execute({"r2", "c1", 5})));
}

// Guards against answers whose headers need more memory than there is, as they
// are not part of the data.
TEST_CASE("answers with large headers are evicted, the oldest first")
{
    constexpr call_number answers = 400;
    constexpr std::size_t header_size = 32 * 1024;
    agent_fixture it;
    for (call_number call = 1; call <= answers; ++call)
    {
        std::string const name = std::to_string(call);
        CHECK(it.execute({"r" + name, "c" + name, call}).calls == 1);
        it.core().on_call_head(
            call, 200, {{"X-Field", std::string(header_size, 'h')}});
        it.core().on_call_ended(call, noon);
        static_cast<void>(it.take_outcome());
    }
    CHECK(may_have_run(it.execute({"again", "c1", 1})));
    CHECK(it.execute({"again", "c400", answers}).frames > 1);
}

// Guards against a key that is repeated without end.
TEST_CASE("attempts that were answered from a record are not kept for ever")
{
    constexpr int repeats = 100'000;
    agent_fixture it;
    CHECK(it.execute({"r", "c", 5}).calls == 1);
    it.finish(1);
    for (int n = 0; n < repeats; ++n)
        CHECK(it.execute({std::to_string(n), "c", 5}).frames > 1);
    CHECK(it.core().status().at("tracked_attempts").as_uint64() <= 64);
}

TEST_CASE("an answer is kept for the retention period")
{
    // One hour by default.
    agent_fixture agent;
    CHECK(agent.execute({"a", "key", 5}).calls == 1);
    agent.finish(1);
    agent.core().on_tick(noon + std::chrono::minutes{59});
    static_cast<void>(agent.take_outcome());
    CHECK(agent.execute({"b", "key", 5, 1, true}).frames > 1);
    agent.core().on_tick(noon + std::chrono::minutes{61});
    static_cast<void>(agent.take_outcome());
    CHECK(may_have_run(agent.execute({"c", "key", 5, 1, true})));
}

TEST_CASE("a replay that finds no record rules out executions up to its fence")
{
    agent_fixture agent;
    CHECK(not_run(agent.execute({"b", "key", 5, 1, true})));
    CHECK(not_run(agent.execute({"a", "key", 5})));
    CHECK(agent.execute({"b", "key", 7, 2}).calls == 1);
}

TEST_CASE("attempts for an earlier incarnation are reported as possibly "
          "executed")
{
    agent_fixture agent;
    CHECK(may_have_run(agent.execute({"a", "key", 5, 1, false, 8})));
    CHECK(may_have_run(agent.execute({"b", "key", 5, 1, true, 8})));
    CHECK(may_have_run(agent.execute({"c", "", 0, 1, false, 8})));
}

TEST_CASE("an agent that was suspended past an attempt's latest start does "
          "not execute it")
{
    agent_fixture agent;
    time_point const late = noon + std::chrono::seconds{3};
    CHECK(not_run(agent.execute({"a", "key", 5}, late)));
    CHECK(not_run(agent.execute({"b", ""}, late)));
}

TEST_CASE("duplicates of an attempt are answered only once")
{
    agent_fixture agent;
    CHECK(agent.execute({"a", "key", 5}).calls == 1);
    agent.finish(1);
    CHECK(agent.execute({"a", "key", 5}).frames == 0);
    CHECK(agent.execute({"b", ""}).calls == 1);
    agent.finish(2);
    outcome const copy = agent.execute({"b", ""});
    CHECK(copy.calls + copy.frames == 0);
}

TEST_CASE("claims that a full guard evicts count as executed")
{
    claim_guard guard{2};
    guard.mark_executed("key-1", 5);
    guard.dismiss("key-2", 6);
    guard.dismiss("key-3", 8);
    CHECK(guard.size() == 2);
    CHECK(guard.check("key-1", 5) == guard_verdict::executed);
    CHECK(guard.check("key-4", 4) == guard_verdict::executed);
    CHECK(guard.check("key-4", 7) == guard_verdict::admit);
    CHECK(guard.check("key-2", 6) == guard_verdict::dismissed);
    CHECK(
        guard.dismiss_unless_executed("key-4", 7) == guard_verdict::dismissed);
}

TEST_CASE("attempts are removed a grace period after their deadline")
{
    attempt_filter filter;
    CHECK(filter.register_attempt("a", 1, noon));
    CHECK_FALSE(filter.register_attempt("a", 1, noon));
    CHECK(filter.register_attempt("a", 2, noon));
    filter.expire(noon + std::chrono::seconds{1});
    CHECK(filter.size() == 2);
    filter.expire(noon + std::chrono::seconds{11});
    CHECK(filter.size() == 0);
}
