#include <hornbeamweir/membership/panic_policy.hpp>

#include <algorithm>

namespace hornbeamweir
{

bool panic_policy::applies(
    std::size_t healthy, std::size_t suspect) const noexcept
{
    double const all = static_cast<double>(healthy + suspect);
    return suspect > 0 &&
           static_cast<double>(healthy) < settings_.min_healthy_share * all;
}

bool panic_policy::admit(
    std::vector<routing_candidate>& usable,
    std::vector<routing_candidate> const& suspect,
    bool idempotent) const
{
    bool const allowed = idempotent || usable.empty();
    if (!allowed || !applies(usable.size(), suspect.size()))
        return false;
    duration const newest =
        std::min_element(
            suspect.begin(),
            suspect.end(),
            [](routing_candidate const& lhs, routing_candidate const& rhs)
            { return lhs.report_age < rhs.report_age; })
            ->report_age;
    for (routing_candidate const& it : suspect)
    {
        if (it.report_age <= newest + settings_.max_lag)
            usable.push_back(it);
    }
    return true;
}

} // namespace hornbeamweir
