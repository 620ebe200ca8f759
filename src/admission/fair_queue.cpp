#include <hornbeamweir/admission/fair_queue.hpp>

#include <algorithm>

namespace hornbeamweir
{

namespace
{

constexpr double smoothing = 0.05;
constexpr duration min_retry_after = std::chrono::seconds{1};
/// Callers are told whole seconds, rounded up: over less than two of them,
/// all would return in the same one.
constexpr duration min_spread = std::chrono::seconds{2};

} // namespace

fair_queue::fair_queue(random_source random) noexcept
    : random_{random}
{
}

// A customer's own requests are ahead, and of each other customer as many as
// its weight earns in the same time.
std::size_t
fair_queue::ahead_of(level const& of, queued_request const& item) const
{
    auto const own = of.flows.find(item.customer);
    double const own_ahead =
        own == of.flows.end() ? 0
                              : static_cast<double>(own->second.items.size());
    double ahead = own_ahead;
    for (auto it = of.flows.begin(); it != of.flows.end(); ++it)
    {
        if (it == own || it->second.items.empty())
            continue;
        double const weight = it->second.items.front().item.weight;
        ahead += std::min(
            static_cast<double>(it->second.items.size()),
            (own_ahead + 1) * weight / item.weight);
    }
    return static_cast<std::size_t>(ahead);
}

duration
fair_queue::expected_wait(level const& of, queued_request const& item) const
{
    std::size_t ahead = ahead_of(of, item);
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
    level& of = levels_[item.priority];
    if (now + expected_wait(of, item) > item.deadline)
        return retry_after();
    if (size_ == 0)
        last_departure_ = now;
    flow& queue = of.flows[item.customer];
    double const start = std::max(of.virtual_time, queue.finish_tag);
    queue.finish_tag = start + 1.0 / item.weight;
    queue.items.push_back({std::move(item), start});
    ++of.size;
    ++size_;
    return std::nullopt;
}

std::optional<queued_request> fair_queue::pop(time_point now)
{
    for (auto of = levels_.begin(); of != levels_.end(); ++of)
    {
        if (of->second.size == 0)
            continue;
        queued_request next = pop_from(of->second);
        double const gap = static_cast<double>((now - last_departure_).count());
        departure_interval_us_ += smoothing * (gap - departure_interval_us_);
        last_departure_ = now;
        --size_;
        return next;
    }
    return std::nullopt;
}

queued_request fair_queue::pop_from(level& of)
{
    auto best = of.flows.end();
    for (auto it = of.flows.begin(); it != of.flows.end(); ++it)
    {
        if (it->second.items.empty())
            continue;
        if (best == of.flows.end() || it->second.items.front().start_tag <
                                          best->second.items.front().start_tag)
            best = it;
    }
    waiting next = std::move(best->second.items.front());
    best->second.items.pop_front();
    of.virtual_time = next.start_tag;
    --of.size;
    forget_idle(of);
    return std::move(next.item);
}

// An idle flow keeps its tag until the others have caught up with it.
void fair_queue::forget_idle(level& of)
{
    std::erase_if(
        of.flows,
        [&](auto const& it)
        {
            return it.second.items.empty() &&
                   (of.size == 0 || it.second.finish_tag <= of.virtual_time);
        });
}

bool fair_queue::erase(request_id const& id)
{
    std::size_t removed = 0;
    for (auto of = levels_.begin(); of != levels_.end(); ++of)
    {
        std::size_t here = 0;
        for (auto it = of->second.flows.begin(); it != of->second.flows.end();
             ++it)
        {
            here += std::erase_if(
                it->second.items,
                [&](waiting const& one) { return one.item.id == id; });
        }
        of->second.size -= here;
        removed += here;
        forget_idle(of->second);
    }
    size_ -= removed;
    return removed > 0;
}

// The wait behind a customer's own requests is the least that is left, so that
// no request is given up that could still be served in time.
std::vector<queued_request> fair_queue::expire(time_point now)
{
    std::vector<queued_request> late;
    for (auto of = levels_.begin(); of != levels_.end(); ++of)
    {
        for (auto it = of->second.flows.begin(); it != of->second.flows.end();
             ++it)
        {
            double wait_us = 0;
            for (waiting const& one : it->second.items)
            {
                wait_us += departure_interval_us_;
                duration const wait{static_cast<duration::rep>(wait_us)};
                if (now + wait >= one.item.deadline)
                    late.push_back(one.item);
            }
        }
    }
    for (queued_request const& it : late)
        static_cast<void>(erase(it.id));
    return late;
}

} // namespace hornbeamweir
