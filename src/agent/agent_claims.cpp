#include <hornbeamweir/agent/agent_core.hpp>

/// \file
/// \brief Claims and recorded answers of the agent.

namespace hornbeamweir
{

bool agent_core::admit_claim(peer const& from, wire::execute const& request)
{
    guard_verdict const verdict =
        guard_.check(request.claim(), request.claim_fence());
    if (verdict == guard_verdict::admit)
        return true;
    bool const executed = verdict == guard_verdict::executed;
    reject(
        from,
        request,
        executed ? error{result_code::not_recorded, "the answer was dropped"}
                 : error{result_code::fenced, "the claim was dismissed"},
        executed ? execution_state::may_have_run : execution_state::not_run);
    return false;
}

void agent_core::replay(
    peer const& from, wire::execute const& request, execution* known)
{
    // A greater fence belongs to a later claim of the key, which the known
    // execution does not answer.
    if (known != nullptr && request.claim_fence() <= known->fence)
    {
        std::pair<std::string, std::uint32_t> attempt{
            request.request_id(), request.attempt()};
        if (known->attached_attempts.insert(std::move(attempt)).second)
            attach(*known, from, request);
        return;
    }
    bool const same_incarnation = request.agent_incarnation() == incarnation_;
    bool const dismissed =
        known == nullptr && same_incarnation &&
        guard_.dismiss_unless_executed(
            request.claim(), request.claim_fence()) == guard_verdict::dismissed;
    reject(
        from,
        request,
        {result_code::not_recorded,
         same_incarnation ? "no answer is recorded for this key"
                          : "the agent was restarted since this key was used"},
        dismissed ? execution_state::not_run : execution_state::may_have_run);
}

void agent_core::evict_excess_answers()
{
    for (auto it = executions_.begin();
         it != executions_.end() &&
         recorded_bytes_ > settings_.retention_bytes;)
    {
        execution const& run = it->second;
        if (run.running || !run.streams.empty() || run.claim.empty())
        {
            ++it;
            continue;
        }
        it = remove_execution(it);
    }
}

} // namespace hornbeamweir
