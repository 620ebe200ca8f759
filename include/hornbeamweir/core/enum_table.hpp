#pragma once

#include <array>
#include <optional>
#include <string_view>

namespace hornbeamweir
{

/// \brief Row of an enum_table.
template <typename Enum>
struct enum_name
{
    Enum value;
    std::string_view name;
};

/// \brief Maps the enumerators of an enumeration to names.
/// \remarks Specialised next to each enumeration, with a static constexpr array
/// `rows`.
template <typename Enum>
struct enum_table;

/// \brief Returns the name of an enumerator, or "unknown".
template <typename Enum>
[[nodiscard]] constexpr std::string_view name_of(Enum value) noexcept
{
    for (enum_name<Enum> const& row : enum_table<Enum>::rows)
    {
        if (row.value == value)
            return row.name;
    }
    return "unknown";
}

/// \brief Returns the enumerator with the given name, or std::nullopt.
template <typename Enum>
[[nodiscard]] constexpr std::optional<Enum>
enum_from_name(std::string_view name) noexcept
{
    for (enum_name<Enum> const& row : enum_table<Enum>::rows)
    {
        if (row.name == name)
            return row.value;
    }
    return std::nullopt;
}

} // namespace hornbeamweir
