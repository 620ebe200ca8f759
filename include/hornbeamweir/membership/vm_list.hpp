#pragma once

#include <hornbeamweir/core/identifier.hpp>

#include <cstdint>
#include <membership.pb.h>
#include <set>

namespace hornbeamweir
{

/// \brief The platform's VM list, reduced to the VMs that are leaving.
/// \remarks The list may be out of date; it supplements heartbeats and the
/// configuration.
class vm_list
{
public:
    vm_list() = default;
    vm_list(std::int64_t revision, std::set<vm_id> leaving) noexcept
        : revision_{revision}
        , leaving_{std::move(leaving)}
    {
    }

    [[nodiscard]] std::int64_t revision() const noexcept { return revision_; }
    [[nodiscard]] std::set<vm_id> const& leaving() const noexcept
    {
        return leaving_;
    }

    /// \brief Replaces this list if the given one is newer.
    /// \returns Whether it was newer.
    bool replace_if_newer(vm_list newer);

private:
    /// Increases with each change; at least the revision of the platform's
    /// store that the list includes.
    std::int64_t revision_ = 0;
    std::set<vm_id> leaving_;
};

[[nodiscard]] wire::vm_notice to_wire(vm_list const& list);
[[nodiscard]] vm_list from_wire(wire::vm_notice const& notice);

} // namespace hornbeamweir
