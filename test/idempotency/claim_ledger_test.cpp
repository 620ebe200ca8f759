#include <hornbeamweir/entry/request_machine.hpp>
#include <hornbeamweir/idempotency/claim_ledger.hpp>
#include <hornbeamweir/idempotency/claim_record.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

constexpr time_point noon{std::chrono::hours{12}};
constexpr duration interval = std::chrono::milliseconds{20};

claim_request claim_of(std::string const& id, std::string const& claim)
{
    return {request_id{id}, claim, "body", backend_server_id{"backend"}, 1, 0};
}

template <typename T>
std::vector<T> actions_of(ledger_actions const& actions)
{
    std::vector<T> found;
    for (ledger_action const& action : actions)
    {
        if (T const* const it = std::get_if<T>(&action))
            found.push_back(*it);
    }
    return found;
}

std::vector<claim_verdict> verdicts(ledger_actions const& actions)
{
    std::vector<claim_verdict> found;
    for (ledger_decision const& it : actions_of<ledger_decision>(actions))
        found.push_back(it.outcome.verdict);
    return found;
}

using expected_verdicts = std::vector<claim_verdict>;

/// A ledger that holds a lease.
claim_ledger ready_ledger()
{
    claim_ledger ledger;
    ledger_actions const first = ledger.begin(claim_of("0", "k0"), noon);
    REQUIRE(actions_of<ledger_lease>(first).size() == 1);
    ledger_actions const second = ledger.on_lease(7, noon);
    std::uint64_t const token = actions_of<ledger_commit>(second).at(0).token;
    static_cast<void>(
        ledger.on_commit(token, transaction_reply{true, 2, {}}, noon));
    return ledger;
}

} // namespace

TEST_CASE("claims of different keys are committed in one transaction under one "
          "lease")
{
    claim_ledger ledger = ready_ledger();
    CHECK(ledger.begin(claim_of("a", "k1"), noon).empty());
    CHECK(ledger.begin(claim_of("b", "k2"), noon).empty());
    CHECK(ledger.begin(claim_of("c", "k1"), noon).empty());
    std::vector<ledger_commit> const commits =
        actions_of<ledger_commit>(ledger.on_tick(noon + interval));
    REQUIRE(commits.size() == 1);
    transaction const& sent = commits[0].request;
    // The second claim of k1 stays queued: a transaction writes a key once.
    REQUIRE(sent.writes.size() == 2);
    CHECK(sent.conditions[0] == key_condition{claim_key("k1"), 0});
    CHECK(sent.writes[0].lease == 7);
    CHECK(
        verdicts(ledger.on_commit(
            commits[0].token, transaction_reply{true, 9, {}}, noon)) ==
        expected_verdicts{claim_verdict::granted, claim_verdict::granted});
    CHECK(ledger.pending() == 1);
}

TEST_CASE("a key that is already claimed does not block the others of its "
          "transaction")
{
    claim_ledger ledger = ready_ledger();
    static_cast<void>(ledger.begin(claim_of("a", "k1"), noon));
    static_cast<void>(ledger.begin(claim_of("b", "k2"), noon));
    ledger_commit const first =
        actions_of<ledger_commit>(ledger.on_tick(noon + interval)).at(0);
    transaction_reply reply{false, 9, {}};
    reply.values[claim_key("k1")] = {encode_claim(claim_of("x", "k1")), 5, 5};
    time_point const later = noon + 2 * interval;
    ledger_actions const next = ledger.on_commit(first.token, reply, later);
    CHECK(verdicts(next) == expected_verdicts{claim_verdict::recorded});
    ledger_commit const second = actions_of<ledger_commit>(next).at(0);
    REQUIRE(second.request.writes.size() == 1);
    CHECK(second.request.writes[0].key == claim_key("k2"));
}

TEST_CASE("a claim whose reply was lost is read back before it is granted")
{
    claim_ledger ledger = ready_ledger();
    static_cast<void>(ledger.begin(claim_of("a", "k1"), noon));
    ledger_commit const first =
        actions_of<ledger_commit>(ledger.on_tick(noon + interval)).at(0);
    ledger_actions const lost = ledger.on_commit(
        first.token,
        failure(result_code::platform_outcome_unknown, ""),
        noon + interval);
    CHECK(lost.empty());
    ledger_commit const again =
        actions_of<ledger_commit>(
            ledger.on_tick(noon + std::chrono::seconds{1}))
            .at(0);
    CHECK(again.request.conditions == first.request.conditions);

    SECTION("the first commit took effect")
    {
        transaction_reply reply{false, 9, {}};
        reply.values[claim_key("k1")] = {
            encode_claim(claim_of("a", "k1")), 8, 8};
        std::vector<ledger_decision> const made = actions_of<ledger_decision>(
            ledger.on_commit(again.token, reply, noon));
        REQUIRE(made.size() == 1);
        CHECK(made[0].outcome.verdict == claim_verdict::granted);
        CHECK(made[0].outcome.fence == 8);
    }
    SECTION("another request has claimed the key with another body")
    {
        claim_request other = claim_of("x", "k1");
        other.fingerprint = "other";
        transaction_reply reply{false, 9, {}};
        reply.values[claim_key("k1")] = {encode_claim(other), 8, 8};
        CHECK(
            verdicts(ledger.on_commit(again.token, reply, noon)) ==
            expected_verdicts{claim_verdict::key_reused});
    }
    SECTION("the claim cannot be read back")
    {
        CHECK(
            verdicts(ledger.on_commit(
                again.token,
                failure(result_code::platform_unavailable, ""),
                noon)) == expected_verdicts{claim_verdict::unknown});
        CHECK(ledger.pending() == 0);
    }
}

