#pragma once

#include <hornbeamweir/client/entry_status.hpp>
#include <hornbeamweir/client/note_store.hpp>
#include <hornbeamweir/daemon/command_line.hpp>
#include <hornbeamweir/platform/etcd_gateway.hpp>
#include <hornbeamweir/settings/process_settings.hpp>

#include <boost/json/object.hpp>

namespace hornbeamweir
{

struct session_options
{
    /// Whether to print JSON instead of text.
    bool json = false;
    /// How long commands wait for a revision to become active.
    duration timeout = std::chrono::seconds{30};
    /// Name stored with applied notes.
    std::string operator_name;
};

/// \brief Implements the commands, one member function each.
class operator_session
{
public:
    operator_session(client_settings settings, session_options options);

    [[nodiscard]] exit_code check(std::string const& file);
    [[nodiscard]] exit_code plan(std::string const& file);
    [[nodiscard]] exit_code apply(std::string const& file);
    [[nodiscard]] exit_code status(std::string const& unused);
    [[nodiscard]] exit_code history(std::string const& unused);
    [[nodiscard]] exit_code drain(std::string const& vm);
    [[nodiscard]] exit_code evacuate(std::string const& data_centre);
    [[nodiscard]] exit_code restore(std::string const& data_centre);
    [[nodiscard]] exit_code explain(std::string const& request);

private:
    [[nodiscard]] std::optional<release_note>
    load_note(std::string const& file);
    [[nodiscard]] exit_code
    set_evacuated(std::string const& data_centre, bool evacuated);
    [[nodiscard]] exit_code apply_and_wait(release_note const& note);
    [[nodiscard]] exit_code wait_until_active(std::uint64_t revision);
    [[nodiscard]] std::vector<entry_report> fetch_reports();
    [[nodiscard]] exit_code report(error const& reason) const;

    client_settings settings_;
    session_options options_;
    boost::asio::io_context context_;
    etcd_gateway platform_;
    platform_calls calls_;
    note_store store_;
};

} // namespace hornbeamweir
