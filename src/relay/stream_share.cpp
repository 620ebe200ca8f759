#include <hornbeamweir/relay/stream_share.hpp>

#include <algorithm>
#include <cmath>

namespace hornbeamweir::relay
{

namespace
{

/// Entries report their streams at this interval.
constexpr duration report_interval = std::chrono::milliseconds{100};
/// Part of the unused capacity that entries take in one interval; with all of
/// it, they would exceed the capacity before the next reports arrive.
constexpr double gain = 0.5;
/// Part of what it lacks to its equal share by which an entry may grow in one
/// interval although all capacity is used; the others give way as their streams
/// end.
constexpr double growth = 0.125;
/// Part of its equal share by which an entry below it may grow in one interval
/// while some capacity is unused.
constexpr double max_jump = 0.25;

} // namespace

bool stream_share::is_due(time_point now) const noexcept
{
    return now - updated_at_ >= report_interval;
}

void stream_share::update(stream_counts const& counts, time_point now)
{
    updated_at_ = now;
    if (counts.peers.empty())
    {
        maximum_ = counts.capacity;
        return;
    }
    double const entries = static_cast<double>(counts.peers.size() + 1);
    double const equal = static_cast<double>(counts.capacity) / entries;
    double unused = static_cast<double>(counts.capacity) - counts.own;
    for (std::uint32_t const peer : counts.peers)
        unused -= peer;
    double const lacking = equal - counts.own;
    double added = 0;
    if (unused > 0)
        added = std::max(
            gain * unused / entries, std::min(lacking, max_jump * equal));
    else if (lacking < 0)
        // Streams are not cut: the entry gives way as they end.
        added = std::max(unused, lacking);
    if (lacking > 0)
        added = std::max(added, growth * lacking);
    maximum_ = static_cast<std::uint32_t>(
        std::max(0.0, counts.own + std::ceil(added)));
}

} // namespace hornbeamweir::relay
