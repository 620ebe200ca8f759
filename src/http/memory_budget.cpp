#include <hornbeamweir/http/memory_budget.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

/// Part of the limit that large holdings may use.
constexpr double large_share = 0.75;

} // namespace

bool memory_budget::fits(std::size_t held, std::size_t wanted) const noexcept
{
    if (wanted <= held)
        return true;
    std::size_t const limit =
        wanted > large_holding ? static_cast<std::size_t>(
                                     static_cast<double>(limit_) * large_share)
                               : limit_;
    return used_ - held + wanted <= limit;
}

void memory_budget::replace(std::size_t before, std::size_t after) noexcept
{
    used_ += after - before;
}

void memory_charge::set(std::size_t bytes) noexcept
{
    if (budget_)
        budget_->replace(bytes_, bytes);
    bytes_ = bytes;
}

bool memory_charge::try_set(std::size_t bytes) noexcept
{
    if (budget_ && !budget_->fits(bytes_, bytes))
        return false;
    set(bytes);
    return true;
}

} // namespace hornbeamweir
