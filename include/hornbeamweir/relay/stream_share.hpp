#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <vector>

namespace hornbeamweir::relay
{

/// \brief Open streams of a service, as one entry knows them.
struct stream_counts
{
    std::uint32_t own = 0;
    /// Streams of each other entry, from its last report.
    std::vector<std::uint32_t> peers;
    /// Maximum number of streams of all entries.
    std::uint32_t capacity = 0;
};

/// \brief Share of the streams of a service that one entry may have open.
/// \remarks Entries learn each other's streams only from reports. If each used
/// all capacity that seems free, all would use the same, and exceed it many
/// times over. Of unused capacity each entry therefore takes an equal part in
/// each interval. An entry below its equal share grows also if none is unused,
/// so that no entry is starved by those that were there first.
class stream_share
{
public:
    /// \brief Whether the share should be computed anew from recent reports.
    [[nodiscard]] bool is_due(time_point now) const noexcept;
    void update(stream_counts const& counts, time_point now);
    /// \brief Maximum number of streams of this entry.
    [[nodiscard]] std::uint32_t maximum() const noexcept { return maximum_; }

private:
    std::uint32_t maximum_ = 0;
    time_point updated_at_{};
};

} // namespace hornbeamweir::relay
