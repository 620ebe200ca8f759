#pragma once

#include <hornbeamweir/routes/route_table.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief Holds the newest configuration, and when it was last confirmed to be
/// the newest.
/// \remarks Sans-I/O. The version never decreases: delayed reads of older
/// versions are ignored.
class versioned_route_table
{
public:
    /// \brief Applies a configuration that was read.
    /// \param as_of Latest time at which it is known to have been the newest.
    /// \returns Whether it replaces the current one.
    bool update(route_configuration next, time_point as_of);

    /// \brief Records that no newer configuration existed at a time.
    void confirm(time_point as_of) noexcept;

    /// \returns The current table; null before the first configuration.
    [[nodiscard]] std::shared_ptr<route_table const> const&
    table() const noexcept
    {
        return table_;
    }

    /// \returns A time at which the configuration was the newest.
    [[nodiscard]] time_point confirmed_at() const noexcept
    {
        return confirmed_at_;
    }

    /// \returns The time since the configuration was last known to be the
    /// newest.
    [[nodiscard]] duration staleness(time_point now) const noexcept
    {
        return now - confirmed_at_;
    }

private:
    std::shared_ptr<route_table const> table_;
    time_point confirmed_at_{};
};

} // namespace hornbeamweir
