#include <hornbeamweir/relay/retry_budget_share.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr duration bucket_width = std::chrono::milliseconds{250};
/// Time after which a retry that was sent arrives no more: a connection on
/// which sent bytes stay unacknowledged fails after 3 s.
constexpr duration max_transit_time = std::chrono::seconds{3};
/// The count is lost on a restart; the allowance permits one restart per
/// window.
constexpr double process_starts_per_window = 2;

} // namespace

// A bucket of requests is dropped as a whole as soon as any of them is too old,
// so that requests are never counted for too long.
void retry_budget_share::expire(time_point now)
{
    while (!requests_.empty() && now - requests_.front().start > limits_.window)
        requests_.pop_front();
    while (!sent_.empty() &&
           now - sent_.front() > limits_.window + max_transit_time)
        sent_.pop_front();
}

void retry_budget_share::on_request(time_point now)
{
    expire(now);
    if (requests_.empty() || now - requests_.back().start >= bucket_width)
        requests_.push_back({now, 0});
    ++requests_.back().requests;
}

retry_usage retry_budget_share::usage(time_point now)
{
    expire(now);
    retry_usage out;
    for (bucket const& it : requests_)
        out.requests += it.requests;
    out.retries = static_cast<std::uint32_t>(sent_.size()) + reserved_;
    return out;
}

bool retry_budget_share::try_reserve(std::size_t entries, time_point now)
{
    retry_usage const used = usage(now);
    double const allowance = limits_.allowance / process_starts_per_window /
                             static_cast<double>(entries);
    if (used.retries + 1 > limits_.ratio * used.requests + allowance)
        return false;
    ++reserved_;
    return true;
}

void retry_budget_share::on_sent(time_point now)
{
    release();
    sent_.push_back(now);
}

void retry_budget_share::on_not_received(time_point sent_at)
{
    auto const it = std::find(sent_.begin(), sent_.end(), sent_at);
    if (it != sent_.end())
        sent_.erase(it);
}

} // namespace hornbeamweir
