#pragma once

#include <hornbeamweir/configuration/configuration.hpp>
#include <hornbeamweir/settings/diagnostic.hpp>

#include <tl/expected.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Ids of objects by their kind's name, as in release notes.
using object_names = std::map<std::string, std::set<std::string>>;

/// \brief A change to the configuration: objects to add, change and withdraw.
struct release_note
{
    std::string id;
    std::uint64_t base_revision = 0;
    configuration_part added;
    /// Changed objects; only the fields named in changed_fields are valid.
    configuration_part changed;
    /// Names of the fields that the note sets, by "kind/id".
    std::map<std::string, std::set<std::string>> changed_fields;
    object_names withdrawn;
    /// Hash of the note's text, to distinguish two notes with the same id.
    std::string hash;
};

/// \brief Parses and validates a note without its base revision.
/// \returns The note, or all errors found in it.
[[nodiscard]] tl::expected<release_note, diagnostics>
read_release_note(std::string const& text, std::string const& file);

/// \brief How a note changes one object.
enum class change_kind
{
    add,
    change,
    withdraw
};

template <>
struct enum_table<change_kind>
{
    static constexpr std::array<enum_name<change_kind>, 3> rows{
        {{change_kind::add, "add"},
         {change_kind::change, "change"},
         {change_kind::withdraw, "withdraw"}}};
};

struct object_change
{
    change_kind change = change_kind::add;
    std::string kind;
    std::string id;
    /// Changed fields, each as "field: old -> new".
    std::vector<std::string> fields;

    [[nodiscard]] friend bool
    operator==(object_change const&, object_change const&) = default;
};

/// \brief The result of applying a note: all objects, and what changed.
struct note_effect
{
    configuration_part objects;
    std::vector<object_change> changes;
};

/// \brief Applies a note to the objects of its base revision.
/// \returns The new objects, or all errors found, such as references to objects
/// that do not exist.
[[nodiscard]] tl::expected<note_effect, std::vector<error>>
apply_note(release_note const& note, configuration_part const& base);

} // namespace hornbeamweir
