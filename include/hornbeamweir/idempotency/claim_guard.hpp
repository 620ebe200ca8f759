#pragma once

#include <hornbeamweir/core/enum_table.hpp>

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace hornbeamweir
{

/// \brief Whether an agent may execute a claim.
enum class guard_verdict
{
    /// The claim was not executed under any fencing token (fence), and may be
    /// executed under this one.
    admit,
    /// The claim was not executed, and executions under this fence are ruled
    /// out.
    dismissed,
    /// The claim was executed, or may have been.
    executed
};

template <>
struct enum_table<guard_verdict>
{
    static constexpr std::array<enum_name<guard_verdict>, 3> rows{
        {{guard_verdict::admit, "admit"},
         {guard_verdict::dismissed, "dismissed"},
         {guard_verdict::executed, "executed"}}};
};

/// \brief Ensures that an incarnation of an agent executes each claim at most
/// once.
/// \remarks Fences are platform revisions and thus order the claims of all
/// keys. When more than max_claims claims are tracked, the oldest are evicted;
/// an untracked claim counts as executed if its fence is not greater than the
/// greatest evicted one.
class claim_guard
{
public:
    explicit claim_guard(std::size_t max_claims) noexcept;

    /// \brief Returns whether an attempt under this fence may be executed.
    [[nodiscard]] guard_verdict
    check(std::string const& claim, std::uint64_t fence) const;

    /// \brief Records that the execution of a claim starts.
    void mark_executed(std::string const& claim, std::uint64_t fence);

    /// \brief Rules out executions of a claim up to a fence.
    /// \remarks The claim must not have been executed.
    void dismiss(std::string const& claim, std::uint64_t fence);

    /// \brief Rules out executions of a claim up to a fence, unless it was or
    /// may have been executed.
    /// \returns guard_verdict::dismissed or guard_verdict::executed.
    [[nodiscard]] guard_verdict
    dismiss_unless_executed(std::string const& claim, std::uint64_t fence);

    /// \brief Number of tracked claims.
    [[nodiscard]] std::size_t size() const noexcept { return states_.size(); }

private:
    struct claim_state
    {
        std::uint64_t fence = 0;
        bool executed = false;
    };

    void store(std::string const& claim, claim_state state);

    std::size_t max_claims_;
    std::map<std::string, claim_state> states_;
    /// Tracked claims, oldest first.
    std::deque<std::string> insertion_order_;
    /// Greatest fence of the evicted claims.
    std::uint64_t evicted_fence_ = 0;
};

} // namespace hornbeamweir
