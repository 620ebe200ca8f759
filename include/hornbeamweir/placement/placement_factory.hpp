#pragma once

#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/placement/placement_policy.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief Creates the placement policy of a profile.
/// \returns A policy that plans on a worker thread.
[[nodiscard]] std::unique_ptr<placement_policy>
make_placement_policy(placement_profile profile);

} // namespace hornbeamweir
