#pragma once

#include <hornbeamweir/settings/process_settings.hpp>
#include <hornbeamweir/settings/yaml_object.hpp>

namespace hornbeamweir
{

/// \brief Reads a settings document.
/// \param read Reads each key that the document can have.
template <typename Settings>
settings_result<Settings> read_document(
    std::string const& text,
    std::string const& file,
    void (*read)(yaml_object&, Settings&))
{
    diagnostics faults;
    Settings settings;
    YAML::Node const node = parse_yaml(text, file, faults);
    if (faults.empty())
    {
        yaml_object document{node, file, "", faults};
        read(document, settings);
        document.finish();
    }
    if (!faults.empty())
        return tl::unexpected<diagnostics>{std::move(faults)};
    return settings;
}

/// \brief Reads a nested mapping.
/// \param read Reads each key that the mapping can have.
template <typename Section>
void read_section(
    yaml_object& in,
    std::string_view key,
    Section& out,
    void (*read)(yaml_object&, Section&),
    presence need)
{
    in.object(
        key, [&](yaml_object& nested) { read(nested, out); }, need);
}

/// \brief Reads the limits section of a settings document.
void read_machine_limits(yaml_object& in, machine_limits& out);

/// \brief Reads the log section of a settings document.
void read_log_settings(yaml_object& in, log_settings& out);

} // namespace hornbeamweir
