#pragma once

#include <hornbeamweir/peers/datagram_link.hpp>

namespace hornbeamweir
{

/// \brief The coordinator to which an agent reports: the one with the highest
/// fencing token of those that have sent heartbeats recently.
class coordinator_contact
{
public:
    using endpoint = datagram_link::endpoint;

    /// \brief Whether a heartbeat comes from a coordinator that has been
    /// replaced and has not noticed yet.
    [[nodiscard]] bool is_replaced(std::uint64_t fence, time_point now) const
    {
        return fence < fence_ && is_reachable(now);
    }

    /// \returns Whether the coordinator is another one than before.
    bool on_heartbeat(endpoint const& from, std::uint64_t fence, time_point now)
    {
        bool const is_new = from != address_ || fence != fence_;
        address_ = from;
        fence_ = fence;
        last_heartbeat_at_ = now;
        return is_new;
    }

    /// \brief Whether a coordinator has sent a heartbeat recently.
    [[nodiscard]] bool is_reachable(time_point now) const
    {
        constexpr duration timeout = std::chrono::milliseconds{1500};
        return now - last_heartbeat_at_ <= timeout;
    }

    [[nodiscard]] endpoint const& address() const noexcept { return address_; }

private:
    endpoint address_;
    std::uint64_t fence_ = 0;
    time_point last_heartbeat_at_{};
};

} // namespace hornbeamweir
