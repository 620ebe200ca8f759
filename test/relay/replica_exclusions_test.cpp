#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>

#include <set>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using test::find_action;
using test::not_executed;
using test::relay_fixture;
using test::signed_response;

namespace
{

/// \brief Completes an attempt with a response that has no body.
void answer(
    relay_fixture& fixture,
    open_attempt const& attempt,
    replica_response_head const& head)
{
    static_cast<void>(fixture.core.on_head(
        attempt.exchange, attempt.attempt, head, fixture.now));
    static_cast<void>(
        fixture.core.on_end(attempt.exchange, attempt.attempt, fixture.now));
}

replica_response_head busy_response(duration retry_after)
{
    replica_response_head out = not_executed(503);
    out.retry_after = retry_after;
    return out;
}

/// \brief Registers the replicas of the fixture anew, with a revision.
void register_replica(
    relay_fixture& fixture, std::string const& id, std::int64_t revision)
{
    std::map<backend_server_id, replica> snapshot;
    for (std::string const name : {"p1", "p2", "l1", "l2"})
    {
        replica it = *fixture.core.replicas().find(backend_server_id{name});
        if (name == id)
            it.registration_revision = revision;
        snapshot.emplace(it.id, it);
    }
    static_cast<void>(
        fixture.core.replicas().update(std::move(snapshot), fixture.now));
}

/// \brief Number of requests of ten that a replica gets.
int requests_to(
    relay_fixture& fixture,
    backend_server_id const& id,
    std::uint64_t first_number,
    std::string const& target = "/safe/x")
{
    int out = 0;
    for (std::uint64_t n = first_number; n < first_number + 10; ++n)
    {
        std::optional<open_attempt> const sent =
            find_action<open_attempt>(fixture.request(n, target, 3000));
        if (!sent)
            continue;
        out += sent->target.id == id ? 1 : 0;
        answer(fixture, *sent, signed_response(200));
    }
    return out;
}

} // namespace

TEST_CASE("a leaving replica gets requests only once it registers anew")
{
    for (std::string const target : {"/safe/x", "/once/x", "/stream/x"})
    {
        CAPTURE(target);
        relay_fixture fixture;
        std::optional<open_attempt> const first =
            find_action<open_attempt>(fixture.request(1, target, 3000));
        REQUIRE(first);
        replica_response_head head = signed_response(200);
        head.is_leaving = true;
        answer(fixture, *first, head);
        backend_server_id const leaving = first->target.id;
        CHECK(requests_to(fixture, leaving, 10, target) == 0);
        // Time alone does not bring it back.
        fixture.advance(std::chrono::minutes{5});
        CHECK(requests_to(fixture, leaving, 30, target) == 0);
        register_replica(fixture, leaving.str(), 99);
        CHECK(requests_to(fixture, leaving, 50, target) > 0);
    }
}

TEST_CASE("a stream that breaks off is not resumed at a leaving replica")
{
    relay_fixture fixture;
    std::optional<open_attempt> const first =
        find_action<open_attempt>(fixture.request(1, "/stream/x", 3000));
    REQUIRE(first);
    replica_response_head head = signed_response(200);
    head.is_leaving = true;
    static_cast<void>(
        fixture.core.on_head(1, first->attempt, head, fixture.now));
    static_cast<void>(fixture.core.on_data(
        1, first->attempt, "id: 1\ndata: x\n\n", fixture.now));
    std::optional<open_attempt> const second =
        find_action<open_attempt>(fixture.core.on_failed(
            1, first->attempt, attempt_progress::sent, "reset", fixture.now));
    REQUIRE(second);
    CHECK(second->target.id != first->target.id);
}

TEST_CASE("a replica that wants a pause gets none of the requests in it")
{
    relay_fixture fixture;
    std::optional<open_attempt> const first =
        find_action<open_attempt>(fixture.request(1, "/safe/x", 3000));
    REQUIRE(first);
    // The request itself is sent to the other replica.
    actions const out = fixture.core.on_head(
        1, first->attempt, busy_response(milliseconds{1500}), fixture.now);
    std::optional<open_attempt> const second = find_action<open_attempt>(out);
    REQUIRE(second);
    CHECK(second->target.id != first->target.id);
    answer(fixture, *second, signed_response(200));
    for (int n = 0; n < 3; ++n)
    {
        CHECK(
            requests_to(
                fixture, first->target.id, 100 + 20 * std::uint64_t(n)) == 0);
        fixture.advance(milliseconds{490});
    }
    fixture.advance(milliseconds{600});
    CHECK(requests_to(fixture, first->target.id, 200) > 0);
}