TEST_CASE("claims are rejected at once while the platform is down")
{
    claim_ledger ledger = ready_ledger();
    static_cast<void>(ledger.begin(claim_of("a", "k1"), noon));
    ledger_commit const first =
        actions_of<ledger_commit>(ledger.on_tick(noon + interval)).at(0);
    static_cast<void>(ledger.begin(claim_of("b", "k2"), noon + interval));
    expected_verdicts const rejected{claim_verdict::unavailable};
    // Queued claims are rejected together with those of the waiting commit.
    CHECK(
        verdicts(ledger.on_commit(
                     first.token,
                     failure(result_code::platform_unavailable, ""),
                     noon + interval))
            .size() == 2);
    CHECK(
        verdicts(ledger.begin(claim_of("c", "k3"), noon + interval)) ==
        rejected);
    // After the backoff the ledger requests a lease; no claim waits for it.
    CHECK(ledger.on_tick(noon + 2 * interval).empty());
    time_point const later = noon + std::chrono::seconds{1};
    CHECK(actions_of<ledger_lease>(ledger.on_tick(later)).size() == 1);
    CHECK(verdicts(ledger.begin(claim_of("d", "k4"), later)) == rejected);
    static_cast<void>(
        ledger.on_lease(failure(result_code::platform_unavailable, ""), later));
    CHECK(verdicts(ledger.begin(claim_of("e", "k5"), later)) == rejected);
    time_point const back = later + std::chrono::seconds{1};
    CHECK(actions_of<ledger_lease>(ledger.on_tick(back)).size() == 1);
    static_cast<void>(ledger.on_lease(8, back));
    CHECK(
        actions_of<ledger_commit>(ledger.begin(claim_of("f", "k6"), back))
            .size() == 1);
}

TEST_CASE("an old lease is replaced, and no claim is made without a lease")
{
    claim_ledger ledger = ready_ledger();
    ledger_actions const later =
        ledger.begin(claim_of("a", "k1"), noon + std::chrono::seconds{61});
    CHECK(actions_of<ledger_lease>(later).size() == 1);
    CHECK(actions_of<ledger_commit>(later).size() == 1);
    ledger_actions const waiting =
        ledger.begin(claim_of("b", "k2"), noon + std::chrono::seconds{121});
    CHECK(actions_of<ledger_commit>(waiting).empty());
    CHECK(
        verdicts(ledger.on_lease(
            failure(result_code::platform_unavailable, ""),
            noon + std::chrono::seconds{121})) ==
        expected_verdicts{claim_verdict::unavailable});
}

TEST_CASE("the entries share the platform's write rate")
{
    CHECK(make_ledger_limits(1).commit_interval == interval);
    CHECK(make_ledger_limits(3).commit_interval == interval);
    CHECK(make_ledger_limits(30).commit_interval == 10 * interval);
}

TEST_CASE("release deletes a claim only if its revision is unchanged")
{
    claim_ledger ledger = ready_ledger();
    static_cast<void>(ledger.release("k1", 5, noon));
    ledger_commit const sent =
        actions_of<ledger_commit>(ledger.on_tick(noon + interval)).at(0);
    CHECK(sent.request.conditions[0] == key_condition{claim_key("k1"), 5});
    CHECK_FALSE(sent.request.writes[0].value);
    // Another request has claimed the key since then.
    transaction_reply reply{false, 9, {}};
    reply.values[claim_key("k1")] = {encode_claim(claim_of("x", "k1")), 8, 8};
    CHECK(ledger.on_commit(sent.token, reply, noon).empty());
    CHECK(ledger.pending() == 0);
}

TEST_CASE("a request whose key is already claimed asks the holder for a "
          "replay")
{
    inbound_request inbound;
    inbound.id = request_id{"b"};
    inbound.claim = "k1";
    inbound.idempotent = false;
    request_machine machine{inbound};
    static_cast<void>(machine.start());
    chosen_backend const backend{backend_server_id{"backend"}, 1};
    static_cast<void>(machine.on_chosen(backend));
    request_actions const replay = machine.on_claimed(
        {claim_verdict::recorded, 5, backend_server_id{"holder"}, 3});
    REQUIRE(std::get<start_attempt>(replay.at(0)).replay_only);

    SECTION("the key is claimed again if the holder has no record")
    {
        wire::answer frame;
        frame.set_attempt(1);
        frame.mutable_failure()->set_state(wire::execution_state_not_run);
        static_cast<void>(machine.on_answer(frame, true));
        request_actions const next = machine.on_chosen(backend);
        CHECK(std::get<make_claim>(next.at(0)).request.previous_fence == 5);
    }
    SECTION("the claim is released if the retry budget is exhausted")
    {
        wire::answer frame;
        frame.set_attempt(1);
        frame.mutable_failure()->set_state(wire::execution_state_not_run);
        request_actions const end = machine.on_answer(frame, false);
        CHECK(std::get<release_claim>(end.at(end.size() - 2)).fence == 5);
        CHECK(
            std::get<fail_request>(end.back()).state ==
            execution_state::not_run);
    }
    SECTION("the request may have run if the holder cannot be reached")
    {
        request_actions const end = machine.on_agent_lost(false, true);
        CHECK(
            std::get<fail_request>(end.back()).state ==
            execution_state::may_have_run);
    }
}
