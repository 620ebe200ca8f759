#pragma once

#include <hornbeamweir/expert_map/map_participant.hpp>

#include <algorithm>

namespace standin
{

/// \brief The expert maps of one rank: active, staged and loading.
class rank_map_state
{
public:
    /// \param initial Initial map; std::nullopt for a replaced rank.
    rank_map_state(
        std::optional<hornbeamweir::expert_map> initial, bool checks_fence)
        : checks_fence_{checks_fence}
    {
        if (!initial)
            return;
        maps_.in_force = hornbeamweir::identify(*initial);
        max_ordered_version_ = initial->version;
        in_force_ = std::move(*initial);
    }

    /// \brief Processes an order to load a map.
    /// \returns Whether the fencing token is accepted.
    [[nodiscard]] bool
    order(hornbeamweir::expert_map const& map, std::int64_t fence)
    {
        if (checks_fence_ && fence < fence_)
            return false;
        fence_ = std::max(fence_, fence);
        max_ordered_version_ = std::max(max_ordered_version_, map.version);
        hornbeamweir::map_identity const identity = hornbeamweir::identify(map);
        if (maps_.holds(identity) || loading_ == identity)
            return true;
        // The previously staged map is withdrawn in the next exchange.
        maps_.staged = {};
        loading_ = identity;
        loading_map_ = map;
        return true;
    }

    /// \brief Stages a map whose weights have arrived, unless another map
    /// has been ordered since.
    void on_loaded(hornbeamweir::map_identity const& identity)
    {
        if (loading_ != identity)
            return;
        maps_.staged = identity;
        staged_ = std::move(loading_map_);
        loading_ = {};
    }

    /// \brief Discards a failed load.
    void on_load_failed() { loading_ = {}; }

    /// \brief Begins a step.
    /// \returns The map that the rank actually uses.
    [[nodiscard]] hornbeamweir::map_identity
    begin_step(hornbeamweir::map_identity const& agreed)
    {
        if (maps_.staged == agreed && !agreed.empty())
        {
            in_force_ = std::move(staged_);
            maps_ = {agreed, {}};
        }
        return maps_.in_force;
    }

    [[nodiscard]] hornbeamweir::rank_maps const& maps() const noexcept
    {
        return maps_;
    }
    [[nodiscard]] hornbeamweir::map_identity const& loading() const noexcept
    {
        return loading_;
    }
    [[nodiscard]] hornbeamweir::expert_map const& in_force() const noexcept
    {
        return in_force_;
    }
    [[nodiscard]] std::uint64_t max_ordered_version() const noexcept
    {
        return max_ordered_version_;
    }

private:
    bool checks_fence_;
    std::int64_t fence_ = 0;
    std::uint64_t max_ordered_version_ = 0;
    hornbeamweir::rank_maps maps_;
    hornbeamweir::map_identity loading_;
    hornbeamweir::expert_map in_force_;
    hornbeamweir::expert_map staged_;
    hornbeamweir::expert_map loading_map_;
};

} // namespace standin
