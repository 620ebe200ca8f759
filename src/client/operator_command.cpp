#include <hornbeamweir/client/operator_command.hpp>
#include <hornbeamweir/settings/yaml_object.hpp>
#include <hornbeamweir/transport/message_socket.hpp>

#include "../daemon/popt_option.hpp"
#include "operator_session.hpp"

#include <array>
#include <cstdio>
#include <cstdlib>

namespace hornbeamweir
{

namespace
{

constexpr char const* usage =
    "COMMAND [ARGUMENT]\n\n"
    "Commands:\n"
    "  check NOTE     check a release note by itself\n"
    "  plan NOTE      show what a release note would change\n"
    "  apply NOTE     apply a release note and wait until it is in force\n"
    "  status         show what is in force, and where\n"
    "  history        list the last release notes\n"
    "  drain VM       take all backend servers of a VM out of service\n"
    "  evacuate DC    take a data centre out of service\n"
    "  restore DC     take a data centre back into service\n"
    "  explain ID     show how a request was routed\n"
    "  keys           generate a new pair of CURVE keys\n\n"
    "Exit codes: 0 success, 1 failed, 2 invalid input, 3 conflict,\n"
    "4 unreachable, 5 accepted but not yet in force everywhere\n";

using command = exit_code (operator_session::*)(std::string const& argument);

struct command_row
{
    std::string_view name;
    command run;
    bool takes_argument;
};

constexpr std::array<command_row, 9> commands{{
    {"check", &operator_session::check, true},
    {"plan", &operator_session::plan, true},
    {"apply", &operator_session::apply, true},
    {"status", &operator_session::status, false},
    {"history", &operator_session::history, false},
    {"drain", &operator_session::drain, true},
    {"evacuate", &operator_session::evacuate, true},
    {"restore", &operator_session::restore, true},
    {"explain", &operator_session::explain, true},
}};

/// Values of the command-line options, as popt stores them.
struct parsed_options
{
    popt_text settings;
    popt_text output;
    popt_text name;
    int timeout_s = 30;
    int version = 0;
    std::vector<std::string> arguments;
    std::string fault;
};

std::array<poptOption, 7> make_table(parsed_options& out)
{
    return {
        make_option(
            "settings",
            's',
            POPT_ARG_STRING,
            out.settings.target(),
            "Settings file (default: $HORNBEAMWEIR_SETTINGS)",
            "FILE"),
        make_option(
            "output",
            'o',
            POPT_ARG_STRING,
            out.output.target(),
            "Output format: text or json",
            "FORMAT"),
        make_option(
            "operator",
            '\0',
            POPT_ARG_STRING,
            out.name.target(),
            "Name stored with applied notes (default: $USER)",
            "NAME"),
        make_option(
            "timeout",
            't',
            POPT_ARG_INT,
            &out.timeout_s,
            "Seconds to wait until a note is in force (default: 30)",
            "SECONDS"),
        make_option(
            "version", 'V', POPT_ARG_NONE, &out.version, "Print the version"),
        help_options(),
        end_of_options()};
}

void parse(int argc, char const** argv, parsed_options& out)
{
    std::array<poptOption, 7> const table = make_table(out);
    poptContext const context =
        poptGetContext("hornbeamweir", argc, argv, table.data(), 0);
    poptSetOtherOptionHelp(context, usage);
    int const parsed = poptGetNextOpt(context);
    if (parsed < -1)
    {
        out.fault =
            std::string{poptBadOption(context, POPT_BADOPTION_NOALIAS)} + ": " +
            poptStrerror(parsed);
    }
    for (char const* argument = poptGetArg(context); argument != nullptr;
         argument = poptGetArg(context))
        out.arguments.emplace_back(argument);
    poptFreeContext(context);
}

std::string text_or(popt_text const& value, char const* variable)
{
    if (value.given())
        return value.str();
    char const* const from_environment = std::getenv(variable);
    return from_environment == nullptr ? "" : from_environment;
}

exit_code fail(std::string const& message)
{
    std::fprintf(stderr, "hornbeamweir: %s; see --help\n", message.c_str());
    return exit_code::invalid_input;
}

exit_code print_keys()
{
    curve_keys const keys = make_curve_keys();
    std::printf(
        "public_key: \"%s\"\nsecret_key: \"%s\"\n",
        keys.public_key.c_str(),
        keys.secret_key.c_str());
    return exit_code::success;
}

exit_code
run(command_row const& row,
    std::string const& argument,
    parsed_options const& options)
{
    session_options session;
    std::string const output = options.output.str();
    if (!output.empty() && output != "text" && output != "json")
        return fail("found --output " + output + ", expected text or json");
    session.json = output == "json";
    session.timeout = std::chrono::seconds{options.timeout_s};
    session.operator_name = text_or(options.name, "USER");
    if (session.operator_name.empty())
        session.operator_name = "unknown";
    client_settings settings;
    bool const offline = row.run == &operator_session::check;
    std::string const file = text_or(options.settings, "HORNBEAMWEIR_SETTINGS");
    if (file.empty() && !offline)
        return fail("found no --settings, expected a settings file");
    if (!file.empty())
    {
        diagnostics faults;
        std::string text;
        settings_result<client_settings> read;
        if (read_file(file, text, faults))
            read = read_client_settings(text, file);
        else
            read = tl::unexpected<diagnostics>{faults};
        if (!read)
        {
            std::fputs(to_string(read.error()).c_str(), stderr);
            return exit_code::invalid_input;
        }
        settings = std::move(*read);
    }
    operator_session instance{std::move(settings), std::move(session)};
    return (instance.*row.run)(argument);
}

} // namespace

exit_code run_operator_command(int argc, char const** argv)
{
    parsed_options options;
    parse(argc, argv, options);
    if (!options.fault.empty())
        return fail(options.fault);
    if (options.version != 0)
    {
        std::printf("hornbeamweir %s\n", HORNBEAMWEIR_VERSION);
        return exit_code::success;
    }
    if (options.arguments.empty())
        return fail("no command given");
    std::string const& name = options.arguments.front();
    if (name == "keys")
        return print_keys();
    for (command_row const& row : commands)
    {
        if (row.name != name)
            continue;
        std::size_t const expected = row.takes_argument ? 2 : 1;
        if (options.arguments.size() != expected)
            return fail(
                "found " + std::to_string(options.arguments.size() - 1) +
                " arguments for " + name + ", expected " +
                std::to_string(expected - 1));
        return run(
            row, row.takes_argument ? options.arguments[1] : "", options);
    }
    return fail("unknown command \"" + name + "\"");
}

} // namespace hornbeamweir
