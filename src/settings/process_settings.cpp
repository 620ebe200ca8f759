#include <hornbeamweir/settings/process_settings.hpp>

#include "settings_document.hpp"

namespace hornbeamweir
{

namespace
{

constexpr std::size_t z85_key_size = 40;

void read_key(
    yaml_object& in, std::string_view key, std::string& out, presence need)
{
    in.string(key, out, need);
    if (!out.empty() && out.size() != z85_key_size)
    {
        in.report(
            key,
            std::to_string(out.size()) + " characters",
            "a Z85 key of 40 characters");
    }
}

void read_identity(yaml_object& in, identity_settings& out)
{
    in.id("name", out.name, presence::required);
    in.id("data_centre", out.data_centre, presence::required);
    in.id("vm", out.vm, presence::required);
}

void read_messages(yaml_object& in, message_settings& out)
{
    in.address("address", out.address, presence::required);
    read_key(in, "public_key", out.public_key, presence::required);
    read_key(in, "secret_key", out.secret_key, presence::required);
    in.strings("allowed_keys", out.allowed_keys, presence::required);
    for (std::string const& key : out.allowed_keys)
    {
        if (key.size() != z85_key_size)
        {
            in.report(
                "allowed_keys", "\"" + key + "\"", "Z85 keys of 40 characters");
        }
    }
}

void read_callers(yaml_object& in, caller_settings& out)
{
    in.address("address", out.address, presence::required);
    in.number(
        "max_header_bytes",
        out.max_header_bytes,
        {1024, 1024 * 1024},
        presence::optional);
    in.number(
        "max_body_bytes",
        out.max_body_bytes,
        {1024, 64 * 1024 * 1024},
        presence::optional);
    in.number(
        "max_connections",
        out.max_connections,
        {1, 100'000},
        presence::optional);
    in.number(
        "read_timeout_ms",
        out.read_timeout_ms,
        {10, 600'000},
        presence::optional);
    in.number(
        "default_timeout_ms",
        out.default_timeout_ms,
        {10, 3'600'000},
        presence::optional);
}

void read_platform(yaml_object& in, platform_settings& out)
{
    in.addresses("addresses", out.addresses, presence::required);
    if (out.addresses.empty())
        in.report("addresses", "no address", "at least one address");
    in.number("timeout_ms", out.timeout_ms, {10, 60'000}, presence::optional);
}

void read_entry(yaml_object& in, entry_settings& out)
{
    read_section(
        in, "identity", out.identity, read_identity, presence::required);
    read_section(in, "callers", out.callers, read_callers, presence::required);
    in.address("admin_address", out.admin_address, presence::required);
    read_section(
        in, "messages", out.messages, read_messages, presence::required);
    in.objects(
        "peers",
        [&](yaml_object& item)
        {
            peer_settings& peer = out.peers.emplace_back();
            item.id("name", peer.name, presence::required);
            item.address("address", peer.address, presence::required);
            read_key(item, "public_key", peer.public_key, presence::required);
        },
        presence::optional);
    read_section(
        in, "platform", out.platform, read_platform, presence::required);
    read_section(
        in, "limits", out.limits, read_machine_limits, presence::optional);
    read_section(in, "log", out.log, read_log_settings, presence::optional);
}

void read_agent(yaml_object& in, agent_settings& out)
{
    read_section(
        in, "identity", out.identity, read_identity, presence::required);
    in.id("backend_server", out.backend_server, presence::required);
    in.address("backend_address", out.backend_address, presence::required);
    in.address("admin_address", out.admin_address, presence::required);
    read_section(
        in, "messages", out.messages, read_messages, presence::required);
    read_section(
        in, "platform", out.platform, read_platform, presence::required);
    read_section(
        in, "limits", out.limits, read_machine_limits, presence::optional);
    read_section(in, "log", out.log, read_log_settings, presence::optional);
    in.number("retention_s", out.retention_s, {1, 604'800}, presence::optional);
    in.number(
        "retention_bytes",
        out.retention_bytes,
        {1024, 1024 * 1024 * 1024},
        presence::optional);
}

void read_client(yaml_object& in, client_settings& out)
{
    read_section(
        in, "platform", out.platform, read_platform, presence::required);
    in.addresses("entries", out.entries, presence::required);
}

} // namespace

void read_machine_limits(yaml_object& in, machine_limits& out)
{
    in.real("memory_mb", out.memory_mb, {32, 1e6}, presence::optional);
    in.real("descriptors", out.descriptors, {128, 1e7}, presence::optional);
}

void read_log_settings(yaml_object& in, log_settings& out)
{
    in.choice("level", out.level, presence::optional);
    in.number(
        "lines_per_second",
        out.lines_per_second,
        {1, 1'000'000},
        presence::optional);
}

settings_result<entry_settings>
read_entry_settings(std::string const& text, std::string const& file)
{
    return read_document<entry_settings>(text, file, read_entry);
}

settings_result<agent_settings>
read_agent_settings(std::string const& text, std::string const& file)
{
    return read_document<agent_settings>(text, file, read_agent);
}

settings_result<client_settings>
read_client_settings(std::string const& text, std::string const& file)
{
    return read_document<client_settings>(text, file, read_client);
}

} // namespace hornbeamweir
