#include <hornbeamweir/relay/retry_budget_share.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr duration bucket_width = std::chrono::milliseconds{250};
/// Time within which a request's part of a retry must be spent. A longer time
/// allows larger bursts, but fewer retries for each request.
constexpr duration credit_time = std::chrono::milliseconds{2500};
/// Maximum time from the reservation of a retry until it arrives: it waits for
/// a replica, and for a connection.
constexpr duration max_dispatch_time = std::chrono::milliseconds{2500};
/// Time after which a retry that was sent arrives no more: a connection on
/// which sent bytes stay unacknowledged fails after 3 s.
constexpr duration max_transit_time = std::chrono::seconds{3};

} // namespace

// Within a window arrive the retries that were earned from credit_time and
// max_dispatch_time before it until its end, by whichever entry.
double retry_budget_share::earned_per_request() const
{
    duration const span = limits_.window + credit_time + max_dispatch_time;
    return limits_.ratio * static_cast<double>(limits_.window.count()) /
           static_cast<double>(span.count());
}

// Processes that end in series would otherwise spend a part with each start.
double retry_budget_share::allowance(std::size_t entries, time_point now) const
{
    if (now - started_at_ <= limits_.window + max_transit_time)
        return 0;
    return limits_.allowance / static_cast<double>(entries);
}

void retry_budget_share::expire(time_point now)
{
    while (!earned_.empty() && now - earned_.front().start > credit_time)
        earned_.pop_front();
    while (!sent_.empty() &&
           now - sent_.front() > limits_.window + max_transit_time)
        sent_.pop_front();
}

void retry_budget_share::on_request(time_point now)
{
    expire(now);
    if (earned_.empty() || now - earned_.back().start >= bucket_width)
        earned_.push_back({now, 0});
    earned_.back().retries += earned_per_request();
}

double retry_budget_share::earned(time_point now)
{
    expire(now);
    double out = 0;
    for (bucket const& it : earned_)
        out += it.retries;
    return out;
}

std::size_t retry_budget_share::allowance_used(time_point now)
{
    expire(now);
    return sent_.size() + reserved_;
}

std::optional<retry_source>
retry_budget_share::try_reserve(std::size_t entries, time_point now)
{
    if (earned(now) >= 1)
    {
        double price = 1;
        for (bucket& it : earned_)
        {
            double const paid = std::min(price, it.retries);
            it.retries -= paid;
            price -= paid;
        }
        return retry_source::requests;
    }
    if (static_cast<double>(allowance_used(now) + 1) > allowance(entries, now))
        return std::nullopt;
    ++reserved_;
    return retry_source::allowance;
}

void retry_budget_share::on_sent(retry_source source, time_point now)
{
    if (source != retry_source::allowance)
        return;
    --reserved_;
    sent_.push_back(now);
}

// What requests have earned would have expired before long, and is not given
// back.
void retry_budget_share::release(retry_source source) noexcept
{
    if (source == retry_source::allowance)
        --reserved_;
}

void retry_budget_share::on_not_received(
    retry_source source, time_point sent_at)
{
    auto const it = std::find(sent_.begin(), sent_.end(), sent_at);
    if (source == retry_source::allowance && it != sent_.end())
        sent_.erase(it);
}

} // namespace hornbeamweir
