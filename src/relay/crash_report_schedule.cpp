#include <hornbeamweir/relay/crash_report_schedule.hpp>

#include <algorithm>
#include <bit>

namespace hornbeamweir::relay
{

namespace
{

using std::chrono::milliseconds;

constexpr duration round_interval = milliseconds{50};
constexpr duration idle_interval = milliseconds{500};
/// Rounds in addition to the logarithm of the number of entries.
constexpr std::uint32_t spare_rounds = 2;

} // namespace

std::vector<process_name> crash_report_schedule::on_tick(
    std::uint64_t revision, std::vector<process_name> others, time_point now)
{
    if (revision != revision_)
    {
        revision_ = revision;
        rounds_left_ = spare_rounds + static_cast<std::uint32_t>(
                                          std::bit_width(others.size()));
    }
    duration const interval = rounds_left_ > 0 ? round_interval : idle_interval;
    if (now - sent_at_ < interval)
        return {};
    sent_at_ = now;
    rounds_left_ -= rounds_left_ > 0 ? 1 : 0;
    std::size_t const n = std::min(fanout, others.size());
    for (std::size_t it = 0; it < n; ++it)
        std::swap(others[it], others[it + random_.below(others.size() - it)]);
    others.resize(n);
    return others;
}

} // namespace hornbeamweir::relay
