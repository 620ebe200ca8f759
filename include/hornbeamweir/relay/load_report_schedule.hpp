#pragma once

#include <hornbeamweir/relay/replica_load_tracker.hpp>

namespace hornbeamweir
{

/// \brief Decides when an entry reports its open requests to the other entries.
/// \remarks Sans-I/O. Answers many entries that each start few requests: until
/// a start is reported, all others take its replica for less loaded than it is,
/// and choose the same one. Starts are therefore reported at once, ends later.
class load_report_schedule
{
public:
    [[nodiscard]] bool
    is_due(replica_load_tracker const& loads, time_point now) const noexcept;
    void
    on_reported(replica_load_tracker const& loads, time_point now) noexcept;

private:
    std::uint64_t reported_started_ = 0;
    std::uint64_t reported_ended_ = 0;
    time_point reported_at_{};
};

} // namespace hornbeamweir
