#pragma once

#include <hornbeamweir/expert_map/map_planner.hpp>
#include <hornbeamweir/placement/rank_balancer.hpp>

#include "demand_shifts.hpp"

#include <deque>
#include <set>

namespace bench::lock_step
{

/// \brief Size of a group and its experts.
struct group_shape
{
    char const* name;
    std::size_t ranks;
    hornbeamweir::engine_profile engine;
};

/// \brief What a run of a group showed.
struct map_totals
{
    double mean_skew = 0;
    double mean_min_skew = 0;
    /// Mean skew just after a shift, and mean of the lowest before the next.
    double shifted_skew = 0;
    double reached_skew = 0;
    /// Share of the time that passes take longer while experts are copied.
    double copy_overhead = 0;
    /// Mean time from the first counts of a shift to a skew under 1.6; a shift
    /// that is never followed counts with the time to the next one.
    double follow_seconds = 0;
    /// Mean time from the first counts of a shift to the next planned map.
    double plan_seconds = 0;
    unsigned maps = 0;
    double gigabytes = 0;
};

/// \brief Simulates the passes, the counts and the maps of a group in virtual
/// time.
class mapped_group
{
public:
    mapped_group(group_shape const& shape, demand_kind kind, std::uint64_t seed)
        : shape_{shape}
        , demand_{kind, shape.engine.expert_sets, shape.engine.experts, seed}
        , random_{seed + 1}
        , in_force_(
              shape.engine.expert_sets,
              std::vector<std::vector<std::uint16_t>>(shape.ranks))
        , slowdowns_(shape.ranks, 1.0)
        , counts_(shape.ranks)
    {
        for (std::vector<std::vector<std::uint16_t>>& set : in_force_)
        {
            for (std::uint16_t n = 0; n < shape.engine.experts; ++n)
                set[n % shape.ranks].push_back(n);
        }
        // Ranks report counts as far as they fit the coordinator's link.
        constexpr double bytes_per_count = 1.2;
        constexpr std::size_t byte_budget = 30'000;
        double const bytes =
            bytes_per_count *
            static_cast<double>(
                shape.ranks * shape.engine.expert_sets * shape.engine.experts);
        reporting_stride_ = 1 + static_cast<std::size_t>(bytes / byte_budget);
        for (hornbeamweir::activation_counts& it : counts_)
            it = {1, 1, std::vector<std::uint64_t>(demand_.current().size())};
        update_skew();
    }

    map_totals run(hornbeamweir::duration length)
    {
        using std::chrono::milliseconds;
        constexpr hornbeamweir::duration shift_interval = milliseconds{4200};
        constexpr hornbeamweir::duration drift_interval = milliseconds{300};
        constexpr hornbeamweir::duration warm_up = milliseconds{2000};
        unsigned shifts = 0;
        unsigned ticks = 0;
        for (; now_ < begin + length; now_ += resolution)
        {
            hornbeamweir::duration const elapsed = now_ - begin;
            if (elapsed % shift_interval == warm_up)
            {
                demand_.shift();
                if (shifts > 0)
                    totals_.reached_skew += lowest_skew_;
                update_skew();
                totals_.shifted_skew += skew_;
                lowest_skew_ = skew_;
                ++shifts;
                follows_ = false;
                planned_ = false;
                first_counts_.reset();
            }
            if (elapsed % drift_interval == hornbeamweir::duration::zero())
            {
                demand_.drift();
                update_skew();
            }
            run_pass();
            report_counts();
            change_map();
            if (elapsed < warm_up)
                continue;
            ++ticks;
            lowest_skew_ = std::min(lowest_skew_, skew_);
            totals_.mean_skew += skew_;
            totals_.mean_min_skew += min_skew_;
            totals_.copy_overhead += is_copying() ? copy_slowdown : 0;
            follows_ = follows_ || skew_ < followed_skew;
            if (!follows_ && first_counts_)
                totals_.follow_seconds +=
                    std::chrono::duration<double>{resolution}.count();
        }
        totals_.mean_skew /= ticks;
        totals_.mean_min_skew /= ticks;
        totals_.copy_overhead /= ticks;
        totals_.follow_seconds /= shifts;
        totals_.plan_seconds /= shifts;
        totals_.shifted_skew /= shifts;
        totals_.reached_skew += lowest_skew_;
        totals_.reached_skew /= shifts;
        return totals_;
    }

private:
    static constexpr hornbeamweir::duration resolution =
        std::chrono::milliseconds{5};
    static constexpr hornbeamweir::time_point begin{std::chrono::seconds{100}};
    static constexpr double followed_skew = 1.6;
    static constexpr double copy_slowdown = 0.15;

