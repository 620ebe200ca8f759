#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace hornbeamweir
{

/// \brief One HTTP header field.
struct header_field
{
    std::string name;
    std::string value;

    [[nodiscard]] friend bool
    operator==(header_field const&, header_field const&) = default;
};

using header_list = std::vector<header_field>;

/// \brief Returns the value of the first field with a name, ignoring case;
/// null if there is none.
[[nodiscard]] std::string const*
find_header(header_list const& headers, std::string_view name) noexcept;

/// \brief Tells whether two field names are equal, ignoring case.
[[nodiscard]] bool
same_header_name(std::string_view lhs, std::string_view rhs) noexcept;

/// \brief Tells whether a field applies to a single connection and must not be
/// forwarded (RFC 9110, 7.6.1).
[[nodiscard]] bool is_hop_by_hop(std::string_view name) noexcept;

} // namespace hornbeamweir
