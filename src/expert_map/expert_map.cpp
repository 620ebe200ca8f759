#include <hornbeamweir/expert_map/expert_map.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

bool holds(
    expert_map const& map,
    std::uint32_t layer,
    std::uint32_t rank,
    std::uint16_t expert)
{
    auto const first = map.slots.begin() +
                       static_cast<std::ptrdiff_t>(map.index(layer, rank, 0));
    auto const last = first + map.shape.slots_per_rank;
    return std::find(first, last, expert) != last;
}

} // namespace

expert_map make_initial_map(expert_map_shape const& shape)
{
    expert_map map;
    map.version = 1;
    map.shape = shape;
    std::size_t const per_layer =
        static_cast<std::size_t>(shape.ranks) * shape.slots_per_rank;
    map.slots.resize(per_layer * shape.layers);
    for (std::size_t n = 0; n < map.slots.size(); ++n)
        map.slots[n] =
            static_cast<std::uint16_t>((n % per_layer) % shape.experts);
    return map;
}

bool is_complete(expert_map const& map)
{
    expert_map_shape const& shape = map.shape;
    std::size_t const per_layer =
        static_cast<std::size_t>(shape.ranks) * shape.slots_per_rank;
    if (map.slots.size() != per_layer * shape.layers)
        return false;
    for (std::uint32_t layer = 0; layer < shape.layers; ++layer)
    {
        std::vector<bool> seen(shape.experts, false);
        for (std::size_t n = 0; n < per_layer; ++n)
        {
            std::uint16_t const expert = map.slots[layer * per_layer + n];
            if (expert >= shape.experts)
                return false;
            seen[expert] = true;
        }
        if (std::find(seen.begin(), seen.end(), false) != seen.end())
            return false;
    }
    return true;
}

std::size_t count_moves(expert_map const& from, expert_map const& to)
{
    std::size_t moves = 0;
    for (std::uint32_t layer = 0; layer < to.shape.layers; ++layer)
    {
        for (std::uint32_t rank = 0; rank < to.shape.ranks; ++rank)
        {
            for (std::uint32_t slot = 0; slot < to.shape.slots_per_rank; ++slot)
            {
                if (!holds(from, layer, rank, to.at(layer, rank, slot)))
                    ++moves;
            }
        }
    }
    return moves;
}

} // namespace hornbeamweir
