#pragma once

#include <hornbeamweir/placement/placement_policy.hpp>

#include <boost/asio/thread_pool.hpp>

#include <future>
#include <memory>
#include <vector>

namespace hornbeamweir
{

/// \brief Runs another policy on a worker thread, so that planning for many
/// layers does not block the caller.
/// \remarks A decision is returned by a call after the one that passed the
/// report, and is discarded if the map has changed in the meantime. Reports
/// that arrive during a plan are queued. Not thread-safe.
class background_placement final : public placement_policy
{
public:
    explicit background_placement(std::unique_ptr<placement_policy> inner);
    ~background_placement() override;

    [[nodiscard]] std::optional<placement_decision> decide(
        expert_map const& current,
        popularity_report const& report,
        time_point now) override;

    /// \brief Blocks until the plan in progress is complete.
    /// \remarks Reports that were queued during that plan are not waited for.
    void wait();

private:
    struct queued_report
    {
        expert_map current;
        popularity_report report;
        time_point received_at{};
    };

    using outcome = std::optional<placement_decision>;

    void start_planning();
    [[nodiscard]] outcome take_pending_decision(expert_map const& current);
    [[nodiscard]] static outcome decide_all(
        placement_policy& policy, std::vector<queued_report> const& reports);

    std::unique_ptr<placement_policy> inner_;
    std::vector<queued_report> queue_;
    std::future<outcome> pending_decision_;
    std::uint64_t planned_version_ = 0;
    boost::asio::thread_pool worker_{1};
};

} // namespace hornbeamweir
