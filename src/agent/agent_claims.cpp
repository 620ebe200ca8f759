#include <hornbeamweir/agent/agent_core.hpp>

#include <algorithm>

/// \file
/// \brief Claims and recorded answers of the agent.

namespace hornbeamweir
{

namespace
{

/// Attempts of one claim that are recognized if they arrive again.
constexpr std::size_t max_attached_attempts = 64;

} // namespace

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
        if (remember_attempt(*known, request))
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

// Frames of an earlier attempt that are sent twice do no harm: its entry has
// received its answer.
bool agent_core::remember_attempt(
    execution& target, wire::execute const& request)
{
    attempt_id attempt{request.request_id(), request.attempt()};
    std::deque<attempt_id>& known = target.attached_attempts;
    if (std::find(known.begin(), known.end(), attempt) != known.end())
        return false;
    known.push_back(std::move(attempt));
    if (known.size() > max_attached_attempts)
        known.pop_front();
    return true;
}

void agent_core::add_overhead(execution& target, std::uint64_t bytes) noexcept
{
    target.overhead_bytes += bytes;
    overhead_bytes_ += bytes;
}

void agent_core::evict_excess_answers()
{
    for (auto it = executions_.begin();
         it != executions_.end() &&
         (recorded_bytes_ > settings_.retention_bytes ||
          overhead_bytes_ > max_held_bytes_ / 2);)
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
