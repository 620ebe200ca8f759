#include <hornbeamweir/idempotency/claim_guard.hpp>

#include <algorithm>

namespace hornbeamweir
{

claim_guard::claim_guard(std::size_t max_claims) noexcept
    : max_claims_{max_claims}
{
}

guard_verdict
claim_guard::check(std::string const& claim, std::uint64_t fence) const
{
    auto const it = states_.find(claim);
    if (it == states_.end())
    {
        return fence <= evicted_fence_ ? guard_verdict::executed
                                       : guard_verdict::admit;
    }
    if (it->second.executed)
        return guard_verdict::executed;
    return fence <= it->second.fence ? guard_verdict::dismissed
                                     : guard_verdict::admit;
}

void claim_guard::mark_executed(std::string const& claim, std::uint64_t fence)
{
    store(claim, {fence, true});
}

void claim_guard::dismiss(std::string const& claim, std::uint64_t fence)
{
    store(claim, {fence, false});
}

guard_verdict claim_guard::dismiss_unless_executed(
    std::string const& claim, std::uint64_t fence)
{
    guard_verdict const verdict = check(claim, fence);
    if (verdict != guard_verdict::admit)
        return verdict;
    dismiss(claim, fence);
    return guard_verdict::dismissed;
}

void claim_guard::store(std::string const& claim, claim_state state)
{
    auto const it = states_.find(claim);
    if (it != states_.end())
    {
        it->second = state;
        return;
    }
    states_.emplace(claim, state);
    insertion_order_.push_back(claim);
    while (insertion_order_.size() > max_claims_)
    {
        auto const oldest = states_.find(insertion_order_.front());
        evicted_fence_ = std::max(evicted_fence_, oldest->second.fence);
        states_.erase(oldest);
        insertion_order_.pop_front();
    }
}

} // namespace hornbeamweir
