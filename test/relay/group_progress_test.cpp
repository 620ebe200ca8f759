#include <hornbeamweir/relay/group_progress.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

using namespace hornbeamweir;
using hornbeamweir::relay::group_progress;
using std::chrono::milliseconds;

namespace
{

constexpr duration max_silence = milliseconds{360};
constexpr std::size_t replicas = 16;
/// Callers leave if nothing arrives for this time.
constexpr duration patience = milliseconds{2000};

backend_server_id replica_name(std::size_t n)
{
    return backend_server_id{"l" + std::to_string(n)};
}

/// \brief An entry that gets a request each 60 ms, and sends it to the next
/// replica that may get one. Streams take 1.4 s, with an event each 50 ms.
struct streaming_entry
{
    struct stream
    {
        backend_server_id replica;
        time_point sent_at{};
        time_point last_event{};
    };

    /// \param works Whether the passes of the group go on.
    void run(duration time, bool works)
    {
        for (time_point const end = now + time; now < end; now += step)
        {
            if (works)
                deliver_events();
            end_streams();
            if (ticks_++ % 6 == 0)
                send();
        }
    }

    group_progress progress{max_silence};
    std::vector<stream> streams;
    /// Times at which requests were sent.
    std::vector<time_point> sent;
    time_point now{std::chrono::seconds{100}};

private:
    static constexpr duration step = milliseconds{10};

    void deliver_events()
    {
        for (stream& it : streams)
        {
            if (now - it.last_event < milliseconds{50})
                continue;
            it.last_event = now;
            progress.on_response(it.replica, now);
        }
    }

    void end_streams()
    {
        for (stream const& it : streams)
        {
            if (has_ended(it))
                progress.on_ended(it.replica, now);
        }
        std::erase_if(
            streams, [this](stream const& it) { return has_ended(it); });
    }

    [[nodiscard]] bool has_ended(stream const& it) const
    {
        bool const is_complete = it.last_event > it.sent_at &&
                                 now - it.sent_at >= milliseconds{1400} &&
                                 it.last_event == now;
        return is_complete || now - it.last_event >= patience;
    }

    void send()
    {
        for (std::size_t n = 0; n < replicas; ++n)
        {
            backend_server_id const replica =
                replica_name((next_ + n) % replicas);
            if (!progress.may_send(replica, now))
                continue;
            next_ += n + 1;
            progress.on_sent(replica, now);
            streams.push_back({replica, now, now});
            sent.push_back(now);
            return;
        }
    }

    std::size_t next_ = 0;
    std::size_t ticks_ = 0;
};

std::ptrdiff_t
sent_between(streaming_entry const& entry, time_point from, time_point to)
{
    return std::count_if(
        entry.sent.begin(),
        entry.sent.end(),
        [&](time_point it) { return it >= from && it < to; });
}

} // namespace

// While a group was stalled for 4 s, entries went on sending. The requests were
// executed when it resumed, after their callers had left.
TEST_CASE("a stalled group gets only single requests", "[relay]")
{
    streaming_entry entry;
    entry.run(milliseconds{3000}, true);
    time_point const stopped_at = entry.now;
    entry.run(milliseconds{5000}, false);
    std::ptrdiff_t const later =
        sent_between(entry, stopped_at + max_silence, entry.now);
    CAPTURE(later);
    // Five entries send fewer requests than there are replicas.
    CHECK(later <= 3);
    CHECK(later >= 1);
}

// With intervals that double without bound, a service would be back only tens
// of seconds after a long outage.
TEST_CASE("requests are permitted soon after a long outage", "[relay]")
{
    streaming_entry entry;
    entry.run(milliseconds{3000}, true);
    entry.run(milliseconds{60'000}, false);
    time_point const resumed_at = entry.now;
    entry.run(milliseconds{2000}, true);
    CHECK(sent_between(entry, resumed_at, entry.now) >= 5);
}

// Replicas that reject requests are not stalled: nothing waits there.
TEST_CASE("replicas that respond with failures get requests", "[relay]")
{
    group_progress progress{max_silence};
    time_point now{std::chrono::seconds{100}};
    progress.on_sent(replica_name(0), now);
    now += max_silence + milliseconds{1};
    progress.on_response(replica_name(0), now);
    progress.on_ended(replica_name(0), now);
    CHECK(progress.may_send(replica_name(1), now));
}

TEST_CASE("a group that resumes gets requests at once", "[relay]")
{
    streaming_entry entry;
    entry.run(milliseconds{3000}, true);
    entry.run(milliseconds{1800}, false);
    time_point const resumed_at = entry.now;
    entry.run(milliseconds{1000}, true);
    CHECK(sent_between(entry, resumed_at, resumed_at + milliseconds{200}) >= 2);
}

// One of several groups of a service may be stalled.
TEST_CASE("a silent replica gets no requests while others respond", "[relay]")
{
    group_progress progress{max_silence};
    time_point now{std::chrono::seconds{100}};
    backend_server_id const silent = replica_name(0);
    backend_server_id const working = replica_name(1);
    progress.on_sent(silent, now);
    progress.on_sent(working, now);
    now += max_silence + milliseconds{1};
    progress.on_response(working, now);
    CHECK_FALSE(progress.may_send(silent, now));
    CHECK(progress.may_send(working, now));
    CHECK(progress.may_send(replica_name(2), now));
    progress.on_response(silent, now);
    CHECK(progress.may_send(silent, now));
}

TEST_CASE("an idle service does not count as stalled", "[relay]")
{
    group_progress progress{max_silence};
    time_point now{std::chrono::seconds{100}};
    progress.on_sent(replica_name(0), now);
    progress.on_response(replica_name(0), now);
    progress.on_ended(replica_name(0), now);
    now += milliseconds{60'000};
    progress.on_sent(replica_name(0), now);
    CHECK(progress.may_send(replica_name(1), now));
}

// A VM was suspended for 5 s, its group for 2 s of them. When the group had
// resumed, entries sent on to the suspended VM's replica, as the attempts that
// had been silent were gone.
TEST_CASE("a replica that was silent gets requests once it is heard", "[relay]")
{
    group_progress progress{max_silence};
    time_point now{std::chrono::seconds{100}};
    backend_server_id const silent = replica_name(0);
    backend_server_id const working = replica_name(1);
    progress.on_sent(silent, now);
    progress.on_sent(working, now);
    now += milliseconds{1200};
    progress.on_response(working, now);
    progress.on_ended(silent, now);
    now += milliseconds{3000};
    progress.on_response(working, now);
    CHECK_FALSE(progress.may_send(silent, now));
    progress.on_serving(silent);
    CHECK(progress.may_send(silent, now));
}

TEST_CASE("a replica that is never heard gets a request again", "[relay]")
{
    group_progress progress{max_silence};
    time_point now{std::chrono::seconds{100}};
    progress.on_sent(replica_name(0), now);
    progress.on_sent(replica_name(1), now);
    now += milliseconds{1200};
    progress.on_response(replica_name(1), now);
    progress.on_ended(replica_name(0), now);
    now += milliseconds{10'000};
    progress.on_response(replica_name(1), now);
    CHECK(progress.may_send(replica_name(0), now));
}
