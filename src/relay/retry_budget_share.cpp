#include <hornbeamweir/relay/retry_budget_share.hpp>

namespace hornbeamweir
{

namespace
{

constexpr duration bucket_width = std::chrono::milliseconds{250};
/// The count is lost on a restart; the allowance permits one restart per
/// window.
constexpr double process_starts_per_window = 2;

} // namespace

retry_budget_share::bucket& retry_budget_share::current(time_point now)
{
    while (!buckets_.empty() && now - buckets_.front().start > limits_.window)
        buckets_.pop_front();
    if (buckets_.empty() || now - buckets_.back().start >= bucket_width)
        buckets_.push_back({now, 0, 0});
    return buckets_.back();
}

void retry_budget_share::on_request(time_point now)
{
    ++current(now).requests;
}

retry_usage retry_budget_share::usage(time_point now)
{
    static_cast<void>(current(now));
    retry_usage out;
    for (bucket const& it : buckets_)
    {
        out.requests += it.requests;
        out.retries += it.retries;
    }
    return out;
}

bool retry_budget_share::try_consume(std::size_t entries, time_point now)
{
    retry_usage const used = usage(now);
    double const allowance = limits_.allowance / process_starts_per_window /
                             static_cast<double>(entries);
    if (used.retries + 1 > limits_.ratio * used.requests + allowance)
        return false;
    ++current(now).retries;
    return true;
}

} // namespace hornbeamweir
