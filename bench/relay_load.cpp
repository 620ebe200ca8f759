#include <hornbeamweir/http/backend_call.hpp>

#include "test/support/deployment.hpp"

#include <boost/asio/io_context.hpp>

#include <algorithm>
#include <cstdio>
#include <memory>
#include <vector>

/// \file
/// \brief Measures the overhead of the relay: in one run, the same callers send
/// requests to the stand-in engine directly, and through an entry and an agent.

namespace
{

using clock_type = std::chrono::steady_clock;

constexpr int tokens_per_request = 64;
constexpr int step_ms = 2;

struct sample
{
    double first_byte_ms = 0;
    double total_ms = 0;
};

struct load_result
{
    double seconds = 0;
    std::size_t failed = 0;
    std::vector<sample> samples;
};

double milliseconds_since(clock_type::time_point start)
{
    return std::chrono::duration<double, std::milli>(clock_type::now() - start)
        .count();
}

/// Closed-loop load: each caller sends its next request when the last one has
/// ended.
class closed_loop_load
{
public:
    closed_loop_load(int port, std::size_t requests)
        : port_{port}
        , remaining_{requests}
    {
    }

    load_result run(std::size_t callers)
    {
        clock_type::time_point const start = clock_type::now();
        for (std::size_t n = 0; n < callers; ++n)
            send();
        context_.run();
        result_.seconds = milliseconds_since(start) / 1000;
        return std::move(result_);
    }

private:
    struct call
    {
        clock_type::time_point start;
        sample times;
        std::unique_ptr<hornbeamweir::backend_call> exchange;
    };

    void send()
    {
        if (remaining_ == 0)
            return;
        --remaining_;
        std::shared_ptr<call> const pending = std::make_shared<call>();
        pending->start = clock_type::now();
        hornbeamweir::backend_call_handlers handlers;
        handlers.head = [](unsigned, hornbeamweir::header_list const&) {};
        handlers.data = [pending](std::string const&)
        {
            if (pending->times.first_byte_ms == 0)
                pending->times.first_byte_ms =
                    milliseconds_since(pending->start);
        };
        handlers.ended = [this, pending]
        {
            pending->times.total_ms = milliseconds_since(pending->start);
            result_.samples.push_back(pending->times);
            pending->exchange.reset();
            send();
        };
        handlers.failed = [this, pending](hornbeamweir::error const&, bool)
        {
            ++result_.failed;
            pending->exchange.reset();
            send();
        };
        pending->exchange = std::make_unique<hornbeamweir::backend_call>(
            context_,
            boost::asio::ip::tcp::endpoint{
                boost::asio::ip::address_v4::loopback(),
                static_cast<std::uint16_t>(port_)},
            request(),
            std::chrono::seconds{60},
            std::move(handlers));
        constexpr std::size_t no_limit = 1U << 30U;
        pending->exchange->grant_credit(no_limit);
    }

    static hornbeamweir::http_request_message request()
    {
        return {
            "POST",
            "/v1/chat/completions",
            {{"Authorization",
              std::string{"Bearer "} + test::deployment::token},
             {"Content-Type", "application/json"}},
            R"({"model":"stroke-coach","stream":true,"max_tokens":)" +
                std::to_string(tokens_per_request) + "}"};
    }

    boost::asio::io_context context_;
    int port_;
    std::size_t remaining_;
    load_result result_;
};

double percentile(
    std::vector<sample> const& samples, double sample::*member, double share)
{
    std::vector<double> values;
    values.reserve(samples.size());
    for (sample const& it : samples)
        values.push_back(it.*member);
    std::sort(values.begin(), values.end());
    return values.empty()
               ? 0
               : values[static_cast<std::size_t>(
                     share * static_cast<double>(values.size() - 1))];
}

void print(char const* name, std::size_t callers, load_result const& result)
{
    double const requests = static_cast<double>(result.samples.size());
    std::printf(
        "%8s %7zu %9.0f %10.0f %7.1f %7.1f %8.1f %8.1f %6zu\n",
        name,
        callers,
        requests / result.seconds,
        requests * tokens_per_request / result.seconds,
        percentile(result.samples, &sample::first_byte_ms, 0.5),
        percentile(result.samples, &sample::first_byte_ms, 0.99),
        percentile(result.samples, &sample::total_ms, 0.5),
        percentile(result.samples, &sample::total_ms, 0.99),
        result.failed);
}

} // namespace

int main()
{
    test::deployment system{{1, 1, 1, step_ms}};
    system.apply_first_note(
        "requests_per_second: 100000, burst: 100000, concurrency: 10000");
    std::printf(
        "%d tokens per request, %d ms per token step\n%8s %7s %9s %10s %7s %7s "
        "%8s "
        "%8s %6s\n",
        tokens_per_request,
        step_ms,
        "way",
        "callers",
        "requests",
        "tokens/s",
        "ttft50",
        "ttft99",
        "total50",
        "total99",
        "failed");
    for (std::size_t callers : {1U, 8U, 32U, 64U})
    {
        std::size_t const requests = 30 * callers;
        load_result const direct =
            closed_loop_load{system.backend_port("rank-0"), requests}.run(
                callers);
        test::child_process const& entry = system.process("entry-0");
        test::child_process const& agent = system.process("agent-rank-0");
        double const entry_before = entry.cpu_seconds();
        double const agent_before = agent.cpu_seconds();
        load_result const relayed =
            closed_loop_load{system.entry_port(0), requests}.run(callers);
        double const entry_cpu = entry.cpu_seconds() - entry_before;
        double const agent_cpu = agent.cpu_seconds() - agent_before;
        double const tokens =
            static_cast<double>(relayed.samples.size() * tokens_per_request);
        print("direct", callers, direct);
        print("relayed", callers, relayed);
        std::printf(
            "         ratio %.3f; tokens/s per core: entry %.0f, agent %.0f, "
            "both %.0f\n",
            static_cast<double>(relayed.samples.size()) / relayed.seconds /
                (static_cast<double>(direct.samples.size()) / direct.seconds),
            tokens / entry_cpu,
            tokens / agent_cpu,
            tokens / (entry_cpu + agent_cpu));
    }
    return 0;
}
