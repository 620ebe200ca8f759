/// \file
/// \brief Compares strategies for claiming keys before execution, in virtual
/// time.

#include <hornbeamweir/core/random_source.hpp>

#include "bench/claim_strategies.hpp"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <fstream>

using namespace hornbeamweir;
using namespace bench;

namespace
{

constexpr duration load_duration = std::chrono::seconds{20};
constexpr duration fault_at = std::chrono::seconds{10};

/// Bounds at up to 1000 claims/s for "grouped", the strategy that is in use.
constexpr double max_calls_per_s = 160;
constexpr double max_p99_ms = 60;

enum class fault
{
    none,
    platform_down,
    entry_crash
};

/// Results that are collected during a run.
struct run_data
{
    std::vector<double> latencies_ms;
    std::size_t offered = 0;
    std::size_t refused = 0;
    /// Keys for which it is unknown whether they were executed.
    std::size_t unsettled = 0;
    /// Arrival of the last failed claim, in seconds after the fault.
    double last_failure_s = 0;
};

struct measurement
{
    run_data data;
    double calls_per_s = 0;
    double p50_ms = 0;
    double p99_ms = 0;
    /// Fraction of the requests whose key was claimed.
    double claimed_fraction = 0;
};

double quantile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    double const at = share * static_cast<double>(values.size() - 1);
    return values[static_cast<std::size_t>(at)];
}

double milliseconds(duration time)
{
    return static_cast<double>(time.count()) / 1000;
}

/// \brief Runs a strategy under Poisson arrivals and at most one fault.
class strategy_run
{
public:
    strategy_run(
        named_strategy const& strategy, double claims_per_s, fault kind)
        : platform_{loop_}
        , strategy_{strategy.make(loop_, platform_)}
        , claims_per_s_{claims_per_s}
        , kind_{kind}
    {
    }

    measurement measure()
    {
        if (kind_ == fault::platform_down)
            platform_.start_outage(time_point{fault_at});
        if (kind_ == fault::entry_crash)
        {
            loop_.at(
                time_point{fault_at},
                [this]
                {
                    crashed_ = true;
                    strategy_->crash_first_entry();
                });
        }
        arrive();
        loop_.run_until(time_point{load_duration});
        measurement out;
        out.calls_per_s = static_cast<double>(platform_.calls()) /
                          (milliseconds(load_duration) / 1000);
        loop_.run_until(time_point{load_duration + std::chrono::seconds{5}});
        data_.unsettled = strategy_->unsettled();
        out.p50_ms = quantile(data_.latencies_ms, 0.5);
        out.p99_ms = quantile(data_.latencies_ms, 0.99);
        out.claimed_fraction = static_cast<double>(data_.latencies_ms.size()) /
                               static_cast<double>(data_.offered);
        out.data = std::move(data_);
        return out;
    }

private:
    void arrive()
    {
        double const gap_us =
            -std::log(1 - random_.unit()) * 1e6 / claims_per_s_;
        time_point const when =
            loop_.now() + duration{static_cast<duration::rep>(gap_us)};
        if (when > time_point{load_duration})
            return;
        loop_.at(
            when,
            [this]
            {
                submit();
                arrive();
            });
    }

    void submit()
    {
        ++data_.offered;
        // After the crash, requests go to the remaining entries only.
        std::size_t const entry = crashed_ ? 1 + random_.below(entry_count - 1)
                                           : random_.below(entry_count);
        time_point const since = loop_.now();
        strategy_->claim(
            entry,
            std::to_string(data_.offered),
            [this, since](bool claimed)
            {
                if (claimed)
                {
                    data_.latencies_ms.push_back(
                        milliseconds(loop_.now() - since));
                    return;
                }
                ++data_.refused;
                data_.last_failure_s = std::max(
                    data_.last_failure_s,
                    milliseconds(since - time_point{fault_at}) / 1000);
            });
    }

    event_loop loop_;
    rate_limited_platform platform_;
    std::unique_ptr<claim_strategy> strategy_;
    double claims_per_s_;
    fault kind_;
    random_source random_{20261203};
    run_data data_;
    bool crashed_ = false;
};

bool measure_load(std::ofstream& csv)
{
    bool bounds_met = true;
    std::printf(
        "%-13s %9s %9s %8s %8s %8s\n",
        "way",
        "claims/s",
        "calls/s",
        "p50_ms",
        "p99_ms",
        "claimed");
    for (double const load : {10.0, 100.0, 250.0, 1000.0, 3000.0})
    {
        for (named_strategy const& strategy : strategies())
        {
            measurement const outcome =
                strategy_run{strategy, load, fault::none}.measure();
            std::printf(
                "%-13s %9.0f %9.1f %8.1f %8.1f %8.3f\n",
                strategy.name,
                load,
                outcome.calls_per_s,
                outcome.p50_ms,
                outcome.p99_ms,
                outcome.claimed_fraction);
            csv << strategy.name << ",none," << load << ','
                << outcome.calls_per_s << ',' << outcome.p50_ms << ','
                << outcome.p99_ms << ',' << outcome.claimed_fraction
                << ",0,0\n";
            bool const bounded =
                strategy.name == std::string{"grouped"} && load <= 1000;
            bounds_met = bounds_met &&
                         (!bounded || (outcome.calls_per_s <= max_calls_per_s &&
                                       outcome.p99_ms <= max_p99_ms &&
                                       outcome.claimed_fraction > 0.999));
        }
    }
    return bounds_met;
}

void measure_faults(std::ofstream& csv)
{
    struct fault_row
    {
        fault kind;
        char const* name;
    };
    std::printf(
        "\n%-13s %-14s %9s %10s %10s\n",
        "way",
        "fault",
        "refused",
        "until_s",
        "unsettled");
    for (fault_row const& row :
         {fault_row{fault::platform_down, "platform_down"},
          fault_row{fault::entry_crash, "entry_dies"}})
    {
        for (named_strategy const& strategy : strategies())
        {
            measurement const outcome =
                strategy_run{strategy, 250, row.kind}.measure();
            std::printf(
                "%-13s %-14s %9zu %10.2f %10zu\n",
                strategy.name,
                row.name,
                outcome.data.refused,
                outcome.data.last_failure_s,
                outcome.data.unsettled);
            csv << strategy.name << ',' << row.name << ",250,"
                << outcome.calls_per_s << ',' << outcome.p50_ms << ','
                << outcome.p99_ms << ',' << outcome.claimed_fraction << ','
                << outcome.data.refused << ',' << outcome.data.unsettled
                << '\n';
        }
    }
}

} // namespace

int main(int argc, char** argv)
{
    std::ofstream csv{argc > 1 ? argv[1] : "/dev/null"};
    csv << "way,fault,claims_per_s,calls_per_s,p50_ms,p99_ms,claimed,"
           "refused,unsettled\n";
    bool const bounds_met = measure_load(csv);
    measure_faults(csv);
    std::printf(
        "\nbound: grouped at 1000 claims/s, %.0f calls/s and %.0f ms: %s\n",
        max_calls_per_s,
        max_p99_ms,
        bounds_met ? "met" : "MISSED");
    return bounds_met ? 0 : 1;
}
