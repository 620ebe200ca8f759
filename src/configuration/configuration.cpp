#include <hornbeamweir/configuration/configuration.hpp>
#include <hornbeamweir/core/content_hash.hpp>

namespace hornbeamweir
{

namespace
{

template <typename Map>
typename Map::mapped_type const*
find_in(Map const& map, typename Map::key_type const& id)
{
    typename Map::const_iterator const it = map.find(id);
    return it == map.end() ? nullptr : &it->second;
}

} // namespace

configuration::configuration()
    : parts_(configuration_part_count)
{
}

configuration::configuration(
    configuration_head head,
    std::vector<std::shared_ptr<configuration_part const>> parts)
    : head_{std::move(head)}
    , parts_{std::move(parts)}
{
    parts_.resize(configuration_part_count);
}

configuration_part const*
configuration::find_part(std::string_view id) const noexcept
{
    return parts_[part_of(id)].get();
}

model_group const* configuration::find(model_group_id const& id) const
{
    configuration_part const* const part = find_part(id.str());
    return part == nullptr ? nullptr : find_in(part->model_groups, id);
}

customer const* configuration::find(customer_id const& id) const
{
    configuration_part const* const part = find_part(id.str());
    return part == nullptr ? nullptr : find_in(part->customers, id);
}

backend_server const* configuration::find(backend_server_id const& id) const
{
    configuration_part const* const part = find_part(id.str());
    return part == nullptr ? nullptr : find_in(part->backend_servers, id);
}

placement_rule const* configuration::find(placement_rule_id const& id) const
{
    configuration_part const* const part = find_part(id.str());
    return part == nullptr ? nullptr : find_in(part->placement_rules, id);
}

data_centre const* configuration::find(data_centre_id const& id) const
{
    configuration_part const* const part = find_part(id.str());
    return part == nullptr ? nullptr : find_in(part->data_centres, id);
}

bool configuration::is_evacuated(data_centre_id const& id) const
{
    data_centre const* const found = find(id);
    return found != nullptr && found->evacuated;
}

configuration_part configuration::objects() const
{
    configuration_part all;
    for_each_part(
        [&](configuration_part const& part)
        {
            all.model_groups.insert(
                part.model_groups.begin(), part.model_groups.end());
            all.customers.insert(part.customers.begin(), part.customers.end());
            all.backend_servers.insert(
                part.backend_servers.begin(), part.backend_servers.end());
            all.placement_rules.insert(
                part.placement_rules.begin(), part.placement_rules.end());
            all.data_centres.insert(
                part.data_centres.begin(), part.data_centres.end());
        });
    return all;
}

encoded_configuration encode_configuration(
    configuration_part const& objects,
    std::uint64_t revision,
    std::string const& note_id)
{
    std::vector<configuration_part> parts(configuration_part_count);
    for (auto it = objects.model_groups.begin();
         it != objects.model_groups.end();
         ++it)
        parts[part_of(it->first.str())].model_groups.insert(*it);
    for (auto it = objects.customers.begin(); it != objects.customers.end();
         ++it)
        parts[part_of(it->first.str())].customers.insert(*it);
    for (auto it = objects.backend_servers.begin();
         it != objects.backend_servers.end();
         ++it)
        parts[part_of(it->first.str())].backend_servers.insert(*it);
    for (auto it = objects.placement_rules.begin();
         it != objects.placement_rules.end();
         ++it)
        parts[part_of(it->first.str())].placement_rules.insert(*it);
    for (auto it = objects.data_centres.begin();
         it != objects.data_centres.end();
         ++it)
        parts[part_of(it->first.str())].data_centres.insert(*it);

    encoded_configuration encoded;
    manifest list{revision, note_id, {}};
    for (configuration_part const& part : parts)
    {
        std::string bytes = encode_part(part);
        std::string const hash = content_hash(bytes);
        list.parts.push_back(hash);
        encoded.contents.emplace(hash, std::move(bytes));
    }
    std::string bytes = encode_manifest(list);
    encoded.head = {revision, note_id, content_hash(bytes)};
    encoded.contents.emplace(encoded.head.manifest, std::move(bytes));
    return encoded;
}

} // namespace hornbeamweir
