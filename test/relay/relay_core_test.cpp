#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using test::find_action;
using test::not_executed;
using test::relay_fixture;
using test::signed_response;

TEST_CASE("a request is sent with its customer and the time left", "[relay]")
{
    relay_fixture fixture;
    actions const out = fixture.request(1, "/safe/x", 2500);
    std::optional<open_attempt> const sent = find_action<open_attempt>(out);
    REQUIRE(sent);
    CHECK(sent->customer == customer_id{"school"});
    CHECK(sent->time_left == milliseconds{2500});
    CHECK(sent->target.service == service_name{"plain"});
    CHECK_FALSE(sent->fresh_connection);
}

TEST_CASE(
    "the route's timeout limits a longer timeout of the caller", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(1, "/safe/x", 60'000));
    REQUIRE(sent);
    CHECK(sent->time_left == milliseconds{4000});
}

TEST_CASE("the retry class decides whether a request is retried", "[relay]")
{
    struct test_case
    {
        char const* target;
        /// Whether any part of the attempt was sent to the replica.
        bool sent;
        bool retried;
        result_code code;
    };
    std::vector<test_case> const test_cases{
        {"/safe/x", true, true, result_code::ok},
        {"/safe/x", false, true, result_code::ok},
        {"/stream/x", true, true, result_code::ok},
        {"/once/x", true, false, result_code::outcome_unknown},
        {"/once/x", false, true, result_code::ok},
    };
    for (test_case const& test_case : test_cases)
    {
        CAPTURE(test_case.target, test_case.sent);
        relay_fixture fixture;
        std::optional<open_attempt> const first = find_action<open_attempt>(
            fixture.request(1, test_case.target, 3000));
        REQUIRE(first);
        actions const out = fixture.core.on_failed(
            1,
            first->attempt,
            test_case.sent ? attempt_progress::sent
                           : attempt_progress::not_sent,
            "reset",
            fixture.now);
        std::optional<open_attempt> const second =
            find_action<open_attempt>(out);
        CHECK(second.has_value() == test_case.retried);
        if (second)
            CHECK(second->target.id != first->target.id);
        std::optional<send_error> const rejection =
            find_action<send_error>(out);
        CHECK(rejection.has_value() != test_case.retried);
        if (rejection)
        {
            CHECK(rejection->code == test_case.code);
            CHECK(rejection->state == execution_state::may_have_run);
            CHECK_FALSE(rejection->retry_after);
        }
    }
}

TEST_CASE("a rejection of the only attempt is reported as not run", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(1, "/once/x", 3000));
    REQUIRE(sent);
    actions const out =
        fixture.core.on_head(1, sent->attempt, not_executed(503), fixture.now);
    std::optional<send_error> const rejection = find_action<send_error>(out);
    REQUIRE(rejection);
    CHECK(rejection->state == execution_state::not_run);
    CHECK(http_status_of(rejection->code) == 503);
    REQUIRE(rejection->retry_after);
    CHECK(*rejection->retry_after <= milliseconds{1000});
}

TEST_CASE(
    "an attempt that reaches another replica does not count towards the "
    "route's limit",
    "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(1, "/once/x", 3000));
    REQUIRE(sent);
    actions const out =
        fixture.core.on_head(1, sent->attempt, not_executed(421), fixture.now);
    std::optional<open_attempt> const second = find_action<open_attempt>(out);
    REQUIRE(second);
    CHECK(second->target.id != sent->target.id);
}

// An attempt that a new replica at a known address rejects is not counted by
// the route, but must be charged: when all replicas were replaced at once,
// there were 991 retries in 10 s where 890 were allowed.
TEST_CASE(
    "a retry after a misdirected attempt is charged to the budget", "[relay]")
{
    relay_fixture fixture;
    relay_settings settings;
    settings.data_centre = data_centre_id{"a"};
    settings.retry_budget.allowance = 0;
    settings.retry_budget.ratio = 0;
    fixture.core.update(settings);
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(1, "/once/x", 3000));
    REQUIRE(sent);
    actions const out =
        fixture.core.on_head(1, sent->attempt, not_executed(421), fixture.now);
    CHECK_FALSE(find_action<open_attempt>(out));
    std::optional<send_error> const rejection = find_action<send_error>(out);
    REQUIRE(rejection);
    CHECK(rejection->state == execution_state::not_run);
    CHECK(rejection->retry_after);
}

// Guards against a budget that keeps the limits of the settings before.
TEST_CASE("changed retry limits apply to a service that is in use", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(1, "/safe/x", 3000));
    REQUIRE(sent);
    relay_settings settings;
    settings.data_centre = data_centre_id{"a"};
    settings.retry_budget.allowance = 0;
    settings.retry_budget.ratio = 0;
    fixture.core.update(settings);
    actions const out = fixture.core.on_failed(
        1, sent->attempt, attempt_progress::sent, "reset", fixture.now);
    CHECK_FALSE(find_action<open_attempt>(out));
    CHECK(find_action<send_error>(out));
}

