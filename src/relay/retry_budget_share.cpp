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

bool retry_budget_share::try_consume(std::size_t entries, time_point now)
{
    bucket& newest = current(now);
    double requests = 0;
    double retries = 1;
    for (bucket const& it : buckets_)
    {
        requests += it.requests;
        retries += it.retries;
    }
    double const allowance = limits_.allowance / process_starts_per_window /
                             static_cast<double>(entries);
    if (retries > limits_.ratio * requests + allowance)
        return false;
    ++newest.retries;
    return true;
}

} // namespace hornbeamweir
