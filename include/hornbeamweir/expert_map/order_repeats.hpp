#pragma once

#include <cstdint>

namespace hornbeamweir
{

/// \brief Decides which orders an agent gives to its rank once more, because
/// the rank left them unanswered.
/// \remarks Sans-I/O. Answers engines that leave a part of the orders
/// unanswered: a group may stand until an order is carried out, and the
/// coordinator repeats it only after several times the response time. To carry
/// out an order twice has no effect as long as no other one came in between.
class order_repeats
{
public:
    /// Times that an order is given to the rank, before its state is reported
    /// without the effect of the order.
    static constexpr int max_attempts = 4;

    /// \brief Records an order of the coordinator.
    /// \returns Its number.
    [[nodiscard]] std::uint64_t on_received() noexcept { return ++newest_; }

    /// \param attempts Times that the order was given to the rank so far.
    [[nodiscard]] bool is_due(std::uint64_t number, int attempts) const noexcept
    {
        return number == newest_ && attempts < max_attempts;
    }

private:
    std::uint64_t newest_ = 0;
};

} // namespace hornbeamweir
