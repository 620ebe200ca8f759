#include <hornbeamweir/admission/admission_controller.hpp>
#include <hornbeamweir/admission/retry_after_schedule.hpp>

#include <catch2/catch.hpp>

#include <queue>
#include <tuple>

using namespace hornbeamweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Simulated callers that retry after the time that they are told, rounded up
/// to whole seconds.
class retrying_callers
{
public:
    retrying_callers(customer settings, duration service_time)
        : customer_{std::move(settings)}
        , service_time_{service_time}
    {
    }

    /// Starts a number of calls at once, and runs until all are served.
    /// \returns How often a call was rejected.
    [[nodiscard]] std::size_t count_rejections(std::size_t calls)
    {
        for (std::size_t n = 0; n < calls; ++n)
            push(time_point{seconds{100}}, event_kind::arrival);
        std::size_t rejected = 0;
        while (!events_.empty())
        {
            event const next = events_.top();
            events_.pop();
            if (next.kind == event_kind::end)
                controller_.release(customer_.id, service_time_);
            else if (!arrive(next.at))
                ++rejected;
        }
        return rejected;
    }

private:
    enum class event_kind
    {
        end,
        arrival
    };

    struct event
    {
        time_point at;
        std::uint64_t sequence = 0;
        event_kind kind = event_kind::end;

        [[nodiscard]] friend bool operator<(event const& lhs, event const& rhs)
        {
            return std::tuple{lhs.at, lhs.kind, lhs.sequence} >
                   std::tuple{rhs.at, rhs.kind, rhs.sequence};
        }
    };

    bool arrive(time_point now)
    {
        tl::expected<void, admission_refusal> const admitted =
            controller_.admit(customer_, 1, 1, now);
        if (admitted)
        {
            push(now + service_time_, event_kind::end);
            return true;
        }
        push(
            now + std::chrono::ceil<seconds>(admitted.error().retry_after),
            event_kind::arrival);
        return false;
    }

    void push(time_point at, event_kind kind)
    {
        events_.push({at, sequence_++, kind});
    }

    customer customer_;
    duration service_time_;
    admission_controller controller_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
};

customer
make_customer(std::uint32_t concurrency, double rate, std::uint32_t burst)
{
    customer out;
    out.id = customer_id{"pool"};
    out.concurrency = concurrency;
    out.requests_per_second = rate;
    out.burst = burst;
    return out;
}

} // namespace

TEST_CASE("retries are scheduled one after the other")
{
    retry_after_schedule schedule;
    time_point const now{seconds{1}};
    struct row
    {
        int elapsed_ms;
        int expected_ms;
    };
    constexpr std::array<row, 5> rows{
        {{0, 1000}, {0, 1100}, {100, 1100}, {2000, 1000}, {2000, 1100}}};
    for (row const& it : rows)
    {
        CAPTURE(it.elapsed_ms, it.expected_ms);
        CHECK(
            schedule.reserve(
                seconds{1}, 10 / 0.9, now + milliseconds{it.elapsed_ms}) ==
            milliseconds{it.expected_ms});
    }
}

TEST_CASE("no retry is scheduled for later than a minute")
{
    retry_after_schedule schedule;
    duration longest{};
    for (int n = 0; n < 100; ++n)
    {
        longest = std::max(
            longest, schedule.reserve(seconds{1}, 0, time_point{seconds{1}}));
    }
    CHECK(longest == std::chrono::minutes{1});
}

TEST_CASE("calls beyond the concurrency limit are rejected at most once")
{
    constexpr std::size_t calls = 400;
    constexpr std::uint32_t slots = 67;
    for (int const service_ms : {200, 800, 1000})
    {
        CAPTURE(service_ms);
        retrying_callers callers{
            make_customer(slots, 100000, 100000), milliseconds{service_ms}};
        CHECK(callers.count_rejections(calls) <= calls - slots);
    }
}

TEST_CASE("retries follow the service time of the customer's requests")
{
    constexpr std::size_t calls = 400;
    constexpr std::uint32_t slots = 67;
    retrying_callers callers{
        make_customer(slots, 100000, 100000), milliseconds{2500}};
    // The first calls are rejected before any request has ended, so their
    // retries are scheduled too early for this service time.
    CHECK(callers.count_rejections(calls) <= 2 * (calls - slots));
}

TEST_CASE("calls beyond the rate limit are rejected at most once")
{
    constexpr std::size_t calls = 400;
    retrying_callers callers{make_customer(100000, 50, 50), milliseconds{10}};
    CHECK(callers.count_rejections(calls) <= calls - 50);
}