    void update_skew()
    {
        std::size_t const sets = in_force_.size();
        std::size_t const experts = shape_.engine.experts;
        skew_ = 0;
        for (std::size_t set = 0; set < sets; ++set)
        {
            skew_ += hornbeamweir::placement_skew(
                in_force_[set],
                {demand_.current().data() + set * experts, experts},
                slowdowns_);
        }
        skew_ /= static_cast<double>(sets);
        min_skew_ =
            demand_.min_skew(shape_.ranks, shape_.engine.slots_per_rank);
    }

    [[nodiscard]] bool is_copying() const
    {
        return next_ && now_ >= copy_begins_ && now_ < copied_at_;
    }

    // The counts grow at the end of a pass. The requests of a pass are few, so
    // that its distribution differs from that of the demand.
    void run_pass()
    {
        constexpr double base_seconds = 0.040;
        constexpr double expert_share = 0.85;
        if (now_ < pass_ends_)
            return;
        if (pass_demand_ == demand_.current() && !first_counts_)
            first_counts_ = now_;
        for (std::size_t rank = 0; rank < counts_.size();
             rank += reporting_stride_)
            count_pass(counts_[rank].counts);
        pass_demand_ = demand_.current();
        double const seconds = base_seconds *
                               (1 - expert_share + expert_share * skew_) *
                               (is_copying() ? 1 + copy_slowdown : 1);
        pass_ends_ =
            now_ + hornbeamweir::duration{
                       static_cast<hornbeamweir::duration::rep>(1e6 * seconds)};
        pass_noise_.resize(pass_demand_.size());
        constexpr double common_noise = 0.5;
        for (double& it : pass_noise_)
            it = 1 + common_noise * (random_.unit() - 0.5);
    }

    void count_pass(std::vector<std::uint64_t>& counts)
    {
        constexpr double activations = 800;
        if (pass_demand_.empty())
            return;
        for (std::size_t n = 0; n < counts.size(); ++n)
        {
            double const mean = activations * pass_demand_[n] * pass_noise_[n];
            // Clustered: the choices of one prompt resemble each other.
            double const spread = 2 * std::sqrt(12 * mean);
            counts[n] += static_cast<std::uint64_t>(std::max(
                0.0, mean + spread * (random_.unit() - 0.5) + random_.unit()));
        }
    }

    // Each rank is read every 100 ms, and its report takes 20 ms.
    void report_counts()
    {
        using std::chrono::milliseconds;
        constexpr hornbeamweir::duration interval = milliseconds{100};
        constexpr hornbeamweir::duration delay = milliseconds{20};
        for (std::size_t rank = 0; rank < counts_.size();
             rank += reporting_stride_)
        {
            hornbeamweir::duration const phase =
                resolution * ((rank * 7) % (interval / resolution));
            if ((now_ - begin) % interval == phase)
                reports_.push_back({now_ + delay, rank, counts_[rank]});
        }
        while (!reports_.empty() && reports_.front().arrives_at <= now_)
        {
            planner_.on_counts(
                static_cast<std::uint32_t>(reports_.front().rank),
                reports_.front().counts,
                now_);
            reports_.pop_front();
        }
    }

