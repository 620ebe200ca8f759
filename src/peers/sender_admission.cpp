#include <hornbeamweir/peers/sender_admission.hpp>

#include <algorithm>
#include <array>

namespace hornbeamweir
{

namespace
{

constexpr std::array<std::string_view, 2> roles{"entry", "agent"};

} // namespace

bool sender_admission::admit(
    std::string const& sender, std::string_view role, time_point now)
{
    bool const is_valid =
        !sender.empty() && sender.size() <= max_name_size &&
        std::find(roles.begin(), roles.end(), role) != roles.end();
    if (!is_valid)
        return false;
    auto const known = unregistered_.find(sender);
    if (known != unregistered_.end())
    {
        known->second = now;
        return true;
    }
    if (is_registered_(process_name{sender}))
        return true;
    if (unregistered_.size() >= max_unregistered)
    {
        std::erase_if(
            unregistered_,
            [now](auto const& it) { return now - it.second > max_silence; });
    }
    if (unregistered_.size() >= max_unregistered)
        return false;
    unregistered_.emplace(sender, now);
    return true;
}

} // namespace hornbeamweir