TEST_CASE(
    "a response without a replica signature is never forwarded", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(1, "/once/x", 3000));
    REQUIRE(sent);
    replica_response_head head;
    head.status = 200;
    actions const out =
        fixture.core.on_head(1, sent->attempt, head, fixture.now);
    CHECK_FALSE(find_action<send_head>(out));
    REQUIRE(find_action<send_error>(out));
    CHECK(find_action<send_error>(out)->code == result_code::outcome_unknown);
}

TEST_CASE("a broken stream is resumed after its last complete event", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const first =
        find_action<open_attempt>(fixture.request(1, "/stream/x", 3000));
    REQUIRE(first);
    static_cast<void>(fixture.core.on_head(
        1, first->attempt, signed_response(200), fixture.now));
    actions out = fixture.core.on_data(
        1,
        first->attempt,
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda",
        fixture.now);
    REQUIRE(find_action<send_head>(out));
    CHECK(
        find_action<send_data>(out)->bytes ==
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    out = fixture.core.on_failed(
        1, first->attempt, attempt_progress::sent, "reset", fixture.now);
    std::optional<open_attempt> const second = find_action<open_attempt>(out);
    REQUIRE(second);
    CHECK(second->resume_after == 2U);
    static_cast<void>(fixture.core.on_head(
        1, second->attempt, signed_response(200), fixture.now));
    // The second replica sends event 2 again; it is dropped.
    out = fixture.core.on_data(
        1,
        second->attempt,
        "id: 2\ndata: b\n\nid: 3\ndata: c\n\n",
        fixture.now);
    CHECK_FALSE(find_action<send_head>(out));
    CHECK(find_action<send_data>(out)->bytes == "id: 3\ndata: c\n\n");
    out = fixture.core.on_end(1, second->attempt, fixture.now);
    CHECK(find_action<send_end>(out));
}

TEST_CASE("a stream that ends within an event is retried", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const first =
        find_action<open_attempt>(fixture.request(1, "/stream/x", 3000));
    static_cast<void>(fixture.core.on_head(
        1, first->attempt, signed_response(200), fixture.now));
    static_cast<void>(fixture.core.on_data(
        1, first->attempt, "id: 1\ndata: a\n\nid: 2\n", fixture.now));
    actions const out = fixture.core.on_end(1, first->attempt, fixture.now);
    CHECK_FALSE(find_action<send_end>(out));
    CHECK(find_action<open_attempt>(out));
}

TEST_CASE("keys are rejected when the configuration is stale", "[relay]")
{
    struct test_case
    {
        int age_ms;
        char const* target;
        bool served;
    };
    // The limit is 4.5 s; a withdrawn key must stop working within 5 s.
    std::vector<test_case> const test_cases{
        {4400, "/safe/x", true},
        {4600, "/safe/x", false},
        {4600, "/once/x", false},
        {4600, "/open/x", true},
        {60'000, "/open/x", true},
    };
    for (test_case const& test_case : test_cases)
    {
        CAPTURE(test_case.age_ms, test_case.target);
        relay_fixture fixture;
        fixture.advance(milliseconds{test_case.age_ms}, false);
        actions const out = fixture.request(1, test_case.target, 3000);
        CHECK(find_action<open_attempt>(out).has_value() == test_case.served);
        std::optional<send_error> const rejection =
            find_action<send_error>(out);
        CHECK(rejection.has_value() != test_case.served);
        if (rejection)
        {
            CHECK(http_status_of(rejection->code) == 503);
            CHECK(rejection->close_connection);
        }
    }
}

TEST_CASE("an unknown route is denied only by a fresh configuration", "[relay]")
{
    relay_fixture fresh;
    CHECK(
        find_action<send_error>(fresh.request(1, "/none/x", 3000))->code ==
        result_code::not_found);
    relay_fixture stale;
    stale.advance(milliseconds{2500}, false);
    CHECK(
        find_action<send_error>(stale.request(1, "/none/x", 3000))->code ==
        result_code::not_ready);
}

TEST_CASE("an attempt past its deadline is reported as may have run", "[relay]")
{
    relay_fixture fixture;
    static_cast<void>(fixture.request(1, "/once/x", 500));
    fixture.advance(milliseconds{501});
    actions const out = fixture.core.on_tick(fixture.now);
    CHECK(find_action<close_attempt>(out));
    REQUIRE(find_action<send_error>(out));
    CHECK(find_action<send_error>(out)->state == execution_state::may_have_run);
    CHECK(http_status_of(find_action<send_error>(out)->code) == 504);
}

TEST_CASE("the attempt is cancelled when the caller disconnects", "[relay]")
{
    relay_fixture fixture;
    static_cast<void>(fixture.request(1, "/once/x", 3000));
    CHECK(find_action<close_attempt>(
        fixture.core.on_caller_disconnected(1, fixture.now)));
    CHECK(fixture.core.open_requests() == 0);
    CHECK(fixture.core.loads().local_in_flight().empty());
}

TEST_CASE("streams are moved away from a rank that slows its group", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const first =
        find_action<open_attempt>(fixture.request(1, "/stream/x", 3000));
    REQUIRE(first);
    fixture.core.loads().on_rank_status(
        first->target.id, {true, 12, fixture.now});
    actions const out = fixture.core.on_tick(fixture.now);
    CHECK(find_action<close_attempt>(out));
    std::optional<open_attempt> const second = find_action<open_attempt>(out);
    REQUIRE(second);
    CHECK(second->target.id != first->target.id);
}

// Guards against new streams at a slow rank: when all other ranks of a group
// were full, the slow one had the only free slots, got every new stream and
// delayed all passes.
TEST_CASE("a slow rank with free slots gets no new streams", "[relay]")
{
    relay_fixture fixture;
    fixture.core.loads().on_rank_status(
        backend_server_id{"l1"}, {true, 12, fixture.now});
    for (std::uint64_t n = 1; n <= 8; ++n)
    {
        std::optional<open_attempt> const sent =
            find_action<open_attempt>(fixture.request(n, "/stream/x", 3000));
        CHECK(sent.has_value() == (n <= 4));
        if (sent)
            CHECK(sent->target.id == backend_server_id{"l2"});
    }
}

// Guards against requests that cannot be completed before the process exits:
// one that arrived 7 s after SIGTERM was relayed, and aborted when the grace
// period ended.
TEST_CASE(
    "an entry that is about to exit rejects requests as not run", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const started =
        find_action<open_attempt>(fixture.request(1, "/once/x", 3000));
    REQUIRE(started);
    static_cast<void>(fixture.core.close(fixture.now));
    std::optional<send_error> const rejection =
        find_action<send_error>(fixture.request(2, "/once/x", 3000));
    REQUIRE(rejection);
    CHECK(rejection->state == execution_state::not_run);
    CHECK(http_status_of(rejection->code) == 503);
    CHECK(rejection->close_connection);
    CHECK(rejection->retry_after);
    // The request that was already sent is completed.
    static_cast<void>(fixture.core.on_head(
        1, started->attempt, signed_response(200), fixture.now));
    CHECK(find_action<send_end>(
        fixture.core.on_end(1, started->attempt, fixture.now)));
}

// Guards against requests that wait while the process is about to exit, and are
// then cut or sent too late to be answered.
TEST_CASE("requests that wait are rejected when an entry closes", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(1, "/once/x", 3000));
    REQUIRE(sent);
    exchange_id last = 1;
    while (find_action<open_attempt>(fixture.request(++last, "/once/x", 3000)))
        REQUIRE(last < 1000);
    REQUIRE(fixture.core.request_of(last));
    actions const closed = fixture.core.close(fixture.now);
    std::optional<send_error> const rejection = find_action<send_error>(closed);
    REQUIRE(rejection);
    CHECK(rejection->exchange == last);
    CHECK(rejection->state == execution_state::not_run);
    CHECK(fixture.core.request_of(1));

    actions const finished = fixture.core.finish(fixture.now);
    std::optional<send_error> const ended = find_action<send_error>(finished);
    REQUIRE(ended);
    CHECK(ended->exchange == 1);
    CHECK(ended->state == execution_state::may_have_run);
    CHECK(http_status_of(ended->code) == 502);
    CHECK(fixture.core.open_requests() == 0);
}

TEST_CASE("requests wait for a group that re-forms", "[relay]")
{
    relay_fixture fixture;
    for (char const* id : {"l1", "l2"})
        fixture.core.loads().on_rank_status(
            backend_server_id{id}, {false, 1, fixture.now});
    CHECK(fixture.request(1, "/stream/x", 4000).empty());
    fixture.advance(milliseconds{800});
    fixture.core.loads().on_rank_status(
        backend_server_id{"l1"}, {true, 1, fixture.now});
    CHECK(find_action<open_attempt>(fixture.core.on_tick(fixture.now)));
}

TEST_CASE(
    "requests are rejected at once in a long outage of a group", "[relay]")
{
    relay_fixture fixture;
    std::size_t rejected = 0;
    for (std::uint64_t n = 1; n <= 40; ++n)
    {
        for (char const* id : {"l1", "l2"})
            fixture.core.loads().on_rank_status(
                backend_server_id{id}, {false, 1, fixture.now});
        fixture.advance(milliseconds{100});
        bool const long_outage = n > 20;
        std::optional<send_error> const rejection =
            find_action<send_error>(fixture.request(n, "/stream/x", 4000));
        CHECK(rejection.has_value() == long_outage);
        if (rejection)
        {
            CHECK(rejection->state == execution_state::not_run);
            REQUIRE(rejection->retry_after);
            CHECK(*rejection->retry_after > milliseconds{0});
        }
        for (action const& one : fixture.core.on_tick(fixture.now))
            rejected += std::holds_alternative<send_error>(one) ? 1 : 0;
    }
    // The 20 queued requests were rejected within 1.2 s: outage_wait_fraction
    // (0.3) of their timeout of 4 s.
    CHECK(rejected == 20);
}
