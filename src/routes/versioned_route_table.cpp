#include <hornbeamweir/routes/versioned_route_table.hpp>

#include <algorithm>

namespace hornbeamweir
{

bool versioned_route_table::update(route_configuration next, time_point as_of)
{
    bool const newer =
        !table_ || next.version > table_->configuration().version;
    if (newer)
        table_ = std::make_shared<route_table const>(std::move(next));
    else if (next.version < table_->configuration().version)
        return false;
    confirm(as_of);
    return newer;
}

void versioned_route_table::confirm(time_point as_of) noexcept
{
    confirmed_at_ = std::max(confirmed_at_, as_of);
}

} // namespace hornbeamweir
