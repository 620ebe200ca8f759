#include <hornbeamweir/core/content_hash.hpp>

#include "test/support/deployment.hpp"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <cstdio>
#include <thread>

/// \file
/// \brief Measures how state, messages, processor time and platform calls grow
/// with agents, entries, customers and changes, on real processes.

namespace
{

constexpr std::chrono::seconds window{5};

struct usage_sample
{
    double cpu_seconds = 0;
    double resident_mb = 0;
    double bytes = 0;
    double messages = 0;
    double platform_calls = 0;
};

double number_at(boost::json::object const& object, std::string_view key)
{
    boost::json::value const* const it = object.if_contains(key);
    boost::system::error_code ec;
    return it == nullptr ? 0 : it->to_number<double>(ec);
}

usage_sample sample_usage(
    test::deployment& system, std::string const& process, int admin_port)
{
    constexpr double megabyte = 1024 * 1024;
    boost::json::value const status =
        boost::json::parse(test::get(admin_port, "/status").body);
    boost::json::object const& object = status.as_object();
    boost::json::object const& totals = object.at("messages").as_object();
    usage_sample out;
    out.cpu_seconds = system.process(process).cpu_seconds();
    out.resident_mb =
        static_cast<double>(system.process(process).resident_bytes()) /
        megabyte;
    out.bytes =
        number_at(totals, "sent_bytes") + number_at(totals, "received_bytes");
    out.messages = number_at(totals, "sent") + number_at(totals, "received");
    out.platform_calls = number_at(object, "platform_calls");
    return out;
}

double platform_calls(test::deployment const& system)
{
    boost::json::value const counts =
        boost::json::parse(test::get(system.platform_port(), "/counts").body);
    double total = 0;
    for (std::string_view key :
         {"reads", "writes", "leases", "renewals", "watches"})
        total += number_at(counts.as_object(), key);
    return total;
}

void print_process(
    char const* name, usage_sample const& before, usage_sample const& after)
{
    double const seconds = static_cast<double>(window.count());
    std::printf(
        "  %-6s cpu %6.3f %%  memory %6.1f MB  %8.0f bytes/s  %6.1f "
        "messages/s\n",
        name,
        100 * (after.cpu_seconds - before.cpu_seconds) / seconds,
        after.resident_mb,
        (after.bytes - before.bytes) / seconds,
        (after.messages - before.messages) / seconds);
}

/// Prints the resource usage of an entry and an agent in an idle deployment.
void measure_idle(int entries, int agents, int customers)
{
    test::deployment system{{entries, 1, agents - 1, 50}};
    system.apply_first_note("", customers);
    std::this_thread::sleep_for(std::chrono::seconds{2});
    usage_sample const entry =
        sample_usage(system, "entry-0", system.admin_port(0));
    usage_sample const agent =
        sample_usage(system, "agent-rank-0", system.agent_admin_port("rank-0"));
    double const calls = platform_calls(system);
    std::this_thread::sleep_for(window);
    std::printf(
        "entries %d, agents %d, customers %d: platform calls in %lld s: %.0f\n",
        entries,
        agents,
        customers,
        static_cast<long long>(window.count()),
        platform_calls(system) - calls);
    print_process(
        "entry", entry, sample_usage(system, "entry-0", system.admin_port(0)));
    print_process(
        "agent",
        agent,
        sample_usage(
            system, "agent-rank-0", system.agent_admin_port("rank-0")));
}

/// Applies configuration changes and prints the mean cost of one.
void measure_changes(int entries, int agents, int customers)
{
    constexpr int changes = 10;
    test::deployment system{{entries, 1, agents - 1, 50}};
    system.apply_first_note("", customers);
    usage_sample const entry =
        sample_usage(system, "entry-0", system.admin_port(0));
    double const calls = platform_calls(system);
    std::chrono::steady_clock::time_point const start =
        std::chrono::steady_clock::now();
    for (int n = 0; n < changes; ++n)
    {
        std::string const note =
            "note: change-" + std::to_string(n) +
            "\nbase_revision: " + std::to_string(n + 1) +
            "\nchanged: {customers: [{id: vizijel, burst: " +
            std::to_string(10 + n) + "}]}\n";
        test::finished_process const applied =
            system.operate({"apply", system.write("change.yaml", note)});
        if (applied.code != 0)
            std::printf("  apply failed: %s\n", applied.output.c_str());
    }
    double const seconds =
        std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
            .count();
    usage_sample const after =
        sample_usage(system, "entry-0", system.admin_port(0));
    std::printf(
        "entries %d, agents %d, customers %d: for each change %.1f platform "
        "calls in all, %.1f by entry-0, %.1f ms of its processor time, in "
        "force everywhere after %.2f s\n",
        entries,
        agents,
        customers,
        (platform_calls(system) - calls) / changes,
        (after.platform_calls - entry.platform_calls) / changes,
        1000 * (after.cpu_seconds - entry.cpu_seconds) / changes,
        seconds / changes);
}

} // namespace

int main()
{
    std::printf("== at rest\n");
    for (int agents : {4, 16, 48})
        measure_idle(1, agents, 2);
    for (int entries : {2, 4, 8})
        measure_idle(entries, 8, 2);
    for (int customers : {100, 1000, 4700})
        measure_idle(1, 4, customers);
    std::printf("== changes\n");
    for (int agents : {4, 16, 48})
        measure_changes(2, agents, 2);
    for (int entries : {1, 4, 8})
        measure_changes(entries, 8, 2);
    for (int customers : {100, 1000, 4700})
        measure_changes(2, 4, customers);
    return 0;
}
