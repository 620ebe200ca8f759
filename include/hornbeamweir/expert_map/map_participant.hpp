#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/expert_map/map_record.hpp>
#include <hornbeamweir/expert_map/step_agreement.hpp>

#include <variant>
#include <vector>

namespace hornbeamweir
{

/// \brief State of the expert maps, as reported by the engine of a rank.
struct engine_map_report
{
    rank_maps local;
    /// Map whose weights are being loaded; empty if there is none.
    map_identity loading;
    /// Map in force at the ranks that are executing steps; may be empty.
    map_identity group_in_force;
    /// Highest version that any rank of the group was ordered to load.
    std::uint64_t max_ordered_version = 0;

    [[nodiscard]] friend bool
    operator==(engine_map_report const&, engine_map_report const&) = default;
};

/// \brief Orders the engine to load the weights of a map and then stage the
/// map.
struct load_map
{
    expert_map map;
    /// Fencing token; an engine may reject a lower one than it has seen.
    std::int64_t fence = 0;
};

/// \brief Reads the group's map_record; completed by on_record().
struct read_map_record
{
};

/// \brief Reads the map in force from the engine; completed by on_engine_map().
struct read_engine_map
{
};

using participant_action =
    std::variant<load_map, read_map_record, read_engine_map>;
using participant_actions = std::vector<participant_action>;

/// \brief Makes the engine of one rank load the target map of its group.
/// \remarks Sans-I/O: the caller performs the returned actions. Does not decide
/// which map a step uses; the ranks agree on that, see next_map().
class map_participant
{
public:
    /// \param fallback Initial map of the engines, the target until a record is
    /// read.
    explicit map_participant(expert_map fallback);

    [[nodiscard]] participant_actions
    on_report(engine_map_report const& report, time_point now);

    /// \param record std::nullopt if the platform has no record of the group.
    [[nodiscard]] participant_actions
    on_record(result<std::optional<map_record>> const& record, time_point now);

    /// \param map std::nullopt if the engine could not be read.
    [[nodiscard]] participant_actions
    on_engine_map(std::optional<expert_map> const& map, time_point now);

    /// \brief Handles an order that the engine rejected because of a lower
    /// fencing token; the record is read again with the next report.
    void on_order_rejected() noexcept;

    /// \brief The newest record known.
    [[nodiscard]] map_record const& target() const noexcept { return target_; }

private:
    [[nodiscard]] participant_actions
    order(expert_map const& map, time_point now);
    [[nodiscard]] participant_actions advance(time_point now);
    [[nodiscard]] participant_actions join(time_point now);
    [[nodiscard]] participant_actions follow_target(time_point now);
    [[nodiscard]] bool record_may_be_newer() const noexcept;

    map_record target_;
    map_identity target_identity_;
    engine_map_report last_report_;
    /// Whether the record has to be read, though no newer version is known.
    bool must_read_ = true;
    time_point read_at_{};
    duration read_interval_{};
    map_identity last_ordered_;
    time_point ordered_at_{};
    time_point engine_read_at_{};
};

} // namespace hornbeamweir
