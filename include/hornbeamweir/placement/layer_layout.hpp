#pragma once

#include <cstdint>
#include <span>
#include <vector>

namespace hornbeamweir
{

/// \brief Replacement of the expert in one slot of a layer.
struct slot_change
{
    std::uint32_t slot = 0;
    std::uint16_t expert = 0;
};

/// \brief Assignment of experts to the slots of one layer, and the resulting
/// time of each rank.
/// \remarks The tokens of an expert are split evenly over its slots. Times are
/// relative to perfect balance, at which each rank takes 1.
class layer_layout
{
public:
    /// \param slots Expert in each slot, ordered by rank.
    /// \param shares Each expert's share of the tokens.
    /// \param speeds Relative speed of each rank.
    layer_layout(
        std::span<std::uint16_t const> slots,
        std::span<double const> shares,
        std::span<double const> speeds);

    [[nodiscard]] std::vector<std::uint16_t> const& slots() const noexcept;
    [[nodiscard]] std::vector<double> const& times() const noexcept;
    [[nodiscard]] std::uint32_t slots_per_rank() const noexcept;
    [[nodiscard]] std::uint32_t rank_of(std::uint32_t slot) const noexcept;
    [[nodiscard]] std::size_t experts() const noexcept;
    [[nodiscard]] std::size_t replicas(std::uint16_t expert) const;
    [[nodiscard]] bool holds(std::uint32_t rank, std::uint16_t expert) const;
    [[nodiscard]] std::uint32_t slowest_rank() const;

    [[nodiscard]] double slowest_time() const;

    /// \brief Returns the ratio of the slowest rank's time to the mean.
    [[nodiscard]] double skew() const;

    /// \brief Returns by how much changes reduce the sum over ranks of the
    /// squared excess of their times over a target.
    /// \returns A negative number if the changes increase the sum.
    [[nodiscard]] double
    excess_reduction(std::span<slot_change const> changes, double target);

    void apply(std::span<slot_change const> changes);

private:
    void add_time_delta(std::uint32_t rank, double load);
    void accumulate_deltas(std::span<slot_change const> changes);
    void add_replica_change(std::uint16_t expert, int change);
    [[nodiscard]] double load_per_replica_after(std::uint16_t expert) const;
    void clear_scratch() noexcept;

    std::vector<std::uint16_t> slots_;
    std::vector<double> loads_;
    std::vector<double> speeds_;
    std::vector<double> times_;
    std::vector<std::vector<std::uint32_t>> slots_by_expert_;
    std::uint32_t slots_per_rank_ = 1;
    // Scratch space of accumulate_deltas().
    std::vector<double> time_deltas_;
    std::vector<std::uint32_t> changed_ranks_;
    std::vector<int> replica_changes_;
    std::vector<std::uint16_t> changed_experts_;
};

} // namespace hornbeamweir
