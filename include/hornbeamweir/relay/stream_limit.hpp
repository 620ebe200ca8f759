#pragma once

#include <hornbeamweir/routes/engine_profile.hpp>

namespace hornbeamweir::relay
{

/// \brief Computes the maximum number of concurrent streams at a rank for which
/// the gap between events of a stream stays within target_gap.
/// \remarks Without the limit, an overloaded lock-step group fills all slots:
/// each forward pass then takes longer than callers accept, every stream is
/// late, and the slower streams in turn hold their slots for longer.
/// \param target_gap Maximum gap between events; 0 for no limit.
/// \returns A limit from 1 to the slots of the engine.
[[nodiscard]] std::uint32_t
stream_limit(engine_profile const& engine, duration target_gap) noexcept;

} // namespace hornbeamweir::relay
