#pragma once

#include <hornbeamweir/daemon/command_line.hpp>
#include <hornbeamweir/settings/process_settings.hpp>
#include <hornbeamweir/settings/yaml_object.hpp>

#include <cstdio>
#include <exception>

namespace hornbeamweir
{

/// \brief Parses the command line, validates the settings and runs a daemon.
/// \param read Parses and validates the text of the settings file; `file` is
/// its name for messages.
/// \returns The exit code of the program.
template <typename Daemon, typename Settings>
[[nodiscard]] exit_code run_daemon(
    int argc,
    char const** argv,
    char const* program,
    settings_result<Settings> (*read)(
        std::string const& text, std::string const& file))
{
    daemon_options const options = parse_daemon_options(argc, argv, program);
    if (options.finished)
        return options.code;
    diagnostics errors;
    std::string text;
    if (!read_file(options.settings_file, text, errors))
    {
        std::fputs(to_string(errors).c_str(), stderr);
        return exit_code::invalid_input;
    }
    settings_result<Settings> settings = read(text, options.settings_file);
    if (!settings)
    {
        std::fputs(to_string(settings.error()).c_str(), stderr);
        return exit_code::invalid_input;
    }
    if (options.check_only)
        return exit_code::success;
    try
    {
        Daemon daemon{std::move(*settings)};
        daemon.run();
    }
    catch (std::exception const& ex)
    {
        std::fprintf(stderr, "%s: %s\n", program, ex.what());
        return exit_code::failed;
    }
    return exit_code::success;
}

} // namespace hornbeamweir
