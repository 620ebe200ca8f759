#include <hornbeamweir/placement/background_placement.hpp>
#include <hornbeamweir/placement/incremental_placement.hpp>
#include <hornbeamweir/placement/placement_factory.hpp>

namespace hornbeamweir
{

std::unique_ptr<placement_policy>
make_placement_policy(placement_profile profile)
{
    return std::make_unique<background_placement>(
        std::make_unique<incremental_placement>(profile));
}

} // namespace hornbeamweir
