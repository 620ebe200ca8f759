#include <hornbeamweir/admission/admission_controller.hpp>
#include <hornbeamweir/admission/return_schedule.hpp>

#include <catch2/catch.hpp>

#include <queue>
#include <tuple>

using namespace hornbeamweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

/// Callers that are refused wait for whole seconds, as told, and return.
class flood
{
public:
    flood(customer who, duration service_time)
        : who_{std::move(who)}
        , service_time_{service_time}
    {
    }

    /// \returns Refusals of a number of calls that come at once.
    [[nodiscard]] std::size_t refusals_of(std::size_t calls)
    {
        for (std::size_t n = 0; n < calls; ++n)
            push(time_point{seconds{100}}, kind::arrival);
        std::size_t refused = 0;
        while (!events_.empty())
        {
            event const next = events_.top();
            events_.pop();
            if (next.what == kind::end)
                controller_.release(who_.id, service_time_);
            else if (!arrive(next.at))
                ++refused;
        }
        return refused;
    }

private:
    enum class kind
    {
        end,
        arrival
    };

    struct event
    {
        time_point at;
        std::uint64_t sequence = 0;
        kind what = kind::end;

        [[nodiscard]] friend bool operator<(event const& lhs, event const& rhs)
        {
            return std::tuple{lhs.at, lhs.what, lhs.sequence} >
                   std::tuple{rhs.at, rhs.what, rhs.sequence};
        }
    };

    bool arrive(time_point now)
    {
        tl::expected<void, admission_refusal> const admitted =
            controller_.admit(who_, 1, 1, now);
        if (admitted)
        {
            push(now + service_time_, kind::end);
            return true;
        }
        push(
            now + std::chrono::ceil<seconds>(admitted.error().retry_after),
            kind::arrival);
        return false;
    }

    void push(time_point at, kind what)
    {
        events_.push({at, sequence_++, what});
    }

    customer who_;
    duration service_time_;
    admission_controller controller_;
    std::priority_queue<event> events_;
    std::uint64_t sequence_ = 0;
};

customer limited(std::uint32_t concurrency, double rate, std::uint32_t burst)
{
    customer who;
    who.id = customer_id{"pool"};
    who.concurrency = concurrency;
    who.requests_per_second = rate;
    who.burst = burst;
    return who;
}

} // namespace

TEST_CASE("returns are booked one after the other")
{
    return_schedule schedule;
    time_point const now{seconds{1}};
    struct row
    {
        int after_ms;
        int expected_ms;
    };
    constexpr std::array<row, 5> rows{
        {{0, 1000}, {0, 1100}, {100, 1100}, {2000, 1000}, {2000, 1100}}};
    for (row const& it : rows)
    {
        CAPTURE(it.after_ms, it.expected_ms);
        CHECK(
            schedule.book(
                seconds{1}, 10 / 0.9, now + milliseconds{it.after_ms}) ==
            milliseconds{it.expected_ms});
    }
}

TEST_CASE("no return is booked for later than a minute")
{
    return_schedule schedule;
    duration longest{};
    for (int n = 0; n < 100; ++n)
    {
        longest = std::max(
            longest, schedule.book(seconds{1}, 0, time_point{seconds{1}}));
    }
    CHECK(longest == std::chrono::minutes{1});
}

TEST_CASE("calls beyond the concurrency limit are refused once at most")
{
    constexpr std::size_t calls = 400;
    constexpr std::uint32_t places = 67;
    for (int const service_ms : {200, 800, 1000})
    {
        CAPTURE(service_ms);
        flood load{limited(places, 100000, 100000), milliseconds{service_ms}};
        CHECK(load.refusals_of(calls) <= calls - places);
    }
}

TEST_CASE("returns follow how long the customer's requests take")
{
    constexpr std::size_t calls = 400;
    constexpr std::uint32_t places = 67;
    flood load{limited(places, 100000, 100000), milliseconds{2500}};
    // Calls of the first round are refused before any has ended.
    CHECK(load.refusals_of(calls) <= 2 * (calls - places));
}

TEST_CASE("calls beyond the rate are refused once at most")
{
    constexpr std::size_t calls = 400;
    flood load{limited(100000, 50, 50), milliseconds{10}};
    CHECK(load.refusals_of(calls) <= calls - 50);
}
