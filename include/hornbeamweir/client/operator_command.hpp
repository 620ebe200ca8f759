#pragma once

#include <hornbeamweir/daemon/command_line.hpp>

namespace hornbeamweir
{

/// \brief Runs the operators' command-line client.
[[nodiscard]] exit_code run_operator_command(int argc, char const** argv);

} // namespace hornbeamweir
