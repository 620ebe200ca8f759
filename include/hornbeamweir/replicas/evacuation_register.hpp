#pragma once

#include <hornbeamweir/core/identifier.hpp>

#include <cstdint>
#include <set>

namespace hornbeamweir
{

/// \brief Data centres that operators have taken out of service.
struct evacuations
{
    std::set<data_centre_id> data_centres;
    /// Revision of the platform's store at which the set was complete.
    std::int64_t revision = 0;

    [[nodiscard]] friend bool
    operator==(evacuations const&, evacuations const&) = default;
};

/// \brief Keeps the newest known evacuations.
/// \remarks Sans-I/O. Reads of the store and messages of other entries may
/// arrive in any order; the highest revision holds.
class evacuation_register
{
public:
    /// \returns Whether the set of evacuated data centres has changed.
    bool update(evacuations next)
    {
        if (next.revision <= current_.revision)
            return false;
        bool const changed = next.data_centres != current_.data_centres;
        current_ = std::move(next);
        return changed;
    }

    [[nodiscard]] evacuations const& current() const noexcept
    {
        return current_;
    }

private:
    evacuations current_;
};

} // namespace hornbeamweir
