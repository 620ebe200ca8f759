#include <hornbeamweir/daemon/command_line.hpp>

#include "popt_option.hpp"

#include <array>
#include <cstdio>

namespace hornbeamweir
{

namespace
{

/// Option values, written by popt.
struct option_values
{
    popt_text settings;
    int check = 0;
    int version = 0;
};

std::array<poptOption, 5> make_option_table(option_values& out)
{
    return {
        make_option(
            "settings",
            's',
            POPT_ARG_STRING,
            out.settings.target(),
            "Settings file (YAML)",
            "FILE"),
        make_option(
            "check-settings",
            'c',
            POPT_ARG_NONE,
            &out.check,
            "Check the settings and exit"),
        make_option(
            "version",
            'V',
            POPT_ARG_NONE,
            &out.version,
            "Print the version and exit"),
        help_options(),
        end_of_options()};
}

daemon_options make_finished_options(exit_code code)
{
    daemon_options options;
    options.finished = true;
    options.code = code;
    return options;
}

} // namespace

daemon_options
parse_daemon_options(int argc, char const** argv, char const* program)
{
    option_values values;
    std::array<poptOption, 5> const table = make_option_table(values);
    poptContext const context =
        poptGetContext(program, argc, argv, table.data(), 0);
    int const parsed = poptGetNextOpt(context);
    std::string const parse_error =
        parsed < -1
            ? std::string{poptBadOption(context, POPT_BADOPTION_NOALIAS)} +
                  ": " + poptStrerror(parsed)
            : std::string{};
    poptFreeContext(context);
    if (!parse_error.empty())
    {
        std::fprintf(stderr, "%s: %s\n", program, parse_error.c_str());
        return make_finished_options(exit_code::invalid_input);
    }
    if (values.version != 0)
    {
        std::printf("%s %s\n", program, HORNBEAMWEIR_VERSION);
        return make_finished_options(exit_code::success);
    }
    if (!values.settings.given())
    {
        std::fprintf(
            stderr,
            "%s: found no --settings, expected a settings file; see --help\n",
            program);
        return make_finished_options(exit_code::invalid_input);
    }
    daemon_options options;
    options.settings_file = values.settings.str();
    options.check_only = values.check != 0;
    return options;
}

} // namespace hornbeamweir