    void change_map()
    {
        using std::chrono::milliseconds;
        constexpr hornbeamweir::duration tick = milliseconds{20};
        if (next_ && now_ >= in_force_at_)
        {
            totals_.gigabytes += copied_gigabytes(copied_at_);
            in_force_ = std::move(*next_);
            next_.reset();
            update_skew();
        }
        bool const may_plan =
            (now_ - begin) % tick == hornbeamweir::duration::zero() &&
            now_ - planned_at_ >= hornbeamweir::map_plan_interval &&
            (!next_ || now_ < copied_at_);
        if (!may_plan)
            return;
        if (next_ &&
            !planner_.is_outdated(*next_, shape_.engine, slowdowns_, now_))
            return;
        planned_at_ = now_;
        std::optional<hornbeamweir::planned_map> planned =
            planner_.plan(in_force_, shape_.engine, slowdowns_, now_);
        if (planned)
            start(std::move(planned->experts));
    }

    void start(hornbeamweir::group_experts next)
    {
        using std::chrono::milliseconds;
        // Planning on 0.15 of a core, and the order to copy.
        constexpr hornbeamweir::duration planning = milliseconds{50};
        constexpr hornbeamweir::duration switching = milliseconds{130};
        if (next_)
            totals_.gigabytes += copied_gigabytes(now_);
        next_ = std::move(next);
        new_experts_.assign(shape_.ranks, 0);
        for (std::size_t set = 0; set < in_force_.size(); ++set)
        {
            for (std::size_t rank = 0; rank < shape_.ranks; ++rank)
            {
                for (std::uint16_t const it : (*next_)[set][rank])
                    new_experts_[rank] += std::find(
                                              in_force_[set][rank].begin(),
                                              in_force_[set][rank].end(),
                                              it) == in_force_[set][rank].end();
            }
        }
        copy_begins_ = now_ + planning;
        copied_at_ =
            copy_begins_ + copy_time(*std::max_element(
                               new_experts_.begin(), new_experts_.end()));
        in_force_at_ = copied_at_ + switching;
        if (first_counts_ && !planned_)
            totals_.plan_seconds +=
                std::chrono::duration<double>{now_ - *first_counts_}.count();
        planned_ = planned_ || first_counts_.has_value();
        ++totals_.maps;
    }

    [[nodiscard]] hornbeamweir::duration copy_time(std::size_t experts) const
    {
        return hornbeamweir::duration{static_cast<hornbeamweir::duration::rep>(
            1e6 * 8 * static_cast<double>(experts) *
            shape_.engine.expert_megabytes /
            shape_.engine.link_megabits_per_second)};
    }

    [[nodiscard]] double copied_gigabytes(hornbeamweir::time_point until) const
    {
        constexpr double gigabytes_per_megabyte = 1e-3;
        if (until <= copy_begins_)
            return 0;
        std::size_t const possible = static_cast<std::size_t>(
            (until - copy_begins_) / std::max(copy_time(1), resolution / 100));
        std::size_t copied = 0;
        for (std::size_t const it : new_experts_)
            copied += std::min(it, possible);
        return static_cast<double>(copied) * shape_.engine.expert_megabytes *
               gigabytes_per_megabyte;
    }

    struct report
    {
        hornbeamweir::time_point arrives_at;
        std::size_t rank;
        hornbeamweir::activation_counts counts;
    };

    group_shape shape_;
    demand_shifts demand_;
    hornbeamweir::random_source random_;
    hornbeamweir::group_experts in_force_;
    std::vector<double> slowdowns_;
    std::vector<hornbeamweir::activation_counts> counts_;
    std::size_t reporting_stride_ = 1;
    std::deque<report> reports_;
    hornbeamweir::map_planner planner_;
    hornbeamweir::time_point now_ = begin;
    hornbeamweir::time_point pass_ends_ = begin;
    std::vector<double> pass_demand_;
    std::vector<double> pass_noise_;
    hornbeamweir::time_point planned_at_{};
    /// Map that is copied, and the times of its phases.
    std::optional<hornbeamweir::group_experts> next_;
    std::vector<std::size_t> new_experts_;
    hornbeamweir::time_point copy_begins_{};
    hornbeamweir::time_point copied_at_{};
    hornbeamweir::time_point in_force_at_{};
    double skew_ = 1;
    double min_skew_ = 1;
    double lowest_skew_ = 9;
    bool follows_ = true;
    bool planned_ = true;
    std::optional<hornbeamweir::time_point> first_counts_;
    map_totals totals_;
};

} // namespace bench::lock_step
