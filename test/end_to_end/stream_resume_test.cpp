#include "test/support/deployment.hpp"

#include <catch2/catch.hpp>

#include <thread>

namespace
{

constexpr int token_count = 400;
constexpr char const* body =
    R"({"model":"stroke-coach","max_tokens":400,"stream":true,"messages":[]})";

/// Returns the first rank that the entry's log names as chosen, or an empty
/// string.
std::string first_chosen_rank(std::string const& log)
{
    std::string const key = "chosen=";
    std::size_t const at = log.find(key + "rank-");
    if (at == std::string::npos)
        return "";
    std::size_t const begin = at + key.size();
    return log.substr(begin, log.find_first_of(" \n", begin) - begin);
}

} // namespace

TEST_CASE(
    "a stream whose agent is killed resumes without lost or repeated tokens")
{
    test::deployment system{{1, 2, 1, 5}};
    system.apply_first_note();
    test::http_answer answer;
    std::thread caller{
        [&] { answer = system.call(0, "POST", "/v1/chat/completions", body); }};
    std::string rank;
    bool const chosen = test::eventually(
        [&]
        {
            rank = first_chosen_rank(system.log("entry-0"));
            return !rank.empty();
        });
    if (chosen)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds{300});
        system.process("agent-" + rank).kill();
    }
    caller.join();
    REQUIRE(chosen);
    CHECK(answer.status == 200);
    CHECK(answer.whole);
    std::size_t at = 0;
    for (int n = 0; n < token_count && at != std::string::npos; ++n)
    {
        std::string const token = "\"content\":\"t" + std::to_string(n) + " \"";
        std::size_t const next = answer.body.find("\"content\":", at);
        CAPTURE(n);
        REQUIRE(next != std::string::npos);
        REQUIRE(answer.body.compare(next, token.size(), token) == 0);
        at = next + token.size();
    }
    CHECK(answer.body.find("\"content\":", at) == std::string::npos);
    CHECK(answer.body.ends_with("data: [DONE]\n\n"));
    CHECK(system.log("entry-0").find("outcome=failed") != std::string::npos);
}
