#include "test/support/relay_fixture.hpp"

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using test::find_action;
using test::relay_fixture;
using test::signed_response;

namespace
{

/// \brief Two streams at different replicas, of which the second one gets an
/// event each 100 ms.
struct two_streams
{
    two_streams()
    {
        first = start(1);
        for (std::uint64_t n = 2; second.exchange == 0; ++n)
        {
            open_attempt const sent = start(n);
            if (sent.target.id != first.target.id)
                second = sent;
        }
    }

    open_attempt start(std::uint64_t number)
    {
        std::optional<open_attempt> const sent = find_action<open_attempt>(
            fixture.request(number, "/stream/x", 3900));
        REQUIRE(sent);
        static_cast<void>(fixture.core.on_head(
            number, sent->attempt, signed_response(200), fixture.now));
        static_cast<void>(fixture.core.on_data(
            number, sent->attempt, "id: 1\ndata: x\n\n", fixture.now));
        return *sent;
    }

    /// \brief Runs for a time.
    /// \param first_bytes What the first stream gets each 100 ms.
    /// \returns All actions for the first stream.
    actions run(milliseconds time, std::string const& first_bytes)
    {
        actions out;
        for (milliseconds passed{0}; passed < time; passed += milliseconds{100})
        {
            fixture.advance(milliseconds{100});
            ++events;
            static_cast<void>(fixture.core.on_data(
                second.exchange,
                second.attempt,
                "id: " + std::to_string(events) + "\ndata: x\n\n",
                fixture.now));
            if (!first_bytes.empty())
                append(
                    out,
                    fixture.core.on_data(
                        first.exchange,
                        first.attempt,
                        first_bytes,
                        fixture.now));
            append(out, fixture.core.on_tick(fixture.now));
        }
        return out;
    }

    static void append(actions& to, actions const& from)
    {
        to.insert(to.end(), from.begin(), from.end());
    }

    relay_fixture fixture;
    open_attempt first;
    open_attempt second;
    int events = 1;
};

} // namespace

TEST_CASE("a stalled stream that drips bytes is resumed elsewhere")
{
    two_streams streams;
    actions const out = streams.run(milliseconds{1200}, "x");
    std::optional<open_attempt> const resumed = find_action<open_attempt>(out);
    REQUIRE(resumed);
    CHECK(resumed->exchange == streams.first.exchange);
    CHECK(resumed->target.id != streams.first.target.id);
    CHECK(resumed->resume_after == 1U);
}

TEST_CASE("a slow stream is not cut if no other replica can take it")
{
    two_streams streams;
    streams.fixture.core.loads().on_peer_load(
        process_name{"other"},
        {{streams.second.target.id, 20}},
        streams.fixture.now + std::chrono::seconds{10});
    actions const out = streams.run(milliseconds{2500}, "");
    CHECK_FALSE(find_action<close_attempt>(out));
    CHECK_FALSE(find_action<abort_response>(out));
    // Its next event still reaches the caller.
    actions const late = streams.fixture.core.on_data(
        streams.first.exchange,
        streams.first.attempt,
        "id: 2\ndata: x\n\n",
        streams.fixture.now);
    CHECK(find_action<send_data>(late));
}

TEST_CASE("a stream with an event now and then is not moved")
{
    two_streams streams;
    for (int n = 2; n < 5; ++n)
    {
        actions const out = streams.run(milliseconds{700}, "");
        CHECK_FALSE(find_action<close_attempt>(out));
        static_cast<void>(streams.fixture.core.on_data(
            streams.first.exchange,
            streams.first.attempt,
            "id: " + std::to_string(n) + "\ndata: x\n\n",
            streams.fixture.now));
    }
}

TEST_CASE("an event without end is not buffered without end", "[relay]")
{
    relay_fixture fixture;
    std::optional<open_attempt> const sent =
        find_action<open_attempt>(fixture.request(1, "/stream/x", 3900));
    REQUIRE(sent);
    static_cast<void>(fixture.core.on_head(
        1, sent->attempt, signed_response(200), fixture.now));
    constexpr std::size_t chunk = std::size_t{16} * 1024;
    constexpr std::size_t most = 2 * event_splitter::max_partial_size;
    std::size_t received = 0;
    std::optional<close_attempt> closed;
    while (!closed && received < most)
    {
        received += chunk;
        closed = find_action<close_attempt>(fixture.core.on_data(
            1, sent->attempt, std::string(chunk, 'x'), fixture.now));
    }
    CHECK(closed);
}
