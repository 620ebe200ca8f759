#pragma once

#include <hornbeamweir/routes/route_table.hpp>

#include <memory>

namespace hornbeamweir
{

/// \brief Holds the newest configuration, and how recently it was proved to be
/// the newest.
/// \remarks Sans-I/O. Versions never go back, whatever a late read returns.
class versioned_route_table
{
public:
    /// \brief Takes a configuration that was read.
    /// \param as_of Instant at which it was certainly still the newest.
    /// \returns Whether it replaces the one in force.
    bool update(route_configuration next, time_point as_of);

    /// \brief Notes that nothing newer existed at an instant.
    void confirm(time_point as_of) noexcept;

    /// \brief Returns the table in force; null before the first one.
    [[nodiscard]] std::shared_ptr<route_table const> const&
    table() const noexcept
    {
        return table_;
    }

    /// \brief Age of the last proof that the configuration is the newest.
    [[nodiscard]] duration staleness(time_point now) const noexcept
    {
        return now - proved_;
    }

private:
    std::shared_ptr<route_table const> table_;
    time_point proved_{};
};

} // namespace hornbeamweir
