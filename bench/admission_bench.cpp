#include <hornbeamweir/admission/overload_gate.hpp>

#include <algorithm>
#include <cstdio>
#include <fstream>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

/// \file
/// \brief Simulates overload of backend servers with queues and delayed
/// reports, with and without an overload_gate. Fails if goodput or isolation
/// between customers is outside its bound.

namespace
{

using namespace hornbeamweir;

/// Minimum goodput at the highest load, relative to the peak.
constexpr double min_relative_goodput = 0.9;
/// Maximum p99 latency while another customer exceeds the capacity, relative to
/// the latency without that customer.
constexpr double max_latency_ratio = 1.2;
constexpr std::size_t servers = 8;
constexpr std::size_t slots_per_server = 4;
constexpr double mean_service_s = 0.1;
constexpr double capacity =
    static_cast<double>(servers * slots_per_server) / mean_service_s;
constexpr duration request_timeout = std::chrono::seconds{2};
constexpr duration report_delay = std::chrono::milliseconds{500};
constexpr duration step = std::chrono::milliseconds{1};
constexpr duration warm_up = std::chrono::seconds{20};
constexpr duration run_time = std::chrono::seconds{80};

struct traffic_source
{
    std::string name;
    /// In requests per second.
    double rate = 0;
};

struct measurement
{
    std::map<std::string, std::vector<double>> latency_ms;
    std::size_t in_time = 0;
    std::size_t rejected = 0;
    std::size_t late = 0;
};

/// Discrete-time simulation: all backend servers take requests from one queue.
class overload_simulation
{
public:
    overload_simulation(
        std::vector<traffic_source> sources, bool with_gate, std::uint64_t seed)
        : sources_{std::move(sources)}
        , with_gate_{with_gate}
        , random_{seed}
        , gate_{random_source{seed + 1}}
    {
    }

    measurement run()
    {
        for (; now_.time_since_epoch() < run_time; now_ += step)
        {
            for (traffic_source const& it : sources_)
                arrive(it);
            finish();
            if (with_gate_)
            {
                for (queued_request const& expired : gate_.expire(now_))
                    reject(expired.id.str());
                for (request_id const& id : gate_.dispatch_next(now_))
                    backlog_.push(id.str());
            }
            serve();
            if (with_gate_)
                report_load();
        }
        return std::move(result_);
    }

private:
    struct pending_call
    {
        std::string customer;
        time_point arrived{};
    };

    [[nodiscard]] bool warmed_up() const
    {
        return now_.time_since_epoch() >= warm_up;
    }

    void arrive(traffic_source const& source)
    {
        double const expected =
            source.rate * std::chrono::duration<double>(step).count();
        std::size_t n = static_cast<std::size_t>(expected);
        n += random_.unit() < expected - static_cast<double>(n) ? 1 : 0;
        for (; n > 0; --n)
            submit(source);
    }

    void submit(traffic_source const& source)
    {
        std::string const id = std::to_string(next_++);
        calls_[id] = {source.name, now_};
        if (!with_gate_)
        {
            backlog_.push(id);
            return;
        }
        overload_gate::result const result = gate_.submit(
            {request_id{id},
             customer_id{source.name},
             1,
             1,
             now_ + request_timeout},
            now_);
        if (result.outcome == overload_gate::decision::dispatch)
            backlog_.push(id);
        else if (result.outcome == overload_gate::decision::reject)
            reject(id);
    }

    void reject(std::string const& id)
    {
        result_.rejected += warmed_up() ? 1 : 0;
        calls_.erase(id);
    }

    void serve()
    {
        while (running_.size() < servers * slots_per_server &&
               !backlog_.empty())
        {
            double const seconds = mean_service_s * (0.5 + random_.unit());
            running_.push(
                {now_ + std::chrono::duration_cast<duration>(
                            std::chrono::duration<double>(seconds)),
                 backlog_.front()});
            backlog_.pop();
        }
    }

    void finish()
    {
        while (!running_.empty() && running_.top().first <= now_)
        {
            std::string const id = running_.top().second;
            running_.pop();
            pending_call const done = calls_.at(id);
            calls_.erase(id);
            duration const taken = now_ - done.arrived;
            bool const in_time = taken <= request_timeout;
            if (with_gate_)
                gate_.release(request_id{id}, true);
            if (!warmed_up())
                continue;
            result_.in_time += in_time ? 1 : 0;
            result_.late += in_time ? 0 : 1;
            result_.latency_ms[done.customer].push_back(
                std::chrono::duration<double, std::milli>(taken).count());
        }
    }

