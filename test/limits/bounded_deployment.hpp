#pragma once

#include "test/support/deployment.hpp"

#include <catch2/catch.hpp>

#include <string>

namespace test
{

constexpr std::size_t megabyte = 1'000'000;
constexpr std::size_t memory_mb = 96;
constexpr std::size_t low_descriptors = 256;
constexpr std::size_t over_descriptors = 300;
constexpr char const* completions = "/v1/chat/completions";
constexpr char const* award = "/services/badges/award";
constexpr char const* entry = "entry-0";
constexpr char const* agent = "agent-badges-0";

/// \brief Returns the header of a request of a caller, up to the last field.
inline std::string request_head(std::string const& target)
{
    return "POST " + target + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " +
           deployment::token + "\r\n";
}

/// \brief A small deployment whose processes have little memory.
struct bounded_deployment
{
    /// \param max_descriptors RLIMIT_NOFILE; 0 for that of the test.
    /// \param crowd_limits Limits of the crowd's customer, in the syntax of a
    /// release note; if given, another customer asks.
    explicit bounded_deployment(
        std::size_t max_descriptors = 0, std::string const& crowd_limits = "")
        : system{sizes_with(max_descriptors)}
        , token{
              crowd_limits.empty() ? deployment::token
                                   : deployment::other_token}
    {
        system.apply_first_note(crowd_limits);
    }

    static deployment::sizes sizes_with(std::size_t max_descriptors)
    {
        deployment::sizes out{1, 1, 1, 5};
        constexpr int long_timeout_ms = 120'000;
        out.read_timeout_ms = long_timeout_ms;
        out.more_settings =
            "limits: {memory_mb: " + std::to_string(memory_mb) + "}\n";
        out.max_descriptors = max_descriptors;
        return out;
    }

    /// \brief Asks a rank and a service, and checks the bounds of a process.
    void check_serves(char const* process)
    {
        check_rank_serves(process);
        CHECK(ask(award, "{}").status == 200);
        check_within(process);
    }

    /// \brief Asks a rank, and checks the bounds of a process.
    void check_rank_serves(char const* process)
    {
        CHECK(
            ask(completions, R"({"model":"stroke-coach","max_tokens":2})")
                .status == 200);
        check_within(process);
    }

    [[nodiscard]] http_answer
    ask(std::string const& target, std::string const& body) const
    {
        return system.call(
            0,
            "POST",
            target,
            body,
            {{"Authorization", std::string{"Bearer "} + token}});
    }

    void check_within(char const* process)
    {
        REQUIRE(system.process(process).is_alive());
        CHECK(
            system.process(process).peak_resident_bytes() / megabyte <=
            memory_mb);
    }

    deployment system;
    /// Of the customer that asks.
    char const* token;
};

} // namespace test
