#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <memory>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using test::find_action;
using test::relay_fixture;

namespace
{

constexpr milliseconds step{50};
/// Goal of the design, within the 5 s that callers of an evacuation are
/// promised.
constexpr milliseconds bound{1000};
constexpr milliseconds told_again{500};

data_centre_id data_centre(std::size_t n)
{
    return data_centre_id{std::string(1, static_cast<char>('a' + n))};
}

void place_replicas(relay_core& core, std::size_t data_centres, time_point now)
{
    std::map<backend_server_id, replica> replicas;
    int port = 1;
    for (char const* service : {"plain", "lm"})
    {
        for (std::size_t n = 0; n < 2 * data_centres; ++n, ++port)
        {
            replica it;
            it.id = backend_server_id{service + std::to_string(n)};
            it.service = service_name{service};
            it.address = "127.0.0.1:" + std::to_string(port);
            it.data_centre = data_centre(n % data_centres);
            it.slots = 3;
            replicas.emplace(it.id, it);
        }
    }
    static_cast<void>(core.replicas().update(replicas, now));
}

/// \brief Entries that learn of evacuations from a store and from each other;
/// either may be cut off.
class fleet_model
{
public:
    fleet_model(std::size_t entries, std::size_t data_centres)
        : data_centres_{data_centres}
    {
        for (std::size_t n = 0; n < entries; ++n)
        {
            entries_.push_back({});
            restart(n);
        }
    }

    // An entry serves nothing before it has read the configuration, with which
    // it reads the evacuations.
    void restart(std::size_t n)
    {
        entry& it = entries_[n];
        if (it.cut_from_store && it.core)
            return;
        it.core = std::make_unique<relay_fixture>();
        it.core->now = now_;
        it.core->core.routes().confirm(now_);
        place_replicas(it.core->core, data_centres_, now_);
        it.open.clear();
        read(it);
    }

    void set_evacuated(std::size_t n, bool evacuated)
    {
        ++stored_.revision;
        if (!evacuated)
        {
            stored_.data_centres.erase(data_centre(n));
            written_at_.erase(data_centre(n));
        }
        else if (stored_.data_centres.insert(data_centre(n)).second)
            written_at_[data_centre(n)] = now_;
    }

    void set_cut(std::size_t n, bool from_store, bool from_entries)
    {
        entries_[n].cut_from_store = from_store;
        entries_[n].cut_from_entries = from_entries;
    }

    void advance()
    {
        now_ += step;
        for (entry& it : entries_)
        {
            it.core->advance(step);
            if (!it.cut_from_store)
                read(it);
        }
        bool const told = (now_ - time_point{}) % told_again == duration{};
        for (entry& from : entries_)
        {
            for (entry& to : entries_)
            {
                if (told && &from != &to && !from.cut_from_entries &&
                    !to.cut_from_entries)
                    check(
                        to,
                        to.core->core.on_evacuations(
                            from.core->core.evacuated().current(),
                            "entry",
                            now_));
            }
        }
        for (entry& it : entries_)
        {
            it.informed_since = is_informed(it) ? it.informed_since : now_;
            check(it, it.core->core.on_tick(now_));
        }
    }

    void request(std::size_t n, std::string const& target)
    {
        entry& it = entries_[n];
        check(it, it.core->request(++last_request_, target, 3000));
    }

    /// Ends the oldest attempt, so that it is retried or a queued request sent.
    void end_attempt(std::size_t n, bool fails)
    {
        entry& it = entries_[n];
        if (it.open.empty())
            return;
        open_attempt const attempt = it.open.front();
        it.open.erase(it.open.begin());
        relay_core& core = it.core->core;
        if (fails)
            check(
                it,
                core.on_failed(
                    attempt.exchange,
                    attempt.attempt,
                    attempt_progress::sent,
                    "broken",
                    now_));
        else
        {
            check(
                it,
                core.on_head(
                    attempt.exchange,
                    attempt.attempt,
                    test::signed_response(200),
                    now_));
            check(it, core.on_end(attempt.exchange, attempt.attempt, now_));
        }
    }

    [[nodiscard]] std::size_t violations() const { return violations_; }
    [[nodiscard]] std::size_t sent() const { return sent_; }

private:
    struct entry
    {
        std::unique_ptr<relay_fixture> core;
        std::vector<open_attempt> open;
        bool cut_from_store = false;
        bool cut_from_entries = false;
        time_point informed_since{};
    };

    void read(entry& it)
    {
        check(it, it.core->core.on_evacuations(stored_, "store", now_));
    }

    // Another entry in reach of the store tells it.
    [[nodiscard]] bool is_informed(entry const& it) const
    {
        return !it.cut_from_store ||
               (!it.cut_from_entries && std::any_of(
                                            entries_.begin(),
                                            entries_.end(),
                                            [](entry const& other) {
                                                return !other.cut_from_store &&
                                                       !other.cut_from_entries;
                                            }));
    }

    void check(entry& it, actions const& out)
    {
        for (action const& done : out)
        {
            open_attempt const* const sent = std::get_if<open_attempt>(&done);
            if (!sent)
                continue;
            it.open.push_back(*sent);
            ++sent_;
            auto const found = written_at_.find(sent->target.data_centre);
            bool const late = found != written_at_.end() &&
                              now_ - found->second > bound &&
                              now_ - it.informed_since > bound;
            violations_ += late ? 1 : 0;
        }
    }

