#pragma once

#include "test/support/claim_simulation.hpp"

namespace test
{

using namespace hornbeamweir;

/// \brief Returns the response of a backend server to a request.
inline std::string answer_for(std::string const& key, std::string const& body)
{
    return "answer to " + key + " " + body;
}

struct claim_simulation::active_request
{
    request_machine machine;
    std::string key;
    /// Response data that was relayed to the caller.
    std::string relayed;
};

struct claim_simulation::entry
{
    std::string name;
    /// Number of crashes so far.
    std::uint64_t generation = 0;
    time_point paused_until{};
    claim_ledger ledger;
    std::map<request_id, active_request> requests;
};

struct claim_simulation::agent
{
    backend_server_id id;
    /// Number of crashes so far.
    std::uint64_t generation = 0;
    std::uint64_t incarnation = 0;
    std::uint64_t previous_incarnation = 0;
    time_point paused_until{};
    duration clock_offset{};
    std::unique_ptr<agent_core> core;
};

template <typename Process>
void claim_simulation::run_on(Process& process, duration delay, task run)
{
    std::uint64_t const generation = process.generation;
    at(now_ + delay,
       [this, &process, generation, run = std::move(run)]
       {
           if (process.generation != generation)
               return;
           if (now_ < process.paused_until)
               run_on(
                   process,
                   process.paused_until - now_ + random_duration(0, 1),
                   run);
           else
               run();
       });
}

} // namespace test
