#include <hornbeamweir/membership/backend_subset.hpp>
#include <hornbeamweir/transport/message_socket.hpp>

#include <benchmark/benchmark.h>

/// \file
/// \brief CPU time of heartbeats and of selecting a subset.

namespace
{

using namespace hornbeamweir;

message_settings make_settings(
    std::string const& address,
    curve_keys const& own,
    std::string const& other_key)
{
    message_settings settings;
    settings.address = address;
    settings.public_key = own.public_key;
    settings.secret_key = own.secret_key;
    settings.allowed_keys = {other_key};
    return settings;
}

wire::envelope make_message()
{
    wire::envelope message;
    wire::ping& ping = *message.mutable_membership()->mutable_ping();
    ping.set_sequence(1);
    ping.mutable_head()->set_revision(1);
    return message;
}

// Both endpoints and their ZeroMQ threads are in this process, so the CPU time
// of one iteration includes the entry and the agent.
void heartbeat_over_curve(benchmark::State& state)
{
    boost::asio::io_context context;
    curve_keys const entry_keys = make_curve_keys();
    curve_keys const agent_keys = make_curve_keys();
    bool answered = false;
    message_socket* agent = nullptr;
    message_socket entry_socket{
        context,
        make_settings("127.0.0.1:27461", entry_keys, agent_keys.public_key),
        process_name{"entry"},
        1,
        [&](peer const&, wire::envelope const&) { answered = true; }};
    message_socket agent_socket{
        context,
        make_settings("127.0.0.1:27462", agent_keys, entry_keys.public_key),
        process_name{"agent"},
        2,
        [&](peer const& from, wire::envelope const&)
        { static_cast<void>(agent->send(from, make_message())); }};
    agent = &agent_socket;
    agent_socket.listen();
    entry_socket.listen();
    entry_socket.dial("agent", "127.0.0.1:27462", agent_keys.public_key);
    while (!entry_socket.send({peer_side::dialled, "agent"}, make_message()))
        context.run_for(std::chrono::milliseconds{10});
    while (!answered)
        context.run_one();
    for (auto _ : state)
    {
        answered = false;
        static_cast<void>(
            entry_socket.send({peer_side::dialled, "agent"}, make_message()));
        while (!answered)
            context.run_one();
    }
}

void select_subset(benchmark::State& state)
{
    constexpr int entry_count = 430;
    constexpr int server_count = 12'000;
    std::vector<process_name> names;
    names.reserve(entry_count);
    for (int n = 0; n < entry_count; ++n)
        names.emplace_back("entry-" + std::to_string(n));
    std::vector<backend_server_id> servers;
    servers.reserve(server_count);
    for (int n = 0; n < server_count; ++n)
        servers.emplace_back("server-" + std::to_string(n));
    backend_subset const subset{{}, names.front(), names};
    for (auto _ : state)
        benchmark::DoNotOptimize(subset.select_from(servers));
}

BENCHMARK(heartbeat_over_curve)
    ->MeasureProcessCPUTime()
    ->Unit(benchmark::kMicrosecond);
BENCHMARK(select_subset)->Unit(benchmark::kMillisecond);

} // namespace