    std::size_t data_centres_;
    std::vector<entry> entries_;
    evacuations stored_{{}, 1};
    std::map<data_centre_id, time_point> written_at_;
    time_point now_{std::chrono::seconds{100}};
    std::uint64_t last_request_ = 0;
    std::size_t violations_ = 0;
    std::size_t sent_ = 0;
};

} // namespace

// Guards against any path to a replica that ignores evacuations: first sends,
// retries, resumed streams, queued requests, restarted or cut entries.
TEST_CASE("no entry sends to an evacuated data centre after the bound")
{
    std::size_t sent = 0;
    rc::prop(
        "random evacuations, restarts and cuts",
        [&]
        {
            std::size_t const entries = *rc::gen::inRange<std::size_t>(1, 5);
            std::size_t const data_centres =
                *rc::gen::inRange<std::size_t>(2, 4);
            fleet_model fleet{entries, data_centres};
            std::vector<int> const script =
                *rc::gen::container<std::vector<int>>(
                    400, rc::gen::inRange(0, 1000));
            for (int const it : script)
            {
                std::size_t const n = static_cast<std::size_t>(it) % entries;
                std::size_t const which =
                    static_cast<std::size_t>(it / 7) % data_centres;
                if (it % 40 == 0)
                    fleet.set_evacuated(which, it % 3 != 0);
                else if (it % 41 == 0)
                    fleet.restart(n);
                else if (it % 43 == 0)
                    fleet.set_cut(n, it % 2 == 0, it % 3 == 0);
                else if (it % 4 == 0)
                    fleet.end_attempt(n, it % 3 == 0);
                else
                    fleet.request(n, it % 2 == 0 ? "/safe/x" : "/stream/x");
                fleet.advance();
            }
            sent += fleet.sent();
            RC_ASSERT(fleet.violations() == 0U);
        });
    constexpr std::size_t min_sent = 1000;
    CHECK(sent > min_sent);
}

// Guards against requests that wait for replicas which operators have taken out
// of service.
TEST_CASE("requests are rejected at once if all data centres are evacuated")
{
    relay_fixture it;
    REQUIRE(find_action<open_attempt>(it.request(1, "/safe/x", 3000)));
    actions const none =
        it.core.on_evacuations({{data_centre_id{"a"}}, 3}, "store", it.now);
    CHECK_FALSE(find_action<close_attempt>(none));
    std::optional<send_error> const rejected =
        find_action<send_error>(it.request(2, "/safe/x", 3000));
    REQUIRE(rejected);
    CHECK(rejected->code == result_code::no_backend_server);
    CHECK(rejected->state == execution_state::not_run);
    CHECK(rejected->retry_after);
    // The attempt that ran there ends normally.
    actions const head =
        it.core.on_head(1, 1, test::signed_response(200), it.now);
    CHECK(find_action<send_end>(it.core.on_end(1, 1, it.now)));
    // An older read is ignored, the removal is not.
    static_cast<void>(it.core.on_evacuations({{}, 2}, "entry", it.now));
    CHECK(find_action<send_error>(it.request(3, "/safe/x", 3000)));
    static_cast<void>(it.core.on_evacuations({{}, 4}, "entry", it.now));
    CHECK(find_action<open_attempt>(it.request(4, "/safe/x", 3000)));
}

// Guards against a jump of the load to a data centre that returns: its replicas
// may have become cold shortly before, and an entry may not know that yet.
TEST_CASE("a data centre that returns from an evacuation counts as cold")
{
    constexpr double tolerated = 2;
    constexpr std::size_t most = 2 * 8; // two replicas, 1.5 x 2 + 5 each
    relay_fixture it;
    route_configuration next = it.core.routes().table()->configuration();
    next.version += 1;
    next.services.front().cold_start = std::chrono::seconds{3};
    next.services.front().cold_requests_per_second = tolerated;
    it.core.routes().update(next, it.now);
    std::map<backend_server_id, replica> registered;
    for (replica const* known :
         it.core.replicas().usable(service_name{"plain"}))
        registered.emplace(known->id, *known);
    it.core.cold().on_replicas(registered, it.now);
    // Answers what is sent, which may be requests that were queued before.
    std::size_t sent = 0;
    auto const answer = [&](actions pending)
    {
        while (!pending.empty())
        {
            action const done = std::move(pending.back());
            pending.pop_back();
            open_attempt const* const to = std::get_if<open_attempt>(&done);
            if (!to)
                continue;
            ++sent;
            static_cast<void>(it.core.on_head(
                to->exchange, to->attempt, test::signed_response(200), it.now));
            for (action& more :
                 it.core.on_end(to->exchange, to->attempt, it.now))
                pending.push_back(std::move(more));
        }
    };
    auto const sent_in_a_second = [&](std::uint64_t first)
    {
        sent = 0;
        for (std::uint64_t n = first; n < first + 100; ++n)
        {
            it.advance(milliseconds{10});
            answer(it.request(n, "/open/x", 3000));
            answer(it.core.on_tick(it.now));
        }
        return sent;
    };
    static_cast<void>(sent_in_a_second(1000));
    CHECK(sent_in_a_second(2000) == 100);
    data_centre_id const a{"a"};
    static_cast<void>(it.core.on_evacuations({{a}, 2}, "store", it.now));
    CHECK(sent_in_a_second(3000) == 0);
    static_cast<void>(it.core.on_evacuations({{}, 3}, "store", it.now));
    CHECK(sent_in_a_second(4000) <= most);
    static_cast<void>(sent_in_a_second(5000));
    static_cast<void>(sent_in_a_second(6000));
    CHECK(sent_in_a_second(7000) >= 100);
}
