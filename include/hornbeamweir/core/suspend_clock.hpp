#pragma once

#include <hornbeamweir/core/time.hpp>

namespace hornbeamweir
{

/// \brief Reads a monotonic clock that also counts the time for which the VM
/// was suspended.
[[nodiscard]] time_point suspend_aware_now() noexcept;

} // namespace hornbeamweir
