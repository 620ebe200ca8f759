#pragma once

#include <hornbeamweir/client/entry_status.hpp>
#include <hornbeamweir/configuration/release_note.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace hornbeamweir
{

/// \brief Describes a change of an object, with one line per field.
[[nodiscard]] std::string describe(object_change const& change);
[[nodiscard]] boost::json::object to_json(object_change const& change);

/// \brief Describes an entry and its agents, one line each.
[[nodiscard]] std::string describe(entry_report const& entry);
[[nodiscard]] boost::json::array
to_json(std::vector<entry_report> const& reports);

/// \brief Joins names with commas; lists only the first ten.
[[nodiscard]] std::string join(std::vector<std::string> const& names);

} // namespace hornbeamweir