    void report_load()
    {
        reports_.push({now_, backlog_.size(), running_.size()});
        while (reports_.front().at + report_delay < now_)
            reports_.pop();
        load_report const& seen = reports_.front();
        gate_.on_report(seen.queued, seen.queued + seen.running, now_);
    }

    struct load_report
    {
        time_point at{};
        std::size_t queued = 0;
        std::size_t running = 0;
    };

    using completion = std::pair<time_point, std::string>;

    std::vector<traffic_source> sources_;
    bool with_gate_;
    random_source random_;
    overload_gate gate_;
    time_point now_{};
    std::uint64_t next_ = 0;
    std::map<std::string, pending_call> calls_;
    std::queue<std::string> backlog_;
    std::priority_queue<completion, std::vector<completion>, std::greater<>>
        running_;
    std::queue<load_report> reports_;
    measurement result_;
};

double percentile(std::vector<double> values, double fraction)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(
        fraction * static_cast<double>(values.size() - 1))];
}

double goodput(double load, bool with_gate)
{
    constexpr std::uint64_t seed = 5;
    measurement const result =
        overload_simulation{{{"a", load * capacity}}, with_gate, seed}.run();
    return static_cast<double>(result.in_time) /
           std::chrono::duration<double>(run_time - warm_up).count();
}

bool report_goodput(std::ofstream& csv)
{
    std::printf(
        "goodput, capacity %.0f/s, deadline 2 s, report lag 500 ms\n"
        "%8s %14s %14s\n",
        capacity,
        "load",
        "no gate",
        "gate");
    double peak = 0;
    double overloaded = 0;
    for (double load : {0.5, 0.8, 0.95, 1.0, 1.5, 3.0})
    {
        double const without = goodput(load, false);
        double const with = goodput(load, true);
        peak = std::max(peak, with);
        overloaded = with;
        std::printf("%8.2f %12.1f/s %12.1f/s\n", load, without, with);
        csv << "goodput," << load << ',' << without << ',' << with << '\n';
    }
    bool const holds = overloaded >= min_relative_goodput * peak;
    std::printf(
        "goodput at 3 x the capacity: %.3f of the peak, bound %.2f: %s\n\n",
        overloaded / peak,
        min_relative_goodput,
        holds ? "holds" : "FAILED");
    return holds;
}

bool report_isolation(std::ofstream& csv)
{
    constexpr std::uint64_t seed = 9;
    constexpr int customers = 9;
    std::vector<traffic_source> others;
    others.reserve(customers + 1);
    for (int n = 0; n < customers; ++n)
        others.push_back({"c" + std::to_string(n), 0.05 * capacity});
    std::vector<traffic_source> flooded = others;
    flooded.push_back({"flood", 5 * capacity});
    measurement const without_flood =
        overload_simulation{others, true, seed}.run();
    measurement const with_flood =
        overload_simulation{flooded, true, seed}.run();
    measurement const flood_without_gate =
        overload_simulation{flooded, false, seed}.run();
    std::printf(
        "p99 of nine customers at 5 %% of the capacity each, while another "
        "sends 5 x the capacity\n%8s %12s %12s %12s\n",
        "customer",
        "alone",
        "flood",
        "no gate");
    bool holds = true;
    for (traffic_source const& it : others)
    {
        double const p99_alone =
            percentile(without_flood.latency_ms.at(it.name), 0.99);
        double const p99_flooded =
            percentile(with_flood.latency_ms.at(it.name), 0.99);
        double const p99_without_gate =
            percentile(flood_without_gate.latency_ms.at(it.name), 0.99);
        holds = holds && p99_flooded <= max_latency_ratio * p99_alone;
        std::printf(
            "%8s %9.1f ms %9.1f ms %9.1f ms\n",
            it.name.c_str(),
            p99_alone,
            p99_flooded,
            p99_without_gate);
        csv << "isolation," << it.name << ',' << p99_alone << ',' << p99_flooded
            << '\n';
    }
    std::printf(
        "bound %.1f x alone: %s\n",
        max_latency_ratio,
        holds ? "holds" : "FAILED");
    return holds;
}

} // namespace

int main(int argc, char const** argv)
{
    std::ofstream csv{argc > 1 ? argv[1] : "/dev/null"};
    csv << "part,case,first,second\n";
    bool const goodput_holds = report_goodput(csv);
    bool const isolation_holds = report_isolation(csv);
    return goodput_holds && isolation_holds ? 0 : 1;
}
