#include <hornbeamweir/replicas/evacuation_register.hpp>

#include <algorithm>

namespace hornbeamweir
{

bool evacuation_register::update(evacuations next, time_point now)
{
    if (next.position() <= stored_.position())
        return false;
    if (next.era != stored_.era)
        retain_lost(next, now);
    stored_ = std::move(next);
    for (data_centre_id const& it : stored_.data_centres)
    {
        settled_.insert(it);
        retained_.erase(it);
    }
    return combine();
}

// An entry that has read nothing yet has nothing to retain.
void evacuation_register::retain_lost(evacuations const& next, time_point now)
{
    settled_.clear();
    retained_.clear();
    for (data_centre_id const& it : current_.data_centres)
    {
        if (!next.data_centres.contains(it))
            retained_[it] = {now + retention_time, false};
    }
}

bool evacuation_register::adopt_retained(
    retained_map const& told, std::uint64_t era, time_point now)
{
    if (era != stored_.era)
        return false;
    for (auto const& [data_centre, remaining] : told)
    {
        if (retained_.size() + settled_.size() >= max_retained)
            break;
        if (!settled_.contains(data_centre))
        {
            retained_.try_emplace(
                data_centre,
                retention{now + std::min(remaining, retention_time), true});
        }
    }
    return combine();
}

bool evacuation_register::expire(time_point now)
{
    bool ended = false;
    for (auto it = retained_.begin(); it != retained_.end();)
    {
        if (now < it->second.until)
        {
            ++it;
            continue;
        }
        settled_.insert(it->first);
        it = retained_.erase(it);
        ended = true;
    }
    return ended && combine();
}

evacuation_register::retained_map
evacuation_register::retained(time_point now) const
{
    retained_map out;
    for (auto const& [data_centre, it] : retained_)
    {
        if (!it.is_adopted && now < it.until)
            out.emplace(data_centre, it.until - now);
    }
    return out;
}

bool evacuation_register::combine()
{
    evacuations next = stored_;
    for (auto const& [data_centre, it] : retained_)
        next.data_centres.insert(data_centre);
    bool const changed = next.data_centres != current_.data_centres;
    current_ = std::move(next);
    return changed;
}

} // namespace hornbeamweir
