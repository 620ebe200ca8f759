#include <hornbeamweir/admission/overload_gate.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

queued_request make_request(
    int n,
    std::string const& customer,
    std::uint32_t weight = 1,
    std::uint32_t priority = 1,
    int deadline_s = 100)
{
    return {
        request_id{std::to_string(n)},
        customer_id{customer},
        weight,
        priority,
        time_point{std::chrono::seconds{deadline_s}}};
}

time_point time_at_ms(int ms)
{
    return time_point{std::chrono::milliseconds{ms}};
}

std::string pop_customers(fair_queue& queue, int count)
{
    std::string popped;
    for (int n = 0; n < count; ++n)
    {
        std::optional<queued_request> const next = queue.pop(time_at_ms(n));
        popped += next ? next->customer.str() : "-";
    }
    return popped;
}

} // namespace

TEST_CASE("customers are served in proportion to their weights")
{
    fair_queue queue{random_source{1}};
    for (int n = 0; n < 8; ++n)
    {
        REQUIRE(!queue.push(make_request(n, "a"), time_at_ms(0)));
        REQUIRE(!queue.push(make_request(10 + n, "b", 3), time_at_ms(0)));
    }
    std::string const popped = pop_customers(queue, 8);
    CHECK(std::count(popped.begin(), popped.end(), 'a') == 2);
    CHECK(std::count(popped.begin(), popped.end(), 'b') == 6);
}

TEST_CASE("urgent requests go first, and new customers go before a backlog")
{
    fair_queue queue{random_source{1}};
    for (int n = 0; n < 100; ++n)
        REQUIRE(!queue.push(make_request(n, "f"), time_at_ms(0)));
    CHECK(pop_customers(queue, 5) == "fffff");
    REQUIRE(!queue.push(make_request(200, "n"), time_at_ms(5)));
    REQUIRE(!queue.push(make_request(201, "u", 1, 0), time_at_ms(5)));
    std::string const next = pop_customers(queue, 3);
    CHECK(next.front() == 'u');
    CHECK(next.find('n') != std::string::npos);
}

TEST_CASE("a request that would wait past its deadline is rejected on arrival")
{
    fair_queue queue{random_source{1}};
    for (int n = 0; n < 200; ++n)
        REQUIRE(!queue.push(make_request(n, "f"), time_at_ms(0)));
    // The queue learns its drain rate from departures every 100 ms.
    for (int n = 0; n < 100; ++n)
        static_cast<void>(queue.pop(time_at_ms(100 * n)));
    std::optional<duration> const retry_after =
        queue.push(make_request(300, "f", 1, 1, 12), time_at_ms(10'000));
    REQUIRE(retry_after);
    CHECK(*retry_after >= std::chrono::seconds{1});
    CHECK(!queue.push(make_request(301, "n", 1, 1, 12), time_at_ms(10'000)));
}

TEST_CASE("queued requests expire at their deadline")
{
    fair_queue queue{random_source{1}};
    REQUIRE(!queue.push(make_request(1, "a", 1, 1, 1), time_at_ms(0)));
    REQUIRE(!queue.push(make_request(2, "a", 1, 1, 9), time_at_ms(0)));
    CHECK(queue.expire(time_at_ms(500)).empty());
    std::vector<queued_request> const expired = queue.expire(time_at_ms(1'000));
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().id.str() == "1");
    CHECK(queue.size() == 1);
}

TEST_CASE("retry delays are spread over more than one second")
{
    fair_queue queue{random_source{1}};
    std::set<duration> delays;
    std::map<std::chrono::seconds, int> callers_by_second;
    for (int n = 0; n < 50; ++n)
    {
        duration const retry_after = queue.retry_after();
        delays.insert(retry_after);
        ++callers_by_second[std::chrono::ceil<std::chrono::seconds>(
            retry_after)];
    }
    CHECK(delays.size() > 40);
    // Retry-After is sent in whole seconds.
    for (auto const& [after, callers] : callers_by_second)
        CHECK(callers <= 35);
}

TEST_CASE(
    "the dispatch limit falls on reported queues and rises when it is reached")
{
    dispatch_limit limit;
    double const start = limit.limit();
    limit.on_report(1000, 4, time_at_ms(1'000));
    CHECK(limit.limit() < start);
    double const lower = limit.limit();
    limit.on_report(1000, 4, time_at_ms(1'100));
    CHECK(limit.limit() == lower);
    limit.on_success(3);
    CHECK(limit.limit() == lower);
    limit.on_success(static_cast<std::size_t>(lower));
    CHECK(limit.limit() > lower);
}

TEST_CASE("queued requests are dispatched when open requests end")
{
    overload_gate gate{random_source{1}};
    int open = 0;
    int n = 0;
    while (gate.submit(make_request(n, "a"), time_at_ms(0)).outcome ==
           overload_gate::decision::dispatch)
    {
        ++open;
        ++n;
    }
    CHECK(gate.queued() == 1);
    gate.release(request_id{"0"}, true);
    std::vector<request_id> const dispatched =
        gate.dispatch_next(time_at_ms(1));
    REQUIRE(!dispatched.empty());
    CHECK(dispatched.front().str() == std::to_string(open));
    gate.release(request_id{"none"}, true);
    CHECK(gate.queued() == 0);
}

// Guards against a queue that rejects all requests for ever, since departures
// are measured only while requests depart.
TEST_CASE("a slow period does not close an empty queue")
{
    fair_queue queue{random_source{1}};
    int time = 0;
    for (int n = 0; n < 100; ++n)
    {
        constexpr int slow_ms = 5000;
        static_cast<void>(queue.push(make_request(n, "a"), time_at_ms(time)));
        time += slow_ms;
        static_cast<void>(queue.pop(time_at_ms(time)));
    }
    REQUIRE(queue.size() == 0);
    CHECK_FALSE(queue.push(make_request(200, "a"), time_at_ms(time)));
}
