#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using test::find_action;
using test::not_executed;
using test::relay_fixture;
using test::signed_response;

namespace
{

replica_response_head pause_response(duration asked)
{
    replica_response_head out = not_executed(503);
    out.retry_after = asked;
    return out;
}

actions answer(
    relay_fixture& fixture,
    open_attempt const& to,
    replica_response_head const& head)
{
    return fixture.core.on_head(to.exchange, to.attempt, head, fixture.now);
}

open_attempt
send(relay_fixture& fixture, std::uint64_t number, std::string const& target)
{
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(number, target, 4000));
    REQUIRE(sent);
    return *sent;
}

/// \brief Sends a request to each of two replicas.
std::pair<open_attempt, open_attempt>
send_to_both(relay_fixture& fixture, std::string const& target)
{
    open_attempt const first = send(fixture, 1, target);
    for (std::uint64_t n = 2;; ++n)
    {
        REQUIRE(n < 20);
        open_attempt const second = send(fixture, n, target);
        if (second.target.id != first.target.id)
            return {first, second};
    }
}

void register_anew(
    relay_fixture& fixture, backend_server_id const& id, std::int64_t revision)
{
    std::map<backend_server_id, replica> snapshot;
    for (std::string const name : {"p1", "p2", "l1", "l2"})
    {
        replica it = *fixture.core.replicas().find(backend_server_id{name});
        if (it.id == id)
            it.registration_revision = revision;
        snapshot.emplace(it.id, it);
    }
    static_cast<void>(
        fixture.core.replicas().update(std::move(snapshot), fixture.now));
}

/// \brief Whether any of some requests is sent to a replica.
bool gets_requests(
    relay_fixture& fixture,
    backend_server_id const& id,
    std::uint64_t first_number,
    std::string const& target)
{
    bool out = false;
    for (std::uint64_t n = first_number; n < first_number + 10; ++n)
    {
        std::optional<open_attempt> const sent =
            find_action<open_attempt>(fixture.request(n, target, 4000));
        if (!sent)
            continue;
        out = out || sent->target.id == id;
        static_cast<void>(answer(fixture, *sent, signed_response(200)));
        static_cast<void>(fixture.core.on_end(n, sent->attempt, fixture.now));
    }
    return out;
}

} // namespace

// Guards against the wait of docs/incidents/resting-replicas.md.
TEST_CASE("a retry does not wait for replicas that want a long pause")
{
    for (std::string const target : {"/safe/x", "/once/x", "/stream/x"})
    {
        CAPTURE(target);
        relay_fixture fixture;
        auto const [first, second] = send_to_both(fixture, target);
        static_cast<void>(
            answer(fixture, first, pause_response(milliseconds{2500})));
        std::optional<send_error> const rejection = find_action<send_error>(
            answer(fixture, second, pause_response(milliseconds{3000})));
        REQUIRE(rejection);
        CHECK(rejection->exchange == second.exchange);
        CHECK(rejection->state == execution_state::not_run);
        REQUIRE(rejection->retry_after);
        CHECK(*rejection->retry_after >= milliseconds{2500});
        CHECK(*rejection->retry_after <= milliseconds{4000});
    }
}

TEST_CASE("retries that wait are rejected once no replica may get them")
{
    relay_fixture fixture;
    auto const [first, second] = send_to_both(fixture, "/safe/x");
    // The other replica takes nothing for the moment, so the request waits.
    fixture.core.loads().on_rank_status(
        first.target.id, {false, 1, fixture.now});
    actions const waiting = answer(fixture, second, not_executed(503));
    REQUIRE_FALSE(find_action<send_error>(waiting));
    REQUIRE_FALSE(find_action<open_attempt>(waiting));
    actions const out =
        answer(fixture, first, pause_response(milliseconds{3000}));
    actions const after = fixture.core.on_tick(fixture.now);
    std::set<exchange_id> rejected;
    for (actions const& decided : {out, after})
    {
        for (action const& it : decided)
        {
            if (send_error const* error = std::get_if<send_error>(&it))
                rejected.insert(error->exchange);
        }
    }
    CHECK(rejected.contains(second.exchange));
}

