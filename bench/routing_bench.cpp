#include <hornbeamweir/routing/cost_aware_policy.hpp>

#include "bench/routing/baselines.hpp"

#include <fstream>
#include <iomanip>
#include <iostream>

namespace
{

using bench::load_model;
using bench::measurement;
using bench::scenario;
using hornbeamweir::random_source;
using hornbeamweir::routing_policy;

constexpr double max_attempts_per_request = 1.2;
constexpr double min_relative_hit_rate = 0.9;

struct named_policy
{
    std::string name;
    load_model::policy_factory make_policy;
};

template <typename Policy>
named_policy make_named_policy(std::string name)
{
    return {std::move(name), [](random_source random, load_model const&) {
                return std::make_unique<Policy>(random);
            }};
}

/// Prints the results as a table and optionally writes them as CSV.
class report
{
public:
    explicit report(char const* path)
    {
        if (path != nullptr)
            csv_.open(path);
        csv_ << "scenario,policy,p50_ms,p99_ms,skew,attempts_per_request,"
                "succeeded_share,prefix_hit_share\n";
        std::cout << std::left << std::setw(16) << "scenario" << std::setw(16)
                  << "policy" << std::right << std::setw(9) << "p50 ms"
                  << std::setw(9) << "p99 ms" << std::setw(8) << "skew"
                  << std::setw(10) << "attempts" << std::setw(10) << "success"
                  << std::setw(8) << "hits" << '\n';
    }

    void
    add(scenario const& parameters,
        std::string const& policy,
        measurement& result)
    {
        double const requests = static_cast<double>(result.requests);
        double const attempts = static_cast<double>(result.attempts) / requests;
        double const succeeded =
            static_cast<double>(result.succeeded) / requests;
        std::cout << std::left << std::setw(16) << parameters.name
                  << std::setw(16) << policy << std::right << std::fixed
                  << std::setprecision(1) << std::setw(9)
                  << result.quantile(0.5) << std::setw(9)
                  << result.quantile(0.99) << std::setprecision(3)
                  << std::setw(8) << result.skew << std::setw(10) << attempts
                  << std::setw(10) << succeeded << std::setw(8)
                  << hit_rate(result) << '\n';
        csv_ << parameters.name << ',' << policy << ',' << result.quantile(0.5)
             << ',' << result.quantile(0.99) << ',' << result.skew << ','
             << attempts << ',' << succeeded << ',' << hit_rate(result) << '\n';
    }

    /// Prints whether a bound held, and records a violation.
    void check_bound(bool held, std::string const& description)
    {
        std::cout << (held ? "held   " : "BROKEN ") << description << '\n';
        broken_ = broken_ || !held;
    }

    [[nodiscard]] bool broken() const noexcept { return broken_; }

    [[nodiscard]] static double hit_rate(measurement const& result)
    {
        return static_cast<double>(result.prefix_hits) /
               static_cast<double>(
                   std::max<std::size_t>(1, result.latencies_ms.size()));
    }

private:
    std::ofstream csv_;
    bool broken_ = false;
};

measurement
run(report& out, scenario const& parameters, named_policy const& policy)
{
    measurement result = load_model{parameters, policy.make_policy}.run();
    out.add(parameters, policy.name, result);
    return result;
}

void compare_latency(report& out, scenario const& parameters, bool check_p99)
{
    measurement cost_aware =
        run(out,
            parameters,
            make_named_policy<hornbeamweir::cost_aware_policy>("cost_aware"));
    bool below_all = true;
    for (named_policy const& baseline :
         {make_named_policy<bench::random_choice>("random"),
          make_named_policy<bench::round_robin>("round_robin"),
          make_named_policy<bench::least_reported>("least_reported")})
    {
        measurement other = run(out, parameters, baseline);
        below_all =
            below_all && cost_aware.quantile(0.99) < other.quantile(0.99);
    }
    if (check_p99)
        out.check_bound(
            below_all, parameters.name + ": p99 below all baselines");
}

void compare_prefixes(report& out, scenario const& parameters, double min_ratio)
{
    measurement const cost_aware =
        run(out,
            parameters,
            make_named_policy<hornbeamweir::cost_aware_policy>("cost_aware"));
    static_cast<void>(run(
        out, parameters, make_named_policy<bench::random_choice>("random")));
    static_cast<void>(
        run(out,
            parameters,
            make_named_policy<bench::least_reported>("least_reported")));
    measurement const oracle =
        run(out,
            parameters,
            {"oracle", [](random_source random, load_model const& model) {
                 return std::make_unique<bench::prefix_oracle>(random, model);
             }});
    out.check_bound(
        report::hit_rate(cost_aware) >= min_ratio * report::hit_rate(oracle),
        parameters.name + ": share of the oracle's prefix hits");
}

void check_brown_out(report& out, scenario const& parameters)
{
    measurement const cost_aware =
        run(out,
            parameters,
            make_named_policy<hornbeamweir::cost_aware_policy>("cost_aware"));
    static_cast<void>(run(
        out, parameters, make_named_policy<bench::random_choice>("random")));
    static_cast<void>(
        run(out,
            parameters,
            make_named_policy<bench::least_reported>("least_reported")));
    out.check_bound(
        static_cast<double>(cost_aware.attempts) <=
            max_attempts_per_request * static_cast<double>(cost_aware.requests),
        parameters.name + ": attempts at most 1.2 x requests");
}

} // namespace

int main(int argc, char const** argv)
{
    report out{argc > 1 ? argv[1] : nullptr};
    compare_latency(out, {"load_50", 0.5}, false);
    compare_latency(out, {"load_80", 0.8}, true);
    compare_latency(out, {"load_95", 0.95}, true);
    compare_latency(out, {"straggler_80", 0.8, 2}, true);
    compare_latency(
        out,
        {"old_reports_80",
         0.8,
         1,
         0,
         0,
         std::chrono::seconds{2},
         std::chrono::seconds{1}},
        true);
    check_brown_out(out, {"brown_out_40", 0.4, 1, load_model::groups / 2});
    compare_prefixes(
        out, {"prefixes_60", 0.6, 1, 0, 400}, min_relative_hit_rate);
    compare_prefixes(
        out, {"prefixes_80", 0.8, 1, 0, 400}, min_relative_hit_rate);
    compare_prefixes(
        out, {"many_prefixes", 0.6, 1, 0, 4000}, min_relative_hit_rate);
    return out.broken() ? 1 : 0;
}
