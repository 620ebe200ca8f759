#include <hornbeamweir/routes/route_book.hpp>

#include <algorithm>

namespace hornbeamweir
{

bool route_book::update(route_configuration next, time_point as_of)
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

void route_book::confirm(time_point as_of) noexcept
{
    proved_ = std::max(proved_, as_of);
}

} // namespace hornbeamweir
