#pragma once

#include <hornbeamweir/core/time.hpp>

namespace hornbeamweir
{

/// \brief Tells refused callers when to come back, each at its own time.
/// \remarks Answers the pattern of many callers that are refused in the same
/// moment: a return is booked for each at the pace at which places become
/// free, so that it finds one.
class return_schedule
{
public:
    /// \brief Books a return.
    /// \param earliest Time before which a return makes no sense.
    /// \param per_second Places that become free in a second.
    /// \returns Time to wait, at most a minute.
    [[nodiscard]] duration
    book(duration earliest, double per_second, time_point now) noexcept;

private:
    time_point booked_until_{};
};

} // namespace hornbeamweir
