#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstddef>

namespace hornbeamweir
{

/// \brief Adaptive limit on the requests that an entry has open at the backend
/// servers of one model or service.
/// \remarks Additive increase, multiplicative decrease on reported queues:
/// D.-M. Chiu, R. Jain, "Analysis of the increase and decrease algorithms for
/// congestion avoidance in computer networks", 1989.
class dispatch_limit
{
public:
    /// \brief Returns whether another request may be sent.
    /// \param open Number of requests that are open now.
    [[nodiscard]] bool allows(std::size_t open) const noexcept;

    /// \brief Called when a request has succeeded.
    /// \param open Number of open requests before it ended, including it.
    void on_success(std::size_t open) noexcept;

    /// \brief Processes the load that the backend servers reported.
    /// \param queued Total number of requests waiting at the backend servers.
    /// \param in_flight Total number of requests there, queued ones included.
    void on_report(
        std::size_t queued, std::size_t in_flight, time_point now) noexcept;

    [[nodiscard]] double limit() const noexcept { return limit_; }

private:
    double limit_ = 64;
    time_point last_decrease_{};
};

} // namespace hornbeamweir
