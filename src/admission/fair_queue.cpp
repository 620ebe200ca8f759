#include <hornbeamweir/admission/fair_queue.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr double departure_smoothing = 0.05;
constexpr duration min_retry_after = std::chrono::seconds{1};
/// Retry-After is sent in whole seconds, rounded up: with a spread below two
/// seconds, all callers would retry in the same second.
constexpr duration min_spread = std::chrono::seconds{2};

} // namespace

fair_queue::fair_queue(random_source random) noexcept
    : random_{random}
{
}

// All requests of the same customer are ahead, and of each other customer as
// many as its weight entitles it to in the same time.
std::size_t
fair_queue::requests_ahead(level const& queue, queued_request const& item) const
{
    auto const own_flow = queue.flows.find(item.customer);
    double const own_ahead =
        own_flow == queue.flows.end()
            ? 0
            : static_cast<double>(own_flow->second.items.size());
    double ahead = own_ahead;
    for (auto it = queue.flows.begin(); it != queue.flows.end(); ++it)
    {
        if (it == own_flow || it->second.items.empty())
            continue;
        double const weight = it->second.items.front().item.weight;
        ahead += std::min(
            static_cast<double>(it->second.items.size()),
            (own_ahead + 1) * weight / item.weight);
    }
    return static_cast<std::size_t>(ahead);
}

duration
fair_queue::expected_wait(level const& queue, queued_request const& item) const
{
    std::size_t ahead = requests_ahead(queue, item);
    for (auto it = levels_.begin();
         it != levels_.end() && it->first < item.priority;
         ++it)
        ahead += it->second.size;
    return duration{static_cast<duration::rep>(
        departure_interval_us_ * static_cast<double>(ahead + 1))};
}

duration fair_queue::retry_after()
{
    double const drain =
        departure_interval_us_ * static_cast<double>(size_ + 1);
    duration const spread =
        std::max(min_spread, duration{static_cast<duration::rep>(drain)});
    return min_retry_after +
           duration{static_cast<duration::rep>(
               static_cast<double>(spread.count()) * random_.unit())};
}

std::optional<duration> fair_queue::push(queued_request item, time_point now)
{
    level& queue = levels_[item.priority];
    if (now + expected_wait(queue, item) > item.deadline)
        return retry_after();
    if (size_ == 0)
        last_departure_ = now;
    flow& customer_flow = queue.flows[item.customer];
    double const start_tag =
        std::max(queue.virtual_time, customer_flow.finish_tag);
    customer_flow.finish_tag = start_tag + 1.0 / item.weight;
    customer_flow.items.push_back({std::move(item), start_tag});
    ++queue.size;
    ++size_;
    return std::nullopt;
}

std::optional<queued_request> fair_queue::pop(time_point now)
{
    for (auto it = levels_.begin(); it != levels_.end(); ++it)
    {
        if (it->second.size == 0)
            continue;
        queued_request next = pop_from(it->second);
        double const interval_us =
            static_cast<double>((now - last_departure_).count());
        departure_interval_us_ +=
            departure_smoothing * (interval_us - departure_interval_us_);
        last_departure_ = now;
        --size_;
        return next;
    }
    return std::nullopt;
}

queued_request fair_queue::pop_from(level& queue)
{
    auto best = queue.flows.end();
    for (auto it = queue.flows.begin(); it != queue.flows.end(); ++it)
    {
        if (it->second.items.empty())
            continue;
        if (best == queue.flows.end() ||
            it->second.items.front().start_tag <
                best->second.items.front().start_tag)
            best = it;
    }
    tagged_request next = std::move(best->second.items.front());
    best->second.items.pop_front();
    queue.virtual_time = next.start_tag;
    --queue.size;
    remove_idle_flows(queue);
    return std::move(next.item);
}

// A flow without requests is kept until the virtual time reaches its finish
// tag. Without the tag, its customer could exceed its share with the next
// request.
void fair_queue::remove_idle_flows(level& queue)
{
    std::erase_if(
        queue.flows,
        [&](auto const& it)
        {
            return it.second.items.empty() &&
                   (queue.size == 0 ||
                    it.second.finish_tag <= queue.virtual_time);
        });
}

bool fair_queue::erase(request_id const& id)
{
    std::size_t removed = 0;
    for (auto queue = levels_.begin(); queue != levels_.end(); ++queue)
    {
        std::size_t removed_from_level = 0;
        for (auto it = queue->second.flows.begin();
             it != queue->second.flows.end();
             ++it)
        {
            removed_from_level += std::erase_if(
                it->second.items,
                [&](tagged_request const& queued)
                { return queued.item.id == id; });
        }
        queue->second.size -= removed_from_level;
        removed += removed_from_level;
        remove_idle_flows(queue->second);
    }
    size_ -= removed;
    return removed > 0;
}

// The time that the customer's own earlier requests take is a lower bound of
// the remaining wait, so no request expires that could still be served in time.
std::vector<queued_request> fair_queue::expire(time_point now)
{
    std::vector<queued_request> expired;
    for (auto queue = levels_.begin(); queue != levels_.end(); ++queue)
    {
        for (auto it = queue->second.flows.begin();
             it != queue->second.flows.end();
             ++it)
        {
            double wait_us = 0;
            for (tagged_request const& queued : it->second.items)
            {
                wait_us += departure_interval_us_;
                duration const wait{static_cast<duration::rep>(wait_us)};
                if (now + wait >= queued.item.deadline)
                    expired.push_back(queued.item);
            }
        }
    }
    for (queued_request const& it : expired)
        static_cast<void>(erase(it.id));
    return expired;
}

} // namespace hornbeamweir