TEST_CASE("an answer of an earlier run excludes no restarted replica")
{
    for (std::string const target : {"/safe/x", "/stream/x"})
    {
        CAPTURE(target);
        relay_fixture fixture;
        open_attempt const sent = send(fixture, 1, target);
        register_anew(fixture, sent.target.id, 9);
        replica_response_head head = signed_response(200);
        head.is_leaving = true;
        static_cast<void>(answer(fixture, sent, head));
        static_cast<void>(fixture.core.on_end(1, sent.attempt, fixture.now));
        CHECK(gets_requests(fixture, sent.target.id, 10, target));
    }
}

TEST_CASE("what another replica at the address says is not about the target")
{
    relay_fixture fixture;
    open_attempt const sent = send(fixture, 1, "/safe/x");
    replica_response_head head = not_executed(421);
    head.is_leaving = true;
    static_cast<void>(answer(fixture, sent, head));
    // The target is not tried again for some seconds.
    fixture.advance(milliseconds{6000});
    register_anew(fixture, sent.target.id, sent.target.registration_revision);
    CHECK(gets_requests(fixture, sent.target.id, 10, "/safe/x"));
}

TEST_CASE("a long pause holds in full")
{
    relay_fixture fixture;
    open_attempt const sent = send(fixture, 1, "/safe/x");
    static_cast<void>(
        answer(fixture, sent, pause_response(std::chrono::minutes{2})));
    fixture.advance(milliseconds{119'000});
    CHECK_FALSE(gets_requests(fixture, sent.target.id, 10, "/safe/x"));
    fixture.advance(milliseconds{26'000});
    CHECK(gets_requests(fixture, sent.target.id, 30, "/safe/x"));
}

TEST_CASE("a retry waits for a replica whose pause ends soon")
{
    relay_fixture fixture;
    auto const [first, second] = send_to_both(fixture, "/safe/x");
    static_cast<void>(
        answer(fixture, first, pause_response(milliseconds{300})));
    CHECK_FALSE(find_action<send_error>(fixture.core.on_failed(
        second.exchange,
        second.attempt,
        attempt_progress::sent,
        "reset",
        fixture.now)));
    fixture.advance(milliseconds{600});
    std::optional<open_attempt> const retry =
        find_action<open_attempt>(fixture.core.on_tick(fixture.now));
    REQUIRE(retry);
    CHECK(retry->target.id == first.target.id);
}

namespace
{

/// \brief What a caller sees of a fleet whose replicas leave, restart, want
/// pauses and fail at random.
class random_fleet
{
public:
    explicit random_fleet(std::uint64_t seed)
        : random_{seed}
    {
        std::size_t const n = 2 + random_.below(5);
        for (std::size_t number = 0; number < n; ++number)
        {
            replica it = *fixture_.core.replicas().find(
                backend_server_id{number % 2 == 0 ? "p1" : "l1"});
            it.id = backend_server_id{"r" + std::to_string(number)};
            it.address = "127.0.0.1:" + std::to_string(100 + number);
            replicas_.emplace(it.id, it);
        }
        register_all();
    }

    void step()
    {
        switch (random_.below(5))
        {
        case 0:
            fixture_.advance(milliseconds{random_.below(300)});
            apply(fixture_.core.on_tick(fixture_.now));
            break;
        case 1:
            restart_one();
            break;
        case 2:
        case 3:
            request();
            break;
        default:
            answer_one();
        }
    }

private:
    struct open_request
    {
        open_attempt attempt;
        service_name service;
        bool has_head = false;
    };

    replica& any_replica()
    {
        return std::next(
                   replicas_.begin(),
                   static_cast<std::ptrdiff_t>(random_.below(replicas_.size())))
            ->second;
    }

    void register_all()
    {
        static_cast<void>(
            fixture_.core.replicas().update(replicas_, fixture_.now));
    }

    void restart_one()
    {
        if (random_.unit() < 0.7)
            return;
        any_replica().registration_revision = ++revision_;
        register_all();
    }

    /// Time until the first replica of a service ends its pause; empty if one
    /// wants none.
    std::optional<duration> pause_of(service_name const& service) const
    {
        std::optional<duration> out;
        for (auto const& [id, it] : replicas_)
        {
            auto const left = leaving_.find(id);
            bool const is_leaving = left != leaving_.end() &&
                                    it.registration_revision <= left->second;
            if (it.service != service || is_leaving)
                continue;
            auto const until = paused_until_.find(id);
            if (until == paused_until_.end() || until->second <= fixture_.now)
                return std::nullopt;
            duration const time = until->second - fixture_.now;
            out = std::min(out.value_or(time), time);
        }
        return out;
    }

    void request()
    {
        static std::array<char const*, 3> const targets{
            "/safe/x", "/once/x", "/stream/x"};
        std::string const target = targets[random_.below(targets.size())];
        service_name const service{target == "/stream/x" ? "lm" : "plain"};
        std::optional<duration> const pause = pause_of(service);
        exchange_id const id = ++last_;
        services_[id] = service;
        actions const out = fixture_.request(id, target, 4000);
        if (pause)
        {
            std::optional<send_error> const rejection =
                find_action<send_error>(out);
            RC_ASSERT(rejection.has_value());
            RC_ASSERT(rejection->state == execution_state::not_run);
            RC_ASSERT(rejection->retry_after.has_value());
            RC_ASSERT(*rejection->retry_after >= *pause);
        }
        apply(out);
    }

    void apply(actions const& decided)
    {
        for (action const& it : decided)
        {
            if (open_attempt const* sent = std::get_if<open_attempt>(&it))
                on_sent(*sent);
            else if (
                close_attempt const* gone = std::get_if<close_attempt>(&it))
                open_.erase(gone->exchange);
        }
    }

    void on_sent(open_attempt const& it)
    {
        auto const until = paused_until_.find(it.target.id);
        RC_ASSERT(
            until == paused_until_.end() || until->second <= fixture_.now);
        auto const left = leaving_.find(it.target.id);
        RC_ASSERT(
            left == leaving_.end() ||
            it.target.registration_revision > left->second);
        open_[it.exchange] = {it, services_.at(it.exchange), false};
    }

    // The answer may come from a run of the replica that has ended since.
    void answer_one()
    {
        if (open_.empty())
            return;
        auto const chosen = std::next(
            open_.begin(),
            static_cast<std::ptrdiff_t>(random_.below(open_.size())));
        open_request const it = chosen->second;
        backend_server_id const& id = it.attempt.target.id;
        std::uint64_t const kind = random_.below(6);
        if (kind == 0)
        {
            open_.erase(chosen);
            apply(fixture_.core.on_failed(
                it.attempt.exchange,
                it.attempt.attempt,
                random_.unit() < 0.5 ? attempt_progress::sent
                                     : attempt_progress::not_sent,
                "reset",
                fixture_.now));
            return;
        }
        replica_response_head head =
            kind <= 2 ? not_executed(503) : signed_response(200);
        if (kind == 1)
        {
            head.retry_after = milliseconds{random_.below(5000)};
            time_point& until = paused_until_[id];
            until = std::max(until, fixture_.now + *head.retry_after);
        }
        if (random_.unit() < 0.15)
        {
            head.is_leaving = true;
            std::int64_t& registration = leaving_[id];
            registration =
                std::max(registration, it.attempt.target.registration_revision);
        }
        apply(answer(fixture_, it.attempt, head));
        if (kind <= 2)
            return;
        open_.erase(it.attempt.exchange);
        if (it.service.str() == "lm")
            apply(fixture_.core.on_data(
                it.attempt.exchange,
                it.attempt.attempt,
                "id: 1\ndata: x\n\n",
                fixture_.now));
        bool const breaks = random_.unit() < 0.3;
        apply(
            breaks
                ? fixture_.core.on_failed(
                      it.attempt.exchange,
                      it.attempt.attempt,
                      attempt_progress::sent,
                      "reset",
                      fixture_.now)
                : fixture_.core.on_end(
                      it.attempt.exchange, it.attempt.attempt, fixture_.now));
    }

    relay_fixture fixture_;
    random_source random_;
    std::int64_t revision_ = 0;
    exchange_id last_ = 0;
    std::map<backend_server_id, replica> replicas_;
    std::map<exchange_id, service_name> services_;
    std::map<exchange_id, open_request> open_;
    std::map<backend_server_id, time_point> paused_until_;
    /// Registration with which a replica said that it leaves.
    std::map<backend_server_id, std::int64_t> leaving_;
};

} // namespace

TEST_CASE("no request is sent to a replica that wants a pause or leaves")
{
    rc::prop(
        "random fleets, answers and restarts",
        []
        {
            random_fleet fleet{*rc::gen::inRange<std::uint64_t>(1, 1'000'000)};
            for (int n = 0; n < 400; ++n)
                fleet.step();
        });
}
