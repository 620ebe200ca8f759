#include <hornbeamweir/relay/retry_after_planner.hpp>

#include <algorithm>
#include <array>

namespace hornbeamweir::relay
{

namespace
{

struct retry_window
{
    rejection_reason reason;
    duration earliest;
    duration latest;
};

using std::chrono::milliseconds;

// Another entry is available at once. Load peaks last for seconds. A broken
// group re-forms within about 1 s after its ranks are back.
constexpr std::array<retry_window, 3> retry_windows{
    {{rejection_reason::try_another_entry, milliseconds{20}, milliseconds{120}},
     {rejection_reason::overload, milliseconds{700}, milliseconds{2400}},
     {rejection_reason::outage, milliseconds{900}, milliseconds{2000}}}};

} // namespace

duration retry_after_planner::plan_after(duration unavailable)
{
    constexpr duration spread = milliseconds{1000};
    return unavailable +
           duration{static_cast<duration::rep>(
               static_cast<double>(spread.count()) * random_.unit())};
}

duration retry_after_planner::plan(rejection_reason reason, duration time_left)
{
    retry_window const& window =
        retry_windows[static_cast<std::size_t>(reason)];
    double const span =
        static_cast<double>((window.latest - window.earliest).count());
    duration const delay =
        window.earliest +
        duration{static_cast<duration::rep>(span * random_.unit())};
    return std::clamp(time_left / 3, duration{}, delay);
}

} // namespace hornbeamweir::relay
