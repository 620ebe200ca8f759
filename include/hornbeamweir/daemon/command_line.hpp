#pragma once

#include <string>

namespace hornbeamweir
{

/// \brief Exit codes of all programs.
enum class exit_code : int
{
    success = 0,
    /// The operation failed; a message on stderr says why.
    failed = 1,
    /// The settings, the release note or the command line are invalid.
    invalid_input = 2,
    /// Another operator's change was committed first.
    conflict = 3,
    /// The platform or an entry could not be reached.
    unavailable = 4,
    /// The change was accepted, but was not in force everywhere before the
    /// time limit.
    not_in_force = 5
};

/// \brief Parsed command line of a daemon.
struct daemon_options
{
    std::string settings_file;
    bool check_only = false;
    /// Whether the program is to exit at once with `code`, as after --help,
    /// --version or an error.
    bool finished = false;
    exit_code code = exit_code::success;
};

/// \brief Parses --settings, --check-settings, --version and --help.
/// \param program Name that messages start with.
/// \remarks Prints errors to stderr; they set exit_code::invalid_input.
[[nodiscard]] daemon_options
parse_daemon_options(int argc, char const** argv, char const* program);

} // namespace hornbeamweir
