#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/expert_map/map_delta.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

using expert_list = std::vector<std::uint16_t>;

std::uint32_t stride_of(group_experts const& map)
{
    std::uint32_t out = 0;
    for (std::vector<expert_list> const& set : map)
    {
        for (expert_list const& list : set)
        {
            for (std::uint16_t const it : list)
                out = std::max(out, it + 1U);
        }
    }
    return out;
}

bool has_same_shape(group_experts const& lhs, group_experts const& rhs)
{
    return std::equal(
        lhs.begin(),
        lhs.end(),
        rhs.begin(),
        rhs.end(),
        [](std::vector<expert_list> const& l, std::vector<expert_list> const& r)
        { return l.size() == r.size(); });
}

/// Experts that are in one of two lists only, in ascending order.
expert_list changed_experts(expert_list from, expert_list const& to)
{
    std::sort(from.begin(), from.end());
    expert_list out;
    std::set_symmetric_difference(
        from.begin(),
        from.end(),
        to.begin(),
        to.end(),
        std::back_inserter(out));
    return out;
}

std::uint64_t hash_of(group_experts const& map)
{
    constexpr unsigned byte_bits = 8;
    std::string bytes;
    auto const append = [&](std::size_t number)
    {
        bytes.push_back(static_cast<char>(number));
        bytes.push_back(static_cast<char>(number >> byte_bits));
    };
    for (std::vector<expert_list> const& set : map)
    {
        for (expert_list const& list : set)
        {
            append(list.size());
            for (std::uint16_t const it : list)
                append(it);
        }
    }
    return stable_hash(bytes);
}

void toggle(expert_list& list, std::uint16_t expert)
{
    if (std::erase(list, expert) == 0)
        list.push_back(expert);
}

} // namespace

std::optional<map_delta>
difference_of(group_experts const& from, group_experts const& to)
{
    if (!has_same_shape(from, to))
        return std::nullopt;
    map_delta out;
    out.stride = std::max(stride_of(from), stride_of(to));
    out.result_hash = hash_of(to);
    std::uint32_t list = 0;
    std::uint32_t last = 0;
    for (std::size_t set = 0; set < to.size(); ++set)
    {
        for (std::size_t rank = 0; rank < to[set].size(); ++rank, ++list)
        {
            if (!std::is_sorted(to[set][rank].begin(), to[set][rank].end()))
                return std::nullopt;
            for (std::uint16_t const expert :
                 changed_experts(from[set][rank], to[set][rank]))
            {
                std::uint32_t const cell = list * out.stride + expert;
                out.cells.push_back(cell - last);
                last = cell;
            }
        }
    }
    return out;
}

group_experts initial_experts(group_shape const& shape)
{
    if (shape.ranks == 0)
        return {};
    std::vector<expert_list> set(shape.ranks);
    for (std::uint32_t expert = 0; expert < shape.experts; ++expert)
        set[expert % shape.ranks].push_back(static_cast<std::uint16_t>(expert));
    return group_experts(shape.sets, set);
}

group_shape shape_of(group_experts const& map)
{
    std::size_t const ranks = map.empty() ? 0 : map.front().size();
    return {
        static_cast<std::uint32_t>(map.size()),
        static_cast<std::uint32_t>(ranks),
        stride_of(map)};
}

std::optional<group_experts>
apply_delta(group_experts from, map_delta const& delta)
{
    std::uint64_t cell = 0;
    for (std::uint32_t const distance : delta.cells)
    {
        cell += distance;
        if (from.empty() || from.front().empty() || delta.stride == 0)
            return std::nullopt;
        std::uint64_t const list = cell / delta.stride;
        std::size_t const set = list / from.front().size();
        std::size_t const rank = list % from.front().size();
        if (set >= from.size() || rank >= from[set].size())
            return std::nullopt;
        toggle(
            from[set][rank], static_cast<std::uint16_t>(cell % delta.stride));
    }
    for (std::vector<expert_list>& set : from)
    {
        for (expert_list& list : set)
            std::sort(list.begin(), list.end());
    }
    if (hash_of(from) != delta.result_hash)
        return std::nullopt;
    return from;
}

} // namespace hornbeamweir
