#include <hornbeamweir/routing/retry_budget.hpp>

#include <algorithm>

namespace hornbeamweir
{

void retry_budget::on_request() noexcept
{
    tokens_ = std::min(capacity, tokens_ + tokens_per_request);
}

void retry_budget::take() noexcept
{
    tokens_ = std::max(0.0, tokens_ - 1);
}

} // namespace hornbeamweir
