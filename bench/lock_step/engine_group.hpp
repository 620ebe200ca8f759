#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/routes/engine_profile.hpp>

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <vector>

namespace bench::lock_step
{

using hornbeamweir::duration;
using hornbeamweir::engine_profile;
using hornbeamweir::time_point;

/// \brief Identifies an attempt: entry, exchange and attempt number.
struct attempt_key
{
    std::size_t entry = 0;
    std::uint64_t exchange = 0;
    std::uint32_t attempt = 0;

    [[nodiscard]] friend auto
    operator<=>(attempt_key const&, attempt_key const&) = default;
};

/// \brief Prompt and answer of a stream.
struct stream_work
{
    std::uint32_t prompt_tokens = 0;
    std::uint32_t events = 0;
};

/// \brief Output of a pass for one stream.
struct stream_event
{
    attempt_key key;
    std::uint32_t number = 0;
    bool last = false;
};

/// \brief Model of a lock-step group of ranks whose experts are unevenly
/// loaded: every pass takes as long as its most loaded rank.
class engine_group
{
public:
    engine_group(engine_profile const& profile, std::size_t ranks)
        : profile_{profile}
        , running_(ranks)
        , waiting_(ranks)
    {
    }

    void submit(std::size_t rank, attempt_key key, stream_work work)
    {
        waiting_[rank].push_back({key, work, 0});
    }

    void cancel(attempt_key key)
    {
        for (std::vector<stream>& it : running_)
            std::erase_if(it, [&](stream const& s) { return s.key == key; });
        for (std::deque<stream>& it : waiting_)
            std::erase_if(it, [&](stream const& s) { return s.key == key; });
    }

    /// \brief Starts the next pass.
    /// \param skew Load of the most loaded rank divided by the mean.
    /// \returns The duration of the pass; zero if the group is idle.
    [[nodiscard]] duration begin_pass(double skew)
    {
        double max_work = 0;
        double total = 0;
        for (std::size_t rank = 0; rank < running_.size(); ++rank)
        {
            admit(rank);
            double const work = pass_work(running_[rank]);
            max_work = std::max(max_work, work);
            total += work;
        }
        if (total <= 0)
            return duration::zero();
        double const mean = total / static_cast<double>(running_.size());
        double const own = (1 - profile_.expert_share) * max_work;
        double const experts = profile_.expert_share * mean * skew;
        double const base =
            static_cast<double>(profile_.step.count()) * profile_.stride;
        return duration{static_cast<duration::rep>(base + own + experts)};
    }

    /// \brief Ends the pass that was started last.
    [[nodiscard]] std::vector<stream_event> end_pass()
    {
        std::vector<stream_event> out;
        for (std::vector<stream>& rank : running_)
        {
            for (stream& it : rank)
            {
                if (it.reading || it.work.prompt_tokens > 0)
                    continue;
                ++it.events;
                out.push_back({it.key, it.events, it.events >= it.work.events});
            }
            std::erase_if(
                rank,
                [](stream const& it) { return it.events >= it.work.events; });
        }
        return out;
    }

private:
    struct stream
    {
        attempt_key key;
        stream_work work;
        std::uint32_t events = 0;
        /// Whether the prompt is read, but not completely, in this pass.
        bool reading = false;
    };

    void admit(std::size_t rank)
    {
        while (running_[rank].size() < profile_.slots &&
               !waiting_[rank].empty())
        {
            running_[rank].push_back(waiting_[rank].front());
            waiting_[rank].pop_front();
        }
    }

    /// Work of one rank in this pass, in microseconds.
    [[nodiscard]] double pass_work(std::vector<stream>& rank) const
    {
        constexpr std::uint32_t chunk_tokens = 512;
        constexpr double us_per_s = 1e6;
        std::uint32_t readable = chunk_tokens * profile_.stride;
        double work = 0;
        for (stream& it : rank)
        {
            std::uint32_t const tokens =
                std::min(readable, it.work.prompt_tokens);
            readable -= tokens;
            it.work.prompt_tokens -= tokens;
            it.reading = it.work.prompt_tokens > 0;
            work += tokens / profile_.prompt_tokens_per_second * us_per_s;
            if (!it.reading)
            {
                work += static_cast<double>(profile_.per_sequence.count()) *
                        profile_.stride;
            }
        }
        return work;
    }

    engine_profile profile_;
    std::vector<std::vector<stream>> running_;
    std::vector<std::deque<stream>> waiting_;
};

} // namespace bench::lock_step
