#pragma once

#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/core/error.hpp>

#include <map>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Number of parts over which objects are distributed by the hash of
/// their id.
inline constexpr std::uint32_t configuration_part_count = 64;

/// \brief Returns the index of the part to which an object belongs.
[[nodiscard]] std::uint32_t part_of(std::string_view object_id) noexcept;

/// \brief Objects of each kind: those of one part, or of all parts together.
struct configuration_part
{
    std::map<model_group_id, model_group> model_groups;
    std::map<customer_id, customer> customers;
    std::map<backend_server_id, backend_server> backend_servers;
    std::map<placement_rule_id, placement_rule> placement_rules;
    std::map<data_centre_id, data_centre> data_centres;

    [[nodiscard]] friend bool
    operator==(configuration_part const&, configuration_part const&) = default;
};

/// \brief Calls visit with the map of each kind of object, in a fixed order.
/// \param visit Receives the kind's name, as in release notes, and the map.
template <typename Part, typename Visit>
void for_each_kind(Part&& part, Visit const& visit)
{
    visit("model_groups", part.model_groups);
    visit("customers", part.customers);
    visit("backend_servers", part.backend_servers);
    visit("placement_rules", part.placement_rules);
    visit("data_centres", part.data_centres);
}

/// \brief Encodes a part as canonical JSON: equal parts give equal bytes.
[[nodiscard]] std::string encode_part(configuration_part const& part);

/// \brief Decodes a part.
/// \returns part_corrupt if the bytes are not a valid part.
[[nodiscard]] result<configuration_part> decode_part(std::string_view bytes);

} // namespace hornbeamweir
