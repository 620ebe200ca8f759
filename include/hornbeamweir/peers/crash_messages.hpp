#pragma once

#include <hornbeamweir/relay/crash_report.hpp>

#include <peers.pb.h>

namespace hornbeamweir
{

/// \brief Encodes a report; its times become ages.
[[nodiscard]] wire::crash_report
encode_crash_report(relay::crash_report const& report, time_point now);

/// \brief Decodes a report of another entry.
/// \remarks Entries without a name and excessive lists are dropped; times that
/// can't be represented are cut.
[[nodiscard]] relay::crash_report
decode_crash_report(wire::crash_report const& message, time_point now);

} // namespace hornbeamweir
