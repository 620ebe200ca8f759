#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using test::find_action;
using test::not_executed;
using test::relay_fixture;
using test::signed_answer;

TEST_CASE("a request is sent with its customer and the time left", "[relay]")
{
    relay_fixture it;
    actions const out = it.request(1, "/safe/x", 2500);
    std::optional<open_attempt> const sent = find_action<open_attempt>(out);
    REQUIRE(sent);
    CHECK(sent->customer == customer_id{"school"});
    CHECK(sent->time_left == milliseconds{2500});
    CHECK(sent->target.service == service_name{"plain"});
    CHECK_FALSE(sent->fresh_connection);
}

TEST_CASE("the route's timeout bounds a patient caller", "[relay]")
{
    relay_fixture it;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(it.request(1, "/safe/x", 60'000));
    REQUIRE(sent);
    CHECK(sent->time_left == milliseconds{4000});
}

TEST_CASE("what may be repeated follows from the repeat class", "[relay]")
{
    struct row
    {
        char const* target;
        /// Whether the attempt had reached the replica.
        bool sent;
        bool repeated;
        result_code code;
    };
    std::vector<row> const rows{
        {"/safe/x", true, true, result_code::ok},
        {"/safe/x", false, true, result_code::ok},
        {"/stream/x", true, true, result_code::ok},
        {"/once/x", true, false, result_code::outcome_unknown},
        {"/once/x", false, true, result_code::ok},
    };
    for (row const& row : rows)
    {
        CAPTURE(row.target, row.sent);
        relay_fixture it;
        std::optional<open_attempt> const first =
            find_action<open_attempt>(it.request(1, row.target, 3000));
        REQUIRE(first);
        actions const out = it.core.on_failed(
            1,
            first->attempt,
            row.sent ? attempt_progress::sent : attempt_progress::not_sent,
            "reset",
            it.now);
        std::optional<open_attempt> const second =
            find_action<open_attempt>(out);
        CHECK(second.has_value() == row.repeated);
        if (second)
            CHECK(second->target.id != first->target.id);
        std::optional<send_error> const refused = find_action<send_error>(out);
        CHECK(refused.has_value() != row.repeated);
        if (refused)
        {
            CHECK(refused->code == row.code);
            CHECK(refused->state == execution_state::may_have_run);
            CHECK_FALSE(refused->retry_after);
        }
    }
}

TEST_CASE("a replica's own refusal is passed on as not run", "[relay]")
{
    relay_fixture it;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(it.request(1, "/once/x", 3000));
    REQUIRE(sent);
    actions const out =
        it.core.on_head(1, sent->attempt, not_executed(503), it.now);
    std::optional<send_error> const refused = find_action<send_error>(out);
    REQUIRE(refused);
    CHECK(refused->state == execution_state::not_run);
    CHECK(http_status_of(refused->code) == 503);
    REQUIRE(refused->retry_after);
    CHECK(*refused->retry_after <= milliseconds{1000});
}

TEST_CASE("another replica at the address is no attempt", "[relay]")
{
    relay_fixture it;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(it.request(1, "/once/x", 3000));
    REQUIRE(sent);
    actions const out =
        it.core.on_head(1, sent->attempt, not_executed(421), it.now);
    std::optional<open_attempt> const second = find_action<open_attempt>(out);
    REQUIRE(second);
    CHECK(second->target.id != sent->target.id);
}

// All replicas were replaced at once, and each request met several of them that
// were others by then: 991 repeats in 10 s where 890 were allowed.
TEST_CASE("what another replica refused is paid from the budget", "[relay]")
{
    relay_fixture it;
    relay_settings settings;
    settings.data_centre = data_centre_id{"a"};
    settings.retries.allowance = 0;
    settings.retries.ratio = 0;
    it.core.update(settings);
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(it.request(1, "/once/x", 3000));
    REQUIRE(sent);
    actions const out =
        it.core.on_head(1, sent->attempt, not_executed(421), it.now);
    CHECK_FALSE(find_action<open_attempt>(out));
    std::optional<send_error> const refused = find_action<send_error>(out);
    REQUIRE(refused);
    CHECK(refused->state == execution_state::not_run);
    CHECK(refused->retry_after);
}

TEST_CASE("an answer without a replica's mark is never passed on", "[relay]")
{
    relay_fixture it;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(it.request(1, "/once/x", 3000));
    REQUIRE(sent);
    replica_response_head answer;
    answer.status = 200;
    actions const out = it.core.on_head(1, sent->attempt, answer, it.now);
    CHECK_FALSE(find_action<send_head>(out));
    REQUIRE(find_action<send_error>(out));
    CHECK(find_action<send_error>(out)->code == result_code::outcome_unknown);
}

TEST_CASE("a broken stream goes on after its last whole event", "[relay]")
{
    relay_fixture it;
    std::optional<open_attempt> const first =
        find_action<open_attempt>(it.request(1, "/stream/x", 3000));
    REQUIRE(first);
    static_cast<void>(
        it.core.on_head(1, first->attempt, signed_answer(200), it.now));
    actions out = it.core.on_data(
        1,
        first->attempt,
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\nda",
        it.now);
    REQUIRE(find_action<send_head>(out));
    CHECK(
        find_action<send_data>(out)->bytes ==
        "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    out = it.core.on_failed(
        1, first->attempt, attempt_progress::sent, "reset", it.now);
    std::optional<open_attempt> const second = find_action<open_attempt>(out);
    REQUIRE(second);
    CHECK(second->resume_after == 2U);
    static_cast<void>(
        it.core.on_head(1, second->attempt, signed_answer(200), it.now));
    // The second replica repeats an event; it is dropped.
    out = it.core.on_data(
        1, second->attempt, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n", it.now);
    CHECK_FALSE(find_action<send_head>(out));
    CHECK(find_action<send_data>(out)->bytes == "id: 3\ndata: c\n\n");
    out = it.core.on_end(1, second->attempt, it.now);
    CHECK(find_action<send_end>(out));
}

TEST_CASE("a stream that ends within an event is not whole", "[relay]")
{
    relay_fixture it;
    std::optional<open_attempt> const first =
        find_action<open_attempt>(it.request(1, "/stream/x", 3000));
    static_cast<void>(
        it.core.on_head(1, first->attempt, signed_answer(200), it.now));
    static_cast<void>(it.core.on_data(
        1, first->attempt, "id: 1\ndata: a\n\nid: 2\n", it.now));
    actions const out = it.core.on_end(1, first->attempt, it.now);
    CHECK_FALSE(find_action<send_end>(out));
    CHECK(find_action<open_attempt>(out));
}

TEST_CASE("keys stop when the configuration cannot be proved", "[relay]")
{
    struct row
    {
        int age_ms;
        char const* target;
        bool served;
    };
    // The limit is 4.5 s of the 5 s in which a withdrawn key must stop.
    std::vector<row> const rows{
        {4400, "/safe/x", true},
        {4600, "/safe/x", false},
        {4600, "/once/x", false},
        {4600, "/open/x", true},
        {60'000, "/open/x", true},
    };
    for (row const& row : rows)
    {
        CAPTURE(row.age_ms, row.target);
        relay_fixture it;
        it.pass(milliseconds{row.age_ms}, false);
        actions const out = it.request(1, row.target, 3000);
        CHECK(find_action<open_attempt>(out).has_value() == row.served);
        std::optional<send_error> const refused = find_action<send_error>(out);
        CHECK(refused.has_value() != row.served);
        if (refused)
        {
            CHECK(http_status_of(refused->code) == 503);
            CHECK(refused->close_connection);
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
    stale.pass(milliseconds{2500}, false);
    CHECK(
        find_action<send_error>(stale.request(1, "/none/x", 3000))->code ==
        result_code::not_ready);
}

TEST_CASE("the end of the deadline is told truthfully", "[relay]")
{
    relay_fixture it;
    static_cast<void>(it.request(1, "/once/x", 500));
    it.pass(milliseconds{501});
    actions const out = it.core.on_tick(it.now);
    CHECK(find_action<close_attempt>(out));
    REQUIRE(find_action<send_error>(out));
    CHECK(find_action<send_error>(out)->state == execution_state::may_have_run);
    CHECK(http_status_of(find_action<send_error>(out)->code) == 504);
}

TEST_CASE("a caller that leaves ends the replica's work", "[relay]")
{
    relay_fixture it;
    static_cast<void>(it.request(1, "/once/x", 3000));
    CHECK(find_action<close_attempt>(it.core.on_caller_gone(1, it.now)));
    CHECK(it.core.open_requests() == 0);
    CHECK(it.core.loads().own().empty());
}

TEST_CASE("streams leave a rank that holds up its group", "[relay]")
{
    relay_fixture it;
    std::optional<open_attempt> const first =
        find_action<open_attempt>(it.request(1, "/stream/x", 3000));
    REQUIRE(first);
    it.core.loads().on_rank_status(first->target.id, {true, 12, it.now});
    actions const out = it.core.on_tick(it.now);
    CHECK(find_action<close_attempt>(out));
    std::optional<open_attempt> const second = find_action<open_attempt>(out);
    REQUIRE(second);
    CHECK(second->target.id != first->target.id);
}

// All other ranks of the group were full, so that its one slow rank, which had
// free slots, got every new stream and held up all passes.
TEST_CASE("a slow rank with free slots gets no new streams", "[relay]")
{
    relay_fixture it;
    it.core.loads().on_rank_status(backend_server_id{"l1"}, {true, 12, it.now});
    for (std::uint64_t n = 1; n <= 8; ++n)
    {
        std::optional<open_attempt> const sent =
            find_action<open_attempt>(it.request(n, "/stream/x", 3000));
        CHECK(sent.has_value() == (n <= 4));
        if (sent)
            CHECK(sent->target.id == backend_server_id{"l2"});
    }
}

// A request that came seven seconds after SIGTERM was sent on, and cut off when
// the grace period ended.
TEST_CASE("an entry that is about to end refuses truthfully", "[relay]")
{
    relay_fixture it;
    std::optional<open_attempt> const begun =
        find_action<open_attempt>(it.request(1, "/once/x", 3000));
    REQUIRE(begun);
    it.core.close();
    std::optional<send_error> const refused =
        find_action<send_error>(it.request(2, "/once/x", 3000));
    REQUIRE(refused);
    CHECK(refused->state == execution_state::not_run);
    CHECK(http_status_of(refused->code) == 503);
    CHECK(refused->close_connection);
    CHECK(refused->retry_after);
    // What has begun is answered.
    static_cast<void>(
        it.core.on_head(1, begun->attempt, signed_answer(200), it.now));
    CHECK(find_action<send_end>(it.core.on_end(1, begun->attempt, it.now)));
}

TEST_CASE("requests wait for a group that forms again", "[relay]")
{
    relay_fixture it;
    for (char const* id : {"l1", "l2"})
        it.core.loads().on_rank_status(
            backend_server_id{id}, {false, 1, it.now});
    CHECK(it.request(1, "/stream/x", 4000).empty());
    it.pass(milliseconds{800});
    it.core.loads().on_rank_status(backend_server_id{"l1"}, {true, 1, it.now});
    CHECK(find_action<open_attempt>(it.core.on_tick(it.now)));
}

TEST_CASE("a group that has long not worked refuses at once", "[relay]")
{
    relay_fixture it;
    std::size_t refused = 0;
    for (std::uint64_t n = 1; n <= 40; ++n)
    {
        for (char const* id : {"l1", "l2"})
            it.core.loads().on_rank_status(
                backend_server_id{id}, {false, 1, it.now});
        it.pass(milliseconds{100});
        bool const long_outage = n > 20;
        std::optional<send_error> const now =
            find_action<send_error>(it.request(n, "/stream/x", 4000));
        CHECK(now.has_value() == long_outage);
        if (now)
        {
            CHECK(now->state == execution_state::not_run);
            REQUIRE(now->retry_after);
            CHECK(*now->retry_after > milliseconds{0});
        }
        for (action const& one : it.core.on_tick(it.now))
            refused += std::holds_alternative<send_error>(one) ? 1 : 0;
    }
    // Those that waited were told within 1.2 s, 0.3 of their time.
    CHECK(refused == 20);
}
