#include "test/support/deployment.hpp"

#include <catch2/catch.hpp>

#include <thread>

using test::deployment;
using test::http_answer;

namespace
{

constexpr char const* plain_body =
    R"({"model":"stroke-coach","max_tokens":8,"messages":[]})";
constexpr char const* streamed_body =
    R"({"model":"stroke-coach","max_tokens":40,"stream":true,"messages":[]})";

std::size_t count(std::string const& text, std::string const& needle)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(needle); at != std::string::npos;
         at = text.find(needle, at + needle.size()))
        ++n;
    return n;
}

} // namespace

TEST_CASE("requests are served through entry and agent")
{
    deployment system{{}};
    system.apply_first_note();

    SECTION("a response in one piece")
    {
        http_answer const answer =
            system.call(0, "POST", "/v1/chat/completions", plain_body);
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(answer.body.find("t0 t1 t2 t3 t4 t5 t6 t7") != std::string::npos);
    }
    SECTION("a streamed response")
    {
        http_answer const answer =
            system.call(1, "POST", "/v1/chat/completions", streamed_body);
        CHECK(answer.status == 200);
        CHECK(answer.whole);
        CHECK(count(answer.body, "data: {") == 40);
        CHECK(answer.body.ends_with("data: [DONE]\n\n"));
    }
    SECTION("a badge award, retried at the other entry")
    {
        hornbeamweir::header_list const key{{"Idempotency-Key", "award-1"}};
        http_answer const first =
            system.call(0, "POST", "/services/badges/award", "{}", key);
        http_answer const second =
            system.call(1, "POST", "/services/badges/award", "{}", key);
        CHECK(first.status == 200);
        CHECK(second.status == 200);
        CHECK(first.body == second.body);
        CHECK(system.executions("award-1") == 1);

        http_answer const reused =
            system.call(1, "POST", "/services/badges/award", "{1}", key);
        CHECK(reused.status == 422);
        CHECK(system.executions("award-1") == 1);
    }
    SECTION("the models are listed")
    {
        http_answer const answer = system.call(0, "GET", "/v1/models", "");
        CHECK(answer.status == 200);
        CHECK(answer.body.find("stroke-coach") != std::string::npos);
    }
}

TEST_CASE("an agent killed during execution causes no second execution")
{
    deployment system{{1, 1, 1, 5}};
    system.apply_first_note();
    http_answer answer;
    std::thread caller{[&]
                       {
                           answer = system.call(
                               0,
                               "POST",
                               "/services/badges/award",
                               "{}",
                               {{"Idempotency-Key", "award-2"},
                                {"X-Standin-Delay-Ms", "700"}});
                       }};
    REQUIRE(
        test::eventually([&] { return system.executions("award-2") == 1; }));
    system.process("agent-badges-0").kill();
    system.start_agent("badges-0");
    caller.join();
    CHECK(answer.status == 502);
    CHECK(answer.body.find("may have run") != std::string::npos);
    CHECK(system.executions("award-2") == 1);
}

TEST_CASE("a retry after an entry crash does not execute the request again")
{
    deployment system{{2, 1, 1, 5}};
    system.apply_first_note();
    hornbeamweir::header_list const key{
        {"Idempotency-Key", "order-1"}, {"X-Standin-Delay-Ms", "700"}};
    std::thread caller{[&]
                       {
                           static_cast<void>(system.call(
                               0, "POST", "/services/badges/order", "{}", key));
                       }};
    REQUIRE(
        test::eventually([&] { return system.executions("order-1") == 1; }));
    system.process("entry-0").kill();
    caller.join();
    http_answer const repeated =
        system.call(1, "POST", "/services/badges/order", "{}", key);
    CHECK(repeated.status == 200);
    CHECK(system.executions("order-1") == 1);
}
