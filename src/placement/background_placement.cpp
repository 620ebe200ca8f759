#include <hornbeamweir/placement/background_placement.hpp>

#include <boost/asio/post.hpp>

namespace hornbeamweir
{

namespace
{

/// Maximum number of reports queued while a plan is in progress; the oldest is
/// dropped first.
constexpr std::size_t max_queued_reports = 64;

} // namespace

background_placement::background_placement(
    std::unique_ptr<placement_policy> inner)
    : inner_{std::move(inner)}
{
}

background_placement::~background_placement()
{
    worker_.join();
}

std::optional<placement_decision> background_placement::decide(
    expert_map const& current, popularity_report const& report, time_point now)
{
    if (queue_.size() == max_queued_reports)
        queue_.erase(queue_.begin());
    queue_.push_back({current, report, now});
    bool const busy = pending_decision_.valid() &&
                      pending_decision_.wait_for(std::chrono::seconds{0}) !=
                          std::future_status::ready;
    if (busy)
        return std::nullopt;
    outcome decision = take_pending_decision(current);
    start_planning();
    return decision;
}

background_placement::outcome
background_placement::take_pending_decision(expert_map const& current)
{
    if (!pending_decision_.valid())
        return std::nullopt;
    outcome decision = pending_decision_.get();
    if (current.version != planned_version_)
        return std::nullopt;
    return decision;
}

void background_placement::start_planning()
{
    planned_version_ = queue_.back().current.version;
    std::shared_ptr<std::promise<outcome>> const promise =
        std::make_shared<std::promise<outcome>>();
    pending_decision_ = promise->get_future();
    boost::asio::post(
        worker_,
        [promise, &policy = *inner_, reports = std::exchange(queue_, {})]
        { promise->set_value(decide_all(policy, reports)); });
}

// Only the last decision is returned. Earlier ones are discarded, and the
// policy refunds their moves.
background_placement::outcome background_placement::decide_all(
    placement_policy& policy, std::vector<queued_report> const& reports)
{
    outcome decision;
    for (queued_report const& it : reports)
    {
        outcome next = policy.decide(it.current, it.report, it.received_at);
        if (next)
            decision = std::move(next);
    }
    return decision;
}

void background_placement::wait()
{
    if (pending_decision_.valid())
        pending_decision_.wait();
}

} // namespace hornbeamweir
