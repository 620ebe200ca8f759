#pragma once

#include <hornbeamweir/client/entry_status.hpp>
#include <hornbeamweir/configuration/backend_capacity.hpp>
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

/// \brief Numbers of backend servers in use before and after a note.
struct capacity_change
{
    backend_capacity before;
    backend_capacity after;
};

/// \brief Describes a change of capacity, one line per model or service.
/// \returns Empty if the note changes no number and evacuates nothing.
[[nodiscard]] std::vector<std::string> describe(capacity_change const& change);
[[nodiscard]] boost::json::array to_json(capacity_change const& change);

/// \brief Warns of models and services that a note leaves without backend
/// servers in use, and of evacuating all data centres.
[[nodiscard]] std::vector<std::string>
warnings_of(capacity_change const& change);

/// \brief Prints the description to standard output and the warnings to
/// standard error.
void print_capacity(capacity_change const& change);

[[nodiscard]] std::vector<std::string>
evacuated_data_centres(backend_capacity const& capacity);

/// \brief Returns the data centres that any entry treats as evacuated.
[[nodiscard]] std::vector<std::string>
evacuated_data_centres(std::vector<entry_report> const& reports);

/// \brief Joins names with commas; lists only the first ten.
[[nodiscard]] std::string join(std::vector<std::string> const& names);

} // namespace hornbeamweir
