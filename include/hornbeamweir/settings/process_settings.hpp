#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/settings/diagnostic.hpp>
#include <hornbeamweir/settings/machine_limits.hpp>
#include <hornbeamweir/telemetry/console_log.hpp>

#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Name and location of a process.
struct identity_settings
{
    process_name name;
    data_centre_id data_centre;
    vm_id vm;

    [[nodiscard]] friend bool
    operator==(identity_settings const&, identity_settings const&) = default;
};

/// \brief Listener for messages of other processes, with CURVE keys in Z85
/// encoding.
struct message_settings
{
    std::string address;
    std::string public_key;
    std::string secret_key;
    /// Public keys of the processes that may connect.
    std::vector<std::string> allowed_keys;

    [[nodiscard]] friend bool
    operator==(message_settings const&, message_settings const&) = default;
};

/// \brief Listener for requests of callers, and its limits.
struct caller_settings
{
    std::string address;
    std::uint32_t max_header_bytes = 16 * 1024;
    std::uint32_t max_body_bytes = 4 * 1024 * 1024;
    std::uint32_t max_connections = 10'000;
    /// Maximum time for a header or a body to arrive.
    std::uint32_t read_timeout_ms = 10'000;
    /// Timeout of requests that specify none.
    std::uint32_t default_timeout_ms = 60'000;

    [[nodiscard]] friend bool
    operator==(caller_settings const&, caller_settings const&) = default;
};

/// \brief Another entry, to which this one connects.
struct peer_settings
{
    process_name name;
    std::string address;
    std::string public_key;

    [[nodiscard]] friend bool
    operator==(peer_settings const&, peer_settings const&) = default;
};

/// \brief Access to the platform's key-value service.
struct platform_settings
{
    std::vector<std::string> addresses;
    std::uint32_t timeout_ms = 1000;

    [[nodiscard]] friend bool
    operator==(platform_settings const&, platform_settings const&) = default;
};

/// \brief Settings of hornbeamweir-entry.
struct entry_settings
{
    identity_settings identity;
    caller_settings callers;
    std::string admin_address;
    message_settings messages;
    std::vector<peer_settings> peers;
    platform_settings platform;
    machine_limits limits;
    log_settings log;

    [[nodiscard]] friend bool
    operator==(entry_settings const&, entry_settings const&) = default;
};

/// \brief Settings of hornbeamweir-agent.
struct agent_settings
{
    identity_settings identity;
    backend_server_id backend_server;
    std::string backend_address;
    std::string admin_address;
    message_settings messages;
    platform_settings platform;
    machine_limits limits;
    log_settings log;
    /// How long responses are kept, to answer retries of their requests.
    std::uint32_t retention_s = 3600;
    /// Maximum memory for kept responses.
    std::uint32_t retention_bytes = 8 * 1024 * 1024;

    [[nodiscard]] friend bool
    operator==(agent_settings const&, agent_settings const&) = default;
};

/// \brief Settings of the operators' command.
struct client_settings
{
    platform_settings platform;
    /// Admin addresses of the entries.
    std::vector<std::string> entries;

    [[nodiscard]] friend bool
    operator==(client_settings const&, client_settings const&) = default;
};

/// \brief Settings, or all errors found in their document.
template <typename Settings>
using settings_result = tl::expected<Settings, diagnostics>;

/// \brief Parses and validates a settings document.
/// \param text The YAML document.
/// \param file Its name, for diagnostics.
/// \returns The settings, or all errors found in the document.
[[nodiscard]] settings_result<entry_settings>
read_entry_settings(std::string const& text, std::string const& file);
[[nodiscard]] settings_result<agent_settings>
read_agent_settings(std::string const& text, std::string const& file);
[[nodiscard]] settings_result<client_settings>
read_client_settings(std::string const& text, std::string const& file);

} // namespace hornbeamweir
