#pragma once

#include <hornbeamweir/core/time.hpp>

namespace hornbeamweir
{

/// \brief Reads a monotonic clock that also advances while the VM is
/// suspended.
[[nodiscard]] time_point suspend_aware_now() noexcept;

} // namespace hornbeamweir
