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

// Requests ahead of a new one: all queued requests of its customer, and for
// each other customer the number that is served in the meantime according to
// the weights.
std::size_t fair_queue::requests_ahead(
    priority_level const& level, queued_request const& item) const
{
    auto const own_flow = level.flows.find(item.customer);
    double const own_ahead =
        own_flow == level.flows.end()
            ? 0
            : static_cast<double>(own_flow->second.items.size());
    double ahead = own_ahead;
    for (auto it = level.flows.begin(); it != level.flows.end(); ++it)
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

duration fair_queue::expected_wait(
    priority_level const& level, queued_request const& item) const
{
    std::size_t ahead = requests_ahead(level, item);
    for (auto it = levels_.begin();
         it != levels_.end() && it->first < item.priority;
         ++it)
        ahead += it->second.size;
    return duration{static_cast<duration::rep>(
        departure_interval_us_ * static_cast<double>(ahead + 1))};
}

duration fair_queue::retry_after()
{
    double const drain_us =
        departure_interval_us_ * static_cast<double>(size_ + 1);
    duration const spread =
        std::max(min_spread, duration{static_cast<duration::rep>(drain_us)});
    return min_retry_after +
           duration{static_cast<duration::rep>(
               static_cast<double>(spread.count()) * random_.unit())};
}

// The first request of an empty queue is accepted whatever the departures were:
// they are measured only while requests depart, so that a slow period would
// otherwise reject all requests for ever.
std::optional<duration> fair_queue::push(queued_request item, time_point now)
{
    if (size_ > 0 &&
        now + expected_wait(levels_[item.priority], item) > item.deadline)
        return retry_after();
    if (size_ == 0)
        last_departure_ = now;
    insert(std::move(item));
    return std::nullopt;
}

void fair_queue::insert(queued_request item)
{
    priority_level& level = levels_[item.priority];
    flow& customer_flow = level.flows[item.customer];
    double const start_tag =
        std::max(level.virtual_time, customer_flow.finish_tag);
    customer_flow.finish_tag = start_tag + 1.0 / item.weight;
    customer_flow.items.push_back({std::move(item), start_tag});
    ++level.size;
    ++size_;
}

// After an outage, the requests that have waited for its end are late whatever
// is done. In the order of arrival, they would make those that follow late too.
void fair_queue::demote_late(time_point now)
{
    std::vector<queued_request> late;
    for (auto level = levels_.begin(); level != levels_.end(); ++level)
    {
        for (auto it = level->second.flows.begin();
             it != level->second.flows.end();
             ++it)
        {
            for (tagged_request const& queued : it->second.items)
            {
                if (queued.item.late_after <= now)
                    late.push_back(queued.item);
            }
        }
    }
    for (queued_request& it : late)
    {
        static_cast<void>(erase(it.id));
        it.late_after = time_point::max();
        ++it.priority;
        insert(std::move(it));
    }
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

queued_request fair_queue::pop_from(priority_level& level)
{
    auto best = level.flows.end();
    for (auto it = level.flows.begin(); it != level.flows.end(); ++it)
    {
        if (it->second.items.empty())
            continue;
        if (best == level.flows.end() ||
            it->second.items.front().start_tag <
                best->second.items.front().start_tag)
            best = it;
    }
    tagged_request next = std::move(best->second.items.front());
    best->second.items.pop_front();
    level.virtual_time = next.start_tag;
    --level.size;
    remove_idle_flows(level);
    return std::move(next.item);
}

// A flow without requests is kept until the virtual time reaches its finish
// tag. Without the tag, its customer could exceed its share with the next
// request.
void fair_queue::remove_idle_flows(priority_level& level)
{
    std::erase_if(
        level.flows,
        [&](auto const& it)
        {
            return it.second.items.empty() &&
                   (level.size == 0 ||
                    it.second.finish_tag <= level.virtual_time);
        });
}

bool fair_queue::erase(request_id const& id)
{
    std::size_t removed = 0;
    for (auto level = levels_.begin(); level != levels_.end(); ++level)
    {
        std::size_t removed_from_level = 0;
        for (auto it = level->second.flows.begin();
             it != level->second.flows.end();
             ++it)
        {
            removed_from_level += std::erase_if(
                it->second.items,
                [&](tagged_request const& queued)
                { return queued.item.id == id; });
        }
        level->second.size -= removed_from_level;
        removed += removed_from_level;
        remove_idle_flows(level->second);
    }
    size_ -= removed;
    return removed > 0;
}

// Counts only earlier requests of the same customer. This underestimates the
// wait, so a request that can still meet its deadline never expires.
std::vector<queued_request> fair_queue::expire(time_point now)
{
    std::vector<queued_request> expired;
    for (auto level = levels_.begin(); level != levels_.end(); ++level)
    {
        for (auto it = level->second.flows.begin();
             it != level->second.flows.end();
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
