#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <vector>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using test::find_action;
using test::not_executed;
using test::relay_fixture;
using test::signed_response;

// Guards against an error of the second replica in the caller's stream, and
// against a stream that ends there as if it were complete.
TEST_CASE(
    "an error in response to a resumed stream never reaches its caller",
    "[relay]")
{
    replica_response_head unsigned_success;
    unsigned_success.status = 200;
    replica_response_head other_type = signed_response(200);
    other_type.headers = {{"Content-Type", "application/json"}};
    std::vector<replica_response_head> const answers{
        signed_response(500),
        signed_response(503),
        signed_response(504),
        signed_response(404),
        signed_response(400),
        signed_response(302),
        signed_response(204),
        not_executed(503),
        not_executed(429),
        unsigned_success,
        other_type,
    };
    for (replica_response_head const& answer : answers)
    {
        CAPTURE(answer.status, answer.not_executed);
        relay_fixture fixture;
        std::optional<open_attempt> const first =
            find_action<open_attempt>(fixture.request(1, "/stream/x", 3000));
        REQUIRE(first);
        static_cast<void>(fixture.core.on_head(
            1, first->attempt, signed_response(200), fixture.now));
        static_cast<void>(fixture.core.on_data(
            1, first->attempt, "id: 1\ndata: a\n\n", fixture.now));
        std::optional<open_attempt> const second =
            find_action<open_attempt>(fixture.core.on_failed(
                1,
                first->attempt,
                attempt_progress::sent,
                "reset",
                fixture.now));
        REQUIRE(second);
        actions out =
            fixture.core.on_head(1, second->attempt, answer, fixture.now);
        for (actions const& later :
             {fixture.core.on_data(
                  1, second->attempt, "{\"error\":\"x\"}\n\n", fixture.now),
              fixture.core.on_end(1, second->attempt, fixture.now)})
            out.insert(out.end(), later.begin(), later.end());
        CHECK_FALSE(find_action<send_head>(out));
        CHECK_FALSE(find_action<send_data>(out));
        CHECK_FALSE(find_action<send_end>(out));
        CHECK_FALSE(find_action<send_error>(out));
        CHECK(find_action<abort_response>(out));
    }
}
