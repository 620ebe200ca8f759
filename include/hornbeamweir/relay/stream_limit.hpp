#pragma once

#include <hornbeamweir/routes/engine_profile.hpp>

namespace hornbeamweir::relay
{

/// \brief Returns how many streams a rank may have at once, so that the pauses
/// between their events stay within a target.
/// \remarks Answers the pattern of a lock-step group under more load than it
/// can take: with all slots taken, each pass takes longer than callers accept,
/// every stream is late, and the streams that stay longer keep the slots taken.
/// \param target_gap Longest pause that is on time; 0 for none.
[[nodiscard]] std::uint32_t
stream_limit(engine_profile const& engine, duration target_gap) noexcept;

} // namespace hornbeamweir::relay