// Nothing is gained by a wait: the callers are told at once when to return, and
// the queue is emptied.
TEST_CASE("requests are rejected at once while all replicas want a pause")
{
    relay_fixture fixture;
    std::vector<open_attempt> attempts;
    for (std::uint64_t n = 1; attempts.size() < 2; ++n)
    {
        std::optional<open_attempt> const sent =
            find_action<open_attempt>(fixture.request(n, "/once/x", 3000));
        REQUIRE(sent);
        if (attempts.empty() || attempts.front().target.id != sent->target.id)
            attempts.push_back(*sent);
    }
    for (open_attempt const& it : attempts)
        static_cast<void>(fixture.core.on_head(
            it.exchange,
            it.attempt,
            busy_response(milliseconds{700}),
            fixture.now));
    std::set<std::int64_t> delays;
    for (std::uint64_t n = 50; n < 60; ++n)
    {
        std::optional<send_error> const rejection =
            find_action<send_error>(fixture.request(n, "/once/x", 3000));
        REQUIRE(rejection);
        CHECK(rejection->state == execution_state::not_run);
        CHECK(http_status_of(rejection->code) == 503);
        REQUIRE(rejection->retry_after);
        CHECK(*rejection->retry_after >= milliseconds{700});
        delays.insert(rejection->retry_after->count());
    }
    CHECK(delays.size() > 5);
}

TEST_CASE("the time for which a replica is left alone has a bound")
{
    replica_exclusions exclusions{random_source{1}};
    backend_server_id const id{"a"};
    time_point const now{std::chrono::seconds{100}};
    struct row
    {
        duration asked;
        duration least;
        duration most;
    };
    for (row const& it :
         {row{{}, {}, milliseconds{200}},
          row{milliseconds{-500}, {}, milliseconds{200}},
          row{std::chrono::seconds{2},
              std::chrono::seconds{2},
              milliseconds{2400}},
          row{std::chrono::hours{168},
              std::chrono::minutes{10},
              std::chrono::minutes{12}}})
    {
        replica_exclusions fresh{random_source{1}};
        duration const got = fresh.on_retry_after(id, it.asked, now) - now;
        CHECK(got >= it.least);
        CHECK(got <= it.most);
    }
    // A shorter pause does not end a longer one.
    time_point const until =
        exclusions.on_retry_after(id, std::chrono::seconds{5}, now);
    CHECK(exclusions.on_retry_after(id, milliseconds{100}, now) == until);
}

TEST_CASE("leaving replicas are remembered up to a number, the newest ones")
{
    replica_exclusions exclusions{random_source{1}};
    constexpr std::size_t count = 2 * replica_exclusions::max_leaving;
    std::size_t remembered = 0;
    for (std::size_t n = 1; n <= count; ++n)
    {
        std::int64_t const registration = static_cast<std::int64_t>(n);
        static_cast<void>(exclusions.on_leaving(
            backend_server_id{std::to_string(n)}, {0, registration}));
    }
    replica it;
    for (std::size_t n = 1; n <= count; ++n)
    {
        it.id = backend_server_id{std::to_string(n)};
        it.registration_revision = static_cast<std::int64_t>(n);
        remembered += exclusions.is_leaving(it) ? 1 : 0;
    }
    CHECK(remembered == replica_exclusions::max_leaving);
    CHECK(exclusions.is_leaving(it));
}

// Guards against a replica that returned under its id and never gets requests
// again, as its revision in an older copy of the store is lower than before.
TEST_CASE("a replica that registers anew in a later era is no longer leaving")
{
    replica_exclusions exclusions{random_source{1}};
    replica it;
    it.id = backend_server_id{"r"};
    it.registration_revision = 1005;
    static_cast<void>(exclusions.on_leaving(it.id, it.registered_at()));
    REQUIRE(exclusions.is_leaving(it));
    it.registration_revision = 950;
    CHECK(exclusions.is_leaving(it));
    it.registration_era = 1;
    CHECK_FALSE(exclusions.is_leaving(it));
}
