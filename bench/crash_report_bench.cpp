#include <hornbeamweir/peers/crash_messages.hpp>
#include <hornbeamweir/relay/crash_report_schedule.hpp>
#include <hornbeamweir/relay/request_quarantine.hpp>

#include <cstdio>
#include <fstream>
#include <numeric>

/// \file
/// \brief How long it takes until all entries know of a crashing prompt part,
/// and what that costs, in virtual time.

namespace
{

using namespace hornbeamweir;
using namespace hornbeamweir::relay;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds step{10};
constexpr double loss = 0.1;
constexpr int runs = 5;
/// Time within which the users ask that all entries know.
constexpr double max_spread_ms = 3000;
/// Bytes that an entry may send per second for all control traffic.
constexpr double max_idle_bytes = 17'000;

struct figures
{
    double worst_spread_ms = 0;
    double spread_datagrams = 0;
    double idle_datagrams = 0;
    double idle_bytes = 0;
    double worst_newcomer_ms = 0;
};

/// \brief Entries of which one has blamed a part after two crashes.
class fleet
{
public:
    fleet(std::size_t n, std::uint64_t seed)
        : random_{seed}
        , quarantines_(n)
    {
        for (std::size_t it = 0; it < n; ++it)
        {
            names_.emplace_back("entry-" + std::to_string(it));
            schedules_.emplace_back(random_source{random_.next()});
        }
        quarantines_[0].merge(evidence(), now_);
    }

    void run_step()
    {
        now_ += step;
        for (std::size_t from = 0; from < names_.size(); ++from)
        {
            if (quarantines_[from].empty())
                continue;
            std::vector<process_name> others = names_;
            others.erase(others.begin() + static_cast<std::ptrdiff_t>(from));
            std::vector<process_name> const chosen = schedules_[from].on_tick(
                quarantines_[from].revision(), std::move(others), now_);
            if (chosen.empty())
                continue;
            wire::crash_report const message =
                encode_crash_report(quarantines_[from].report(), now_);
            for (process_name const& to : chosen)
                deliver(to, message);
        }
    }

    void restart(std::size_t n)
    {
        quarantines_[n] = request_quarantine{};
        schedules_[n] = crash_report_schedule{random_source{random_.next()}};
    }

    [[nodiscard]] bool knows(std::size_t n) const
    {
        return quarantines_[n].is_blocked({blamed_});
    }
    [[nodiscard]] std::size_t size() const { return names_.size(); }
    [[nodiscard]] double datagrams() const { return datagrams_; }
    [[nodiscard]] double bytes() const { return bytes_; }

private:
    /// A report of three crashes with five suspects each, and one blame.
    [[nodiscard]] crash_report evidence() const
    {
        crash_report out;
        for (int n = 0; n < 3; ++n)
        {
            crash_record it;
            it.run = {backend_server_id{"i-58c4478c5" + std::to_string(n)}, n};
            it.at = now_;
            it.confirmed = true;
            for (char const* part :
                 {"5c1e07a2", "91bd3f06", "e4402b7d", "0a1b2c3d", "11223344"})
            {
                request_trait const trait{trait_kind::prompt_part, part};
                it.suspects.emplace(trait, seconds{1});
                it.answered_before.insert(trait);
            }
            out.crashes.push_back(std::move(it));
        }
        trait_blame blame;
        blame.trait = blamed_;
        blame.blocked_until = now_ + seconds{30};
        out.blames.push_back(std::move(blame));
        return out;
    }

    void deliver(process_name const& to, wire::crash_report const& message)
    {
        ++datagrams_;
        bytes_ += static_cast<double>(message.ByteSizeLong());
        if (random_.unit() < loss)
            return;
        std::size_t const n = std::stoul(to.str().substr(6));
        quarantines_[n].merge(decode_crash_report(message, now_), now_);
    }

    request_trait const blamed_{trait_kind::prompt_part, "5c1e07a2"};
    random_source random_;
    time_point now_{seconds{100}};
    std::vector<process_name> names_;
    std::vector<request_quarantine> quarantines_;
    std::vector<crash_report_schedule> schedules_;
    double datagrams_ = 0;
    double bytes_ = 0;
};

figures measure(std::size_t n)
{
    figures out;
    for (int run = 0; run < runs; ++run)
    {
        fleet it{n, static_cast<std::uint64_t>(run) + 1};
        double ms = 0;
        for (std::size_t known = 0; known < n;)
        {
            it.run_step();
            ms += static_cast<double>(step.count());
            known += it.knows(known) ? 1 : 0;
            while (known < n && it.knows(known))
                ++known;
        }
        out.worst_spread_ms = std::max(out.worst_spread_ms, ms);
        for (int left = 0; left < 200; ++left)
            it.run_step();
        double const entries = static_cast<double>(n);
        out.spread_datagrams += it.datagrams() / entries / runs;
        double const datagrams = it.datagrams();
        double const bytes = it.bytes();
        constexpr int idle_s = 5;
        for (int left = 0; left < idle_s * 100; ++left)
            it.run_step();
        out.idle_datagrams +=
            (it.datagrams() - datagrams) / entries / idle_s / runs;
        out.idle_bytes += (it.bytes() - bytes) / entries / idle_s / runs;
        it.restart(n / 2);
        ms = 0;
        while (n > 1 && !it.knows(n / 2))
        {
            it.run_step();
            ms += static_cast<double>(step.count());
        }
        out.worst_newcomer_ms = std::max(out.worst_newcomer_ms, ms);
    }
    return out;
}

} // namespace

int main(int argc, char** argv)
{
    std::ofstream csv{argc > 1 ? argv[1] : "crash_report.csv"};
    csv << "entries,worst_spread_ms,spread_datagrams,idle_datagrams_per_s,"
           "idle_bytes_per_s,worst_newcomer_ms\n";
    bool broken = false;
    for (std::size_t const n : {5, 52, 430})
    {
        figures const it = measure(n);
        csv << n << ',' << it.worst_spread_ms << ',' << it.spread_datagrams
            << ',' << it.idle_datagrams << ',' << it.idle_bytes << ','
            << it.worst_newcomer_ms << '\n';
        std::printf(
            "%3zu entries: all know in %4.0f ms at most, %5.1f datagrams an "
            "entry in the first 2 s; then %4.1f datagrams and %6.0f bytes a "
            "second; a restarted entry knows in %4.0f ms at most\n",
            n,
            it.worst_spread_ms,
            it.spread_datagrams,
            it.idle_datagrams,
            it.idle_bytes,
            it.worst_newcomer_ms);
        bool const is_late = it.worst_spread_ms > max_spread_ms ||
                             it.worst_newcomer_ms > max_spread_ms;
        if (is_late)
            std::printf("BROKEN spread_%zu\n", n);
        if (it.idle_bytes > max_idle_bytes)
            std::printf("BROKEN bytes_%zu\n", n);
        broken = broken || is_late || it.idle_bytes > max_idle_bytes;
    }
    return broken ? 1 : 0;
}
