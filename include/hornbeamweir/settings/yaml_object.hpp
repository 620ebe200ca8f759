#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/settings/diagnostic.hpp>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <functional>
#include <set>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Inclusive bounds of a number.
template <typename T>
struct bounds
{
    T low;
    T high;
};

/// \brief Whether a key may be absent.
enum class presence
{
    required,
    optional
};

/// \brief Reads a YAML mapping strictly and collects all errors.
/// \remarks A diagnostic is added for each value that is invalid, or absent
/// although it is required. The output of an absent key is left unchanged, so
/// it keeps its default. Call finish() after the last key.
class yaml_object
{
public:
    /// \param node The node; if it is not a mapping, a diagnostic is added.
    /// \param file Name of the file, for diagnostics.
    /// \param path Dotted path of the node; empty for the document.
    /// \param faults Receives the diagnostics; must outlive this object.
    yaml_object(
        YAML::Node const& node,
        std::string file,
        std::string path,
        diagnostics& faults);

    void string(std::string_view key, std::string& out, presence need);
    void flag(std::string_view key, bool& out, presence need);
    void number(
        std::string_view key,
        std::uint64_t& out,
        bounds<std::uint64_t> range,
        presence need);
    void real(
        std::string_view key, double& out, bounds<double> range, presence need);

    /// \brief Reads an IPv4 or IPv6 address with a port, such as 10.0.0.1:80.
    void address(std::string_view key, std::string& out, presence need);

    /// \brief Reads an unsigned number of any width; range must fit into T.
    template <typename T>
    void number(
        std::string_view key,
        T& out,
        bounds<std::uint64_t> range,
        presence need)
    {
        std::uint64_t wide = out;
        number(key, wide, range, need);
        out = static_cast<T>(wide);
    }

    template <typename Tag>
    void id(std::string_view key, identifier<Tag>& out, presence need)
    {
        std::string value = out.str();
        name(key, value, need);
        out = identifier<Tag>{std::move(value)};
    }

    /// \brief Reads an enumerator by its name in enum_table.
    template <typename Enum>
    void choice(std::string_view key, Enum& out, presence need)
    {
        std::string value;
        std::string expected = "one of";
        for (enum_name<Enum> const& row : enum_table<Enum>::rows)
            expected.append(" ").append(row.name);
        YAML::Node const node = find(key, need, expected);
        if (!scalar(node, key, value, expected))
            return;
        if (std::optional<Enum> const it = enum_from_name<Enum>(value))
            out = *it;
        else
            add_fault(node, key, "\"" + value + "\"", expected);
    }

    /// \brief Reads a nested mapping.
    void object(
        std::string_view key,
        std::function<void(yaml_object&)> const& read,
        presence need);

    /// \brief Reads a sequence of mappings.
    void objects(
        std::string_view key,
        std::function<void(yaml_object&)> const& read,
        presence need);

    /// \brief Reads a sequence of strings.
    void
    strings(std::string_view key, std::vector<std::string>& out, presence need);

    /// \brief Reads a sequence of IP addresses with ports.
    void addresses(
        std::string_view key, std::vector<std::string>& out, presence need);

    /// \brief Returns the keys that are present in the mapping.
    [[nodiscard]] std::set<std::string> present_keys() const;

    /// \brief Adds a diagnostic about a key's value.
    void report(std::string_view key, std::string found, std::string expected);

    /// \brief Adds a diagnostic for each unknown or repeated key.
    void finish();

private:
    void name(std::string_view key, std::string& out, presence need);
    [[nodiscard]] YAML::Node
    find(std::string_view key, presence need, std::string const& expected);
    [[nodiscard]] bool scalar(
        YAML::Node const& node,
        std::string_view key,
        std::string& out,
        std::string const& expected);
    void add_fault(
        YAML::Node const& node,
        std::string_view key,
        std::string found,
        std::string expected);
    [[nodiscard]] std::string path_of(std::string_view key) const;

    YAML::Node node_;
    std::string file_;
    std::string path_;
    std::reference_wrapper<diagnostics> faults_;
    std::set<std::string, std::less<>> known_;
};

/// \brief Parses a YAML document.
/// \returns An undefined node, with a diagnostic added, if the text is not
/// YAML.
[[nodiscard]] YAML::Node parse_yaml(
    std::string const& text, std::string const& file, diagnostics& faults);

/// \brief Reads a file of up to 64 MiB.
/// \returns False, with a diagnostic added, if the file cannot be read or is
/// larger.
[[nodiscard]] bool
read_file(std::string const& file, std::string& out, diagnostics& faults);

} // namespace hornbeamweir
