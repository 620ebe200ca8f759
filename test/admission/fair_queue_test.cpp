#include <hornbeamweir/admission/fair_queue.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

queued_request request_at(time_point arrived, std::string const& id)
{
    queued_request out;
    out.id = request_id{id};
    out.customer = customer_id{"school"};
    out.priority = 2;
    out.deadline = arrived + milliseconds{1500};
    out.late_after = arrived + milliseconds{200};
    return out;
}

} // namespace

// After an outage of 2 s, those that had waited for its end were served first,
// and made all that followed late too.
TEST_CASE("late requests go behind those that can be on time", "[admission]")
{
    fair_queue queue{random_source{1}};
    time_point now{std::chrono::seconds{100}};
    CHECK_FALSE(queue.push(request_at(now, "late-1"), now));
    CHECK_FALSE(queue.push(request_at(now, "late-2"), now));
    now += milliseconds{1000};
    queue.demote_late(now);
    CHECK_FALSE(queue.push(request_at(now, "new-1"), now));
    CHECK_FALSE(queue.push(request_at(now, "new-2"), now));
    for (char const* const id : {"new-1", "new-2", "late-1", "late-2"})
    {
        std::optional<queued_request> const next = queue.pop(now);
        REQUIRE(next);
        CHECK(next->id == request_id{id});
    }
    CHECK(queue.size() == 0);
}

// The time of an outage counted as the time between two departures, so that for
// seconds after it, requests were rejected for the wait that this foretold.
TEST_CASE("an outage does not lengthen the expected wait", "[admission]")
{
    fair_queue queue{random_source{1}};
    time_point now{std::chrono::seconds{100}};
    CHECK_FALSE(queue.push(request_at(now, "first"), now));
    for (int n = 0; n < 400; ++n)
    {
        now += milliseconds{10};
        queue.on_blocked(now);
    }
    static_cast<void>(queue.pop(now));
    for (int n = 0; n < 4; ++n)
    {
        queued_request item = request_at(now, std::to_string(n));
        item.deadline = now + milliseconds{200};
        CHECK_FALSE(queue.push(item, now));
    }
}
