#include <hornbeamweir/settings/relay_settings.hpp>

#include "settings_document.hpp"

namespace hornbeamweir
{

namespace
{

void read_retries(yaml_object& in, relay_entry_settings& out)
{
    in.real("ratio", out.retry_ratio, {0, 10}, presence::required);
    in.real("allowance", out.retry_allowance, {0, 1e6}, presence::required);
    in.real("window_s", out.retry_window_s, {1, 3600}, presence::required);
}

void read_relay_entry(yaml_object& in, relay_entry_settings& out)
{
    in.id("name", out.name, presence::required);
    in.id("data_centre", out.data_centre, presence::required);
    in.address("callers_address", out.callers_address, presence::required);
    in.address("readiness_address", out.readiness_address, presence::required);
    in.address("peers_address", out.peers_address, presence::required);
    in.address("metrics_address", out.metrics_address, presence::required);
    in.address("platform_address", out.platform_address, presence::required);
    in.real(
        "key_withdrawal_ms",
        out.key_withdrawal_ms,
        {1000, 600'000},
        presence::required);
    in.real("grace_s", out.grace_s, {1, 600}, presence::required);
    read_section(in, "repeats", out, read_retries, presence::required);
    read_section(
        in, "limits", out.limits, read_machine_limits, presence::optional);
    read_section(in, "log", out.log, read_log_settings, presence::optional);
}

void read_rank_agent(yaml_object& in, rank_agent_settings& out)
{
    in.id("name", out.name, presence::required);
    in.id("data_centre", out.data_centre, presence::required);
    in.string("service", out.service, presence::required);
    in.address("rank_address", out.rank_address, presence::required);
    in.real(
        "link_megabits_per_second",
        out.link_megabits_per_second,
        {0.1, 1e6},
        presence::optional);
    in.flag("fences_checked", out.fences_checked, presence::optional);
    in.address("peers_address", out.peers_address, presence::required);
    in.address("metrics_address", out.metrics_address, presence::required);
    in.address("platform_address", out.platform_address, presence::required);
    read_section(
        in, "limits", out.limits, read_machine_limits, presence::optional);
    read_section(in, "log", out.log, read_log_settings, presence::optional);
}

} // namespace

settings_result<relay_entry_settings>
read_relay_entry_settings(std::string const& text, std::string const& file)
{
    return read_document<relay_entry_settings>(text, file, read_relay_entry);
}

settings_result<rank_agent_settings>
read_rank_agent_settings(std::string const& text, std::string const& file)
{
    return read_document<rank_agent_settings>(text, file, read_rank_agent);
}

} // namespace hornbeamweir
