#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/store_position.hpp>

#include <cstdint>
#include <map>
#include <set>

namespace hornbeamweir
{

/// \brief Data centres that operators have taken out of service.
struct evacuations
{
    std::set<data_centre_id> data_centres;
    /// Revision of the platform's store at which the set was complete.
    std::int64_t revision = 0;
    /// Era of the revision; see store_position.
    std::uint64_t era = 0;

    [[nodiscard]] store_position position() const noexcept
    {
        return {era, revision};
    }
    [[nodiscard]] friend bool
    operator==(evacuations const&, evacuations const&) = default;
};

/// \brief Keeps the newest known evacuations.
/// \remarks Sans-I/O. Reads of the store and messages of other entries may
/// arrive in any order; the highest position holds. An evacuation that a store
/// has lost, because it was replaced by an older copy, is retained until the
/// operator has written it again, but for no longer than retention_time.
class evacuation_register
{
public:
    /// Upper limit for the time in which operators repeat lost writes. A data
    /// centre that was returned to service in that time, which leaves no trace
    /// in the older copy, stays out of service for as long.
    static constexpr duration retention_time = std::chrono::seconds{10};

    /// Maximum number of data centres up to which other entries are believed.
    static constexpr std::size_t max_retained = 256;

    /// Evacuations that the store has lost, and for how much longer they hold.
    using retained_map = std::map<data_centre_id, duration>;

    /// \brief Applies a set that was read from the store.
    /// \returns Whether the data centres out of service have changed.
    bool update(evacuations next, time_point now);

    /// \brief Adopts what another entry retains, which a process that has
    /// started since does not know.
    /// \param era Era of the store in which the other entry retains them.
    /// \returns Whether the data centres out of service have changed.
    bool
    adopt_retained(retained_map const& told, std::uint64_t era, time_point now);

    /// \brief Ends the retention of evacuations that were not written again.
    /// \returns Whether the data centres out of service have changed.
    bool expire(time_point now);

    /// \returns The data centres out of service, with the position of stored().
    [[nodiscard]] evacuations const& current() const noexcept
    {
        return current_;
    }
    /// \returns The newest set in the store.
    [[nodiscard]] evacuations const& stored() const noexcept { return stored_; }

    /// \returns The evacuations that this process retains by itself. Those
    /// adopted from others are left out, as they would be passed on in turn.
    [[nodiscard]] retained_map retained(time_point now) const;

private:
    struct retention
    {
        time_point until{};
        bool is_adopted = false;
    };

    void retain_lost(evacuations const& next, time_point now);
    /// \returns Whether the data centres out of service have changed.
    bool combine();

    evacuations stored_;
    evacuations current_;
    std::map<data_centre_id, retention> retained_;
    /// Data centres that the store of this era has contained, or whose
    /// retention has ended: only the store's set counts for them.
    std::set<data_centre_id> settled_;
};

} // namespace hornbeamweir
