#include <hornbeamweir/admission/overload_gate.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

queued_request item(
    int n,
    std::string const& who,
    std::uint32_t weight = 1,
    std::uint32_t priority = 1,
    int deadline_s = 100)
{
    return {
        request_id{std::to_string(n)},
        customer_id{who},
        weight,
        priority,
        time_point{std::chrono::seconds{deadline_s}}};
}

time_point at(int ms)
{
    return time_point{std::chrono::milliseconds{ms}};
}

std::string order(fair_queue& queue, int n)
{
    std::string text;
    for (int it = 0; it < n; ++it)
    {
        std::optional<queued_request> const next = queue.pop(at(it));
        text += next ? next->customer.str() : "-";
    }
    return text;
}

} // namespace

TEST_CASE("customers take turns by their weight")
{
    fair_queue queue{random_source{1}};
    for (int n = 0; n < 8; ++n)
    {
        REQUIRE(!queue.push(item(n, "a"), at(0)));
        REQUIRE(!queue.push(item(10 + n, "b", 3), at(0)));
    }
    std::string const text = order(queue, 8);
    CHECK(std::count(text.begin(), text.end(), 'a') == 2);
    CHECK(std::count(text.begin(), text.end(), 'b') == 6);
}

TEST_CASE("a newcomer goes before a flood, an urgent request before both")
{
    fair_queue queue{random_source{1}};
    for (int n = 0; n < 100; ++n)
        REQUIRE(!queue.push(item(n, "f"), at(0)));
    CHECK(order(queue, 5) == "fffff");
    REQUIRE(!queue.push(item(200, "n"), at(5)));
    REQUIRE(!queue.push(item(201, "u", 1, 0), at(5)));
    std::string const next = order(queue, 3);
    CHECK(next.front() == 'u');
    CHECK(next.find('n') != std::string::npos);
}

TEST_CASE("a request that would wait past its deadline is refused at once")
{
    fair_queue queue{random_source{1}};
    for (int n = 0; n < 200; ++n)
        REQUIRE(!queue.push(item(n, "f"), at(0)));
    // Departures every 100 ms teach the queue its rate.
    for (int n = 0; n < 100; ++n)
        static_cast<void>(queue.pop(at(100 * n)));
    std::optional<duration> const refused =
        queue.push(item(300, "f", 1, 1, 12), at(10'000));
    REQUIRE(refused);
    CHECK(*refused >= std::chrono::seconds{1});
    CHECK(!queue.push(item(301, "n", 1, 1, 12), at(10'000)));
}

TEST_CASE("waiting requests are given up as soon as they are late")
{
    fair_queue queue{random_source{1}};
    REQUIRE(!queue.push(item(1, "a", 1, 1, 1), at(0)));
    REQUIRE(!queue.push(item(2, "a", 1, 1, 9), at(0)));
    CHECK(queue.expire(at(500)).empty());
    std::vector<queued_request> const late = queue.expire(at(1'000));
    REQUIRE(late.size() == 1);
    CHECK(late.front().id.str() == "1");
    CHECK(queue.size() == 1);
}

TEST_CASE("retries are spread")
{
    fair_queue queue{random_source{1}};
    std::set<duration> times;
    std::map<std::chrono::seconds, int> told;
    for (int n = 0; n < 50; ++n)
    {
        duration const chosen = queue.retry_after();
        times.insert(chosen);
        ++told[std::chrono::ceil<std::chrono::seconds>(chosen)];
    }
    CHECK(times.size() > 40);
    // Callers are told whole seconds.
    for (auto const& [after, callers] : told)
        CHECK(callers <= 35);
}

TEST_CASE("the dispatch limit falls on queues and rises on use")
{
    dispatch_limit limit;
    double const start = limit.limit();
    limit.on_report(1000, 4, at(1'000));
    CHECK(limit.limit() < start);
    double const lower = limit.limit();
    limit.on_report(1000, 4, at(1'100));
    CHECK(limit.limit() == lower);
    limit.on_success(3);
    CHECK(limit.limit() == lower);
    limit.on_success(static_cast<std::size_t>(lower));
    CHECK(limit.limit() > lower);
}

TEST_CASE("a gate lets waiting requests through when others leave")
{
    overload_gate gate{random_source{1}};
    int passed = 0;
    int n = 0;
    while (gate.enter(item(n, "a"), at(0)).what == overload_gate::verdict::pass)
    {
        ++passed;
        ++n;
    }
    CHECK(gate.waiting() == 1);
    gate.leave(request_id{"0"}, true);
    std::vector<request_id> const turns = gate.next(at(1));
    REQUIRE(!turns.empty());
    CHECK(turns.front().str() == std::to_string(passed));
    gate.leave(request_id{"none"}, true);
    CHECK(gate.waiting() == 0);
}
