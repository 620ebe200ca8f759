// The store comes back from a copy that is some seconds old. Then an operator
// takes a zone out of service.

#include "../common/plain_service.hpp"

#include <cstdlib>
#include <iostream>

namespace
{

using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

constexpr int held = 0;
constexpr int broken = 1;
constexpr int not_run = 2;

/// Bounds of the site, with stableWindowMs as stable_window.
constexpr milliseconds evacuation_bound{5000};
constexpr milliseconds stable_window{4000};
/// A change each 330 ms for 4 s, as on the users' sites.
constexpr int storm_changes = 12;
constexpr milliseconds storm_gap{330};
constexpr milliseconds outage{1000};
constexpr milliseconds copy_age{8000};

/// \returns The newest version.
int change_configuration(review::store& store, review::record& out)
{
    int version = 1;
    for (int n = 0; n < storm_changes; ++n)
    {
        store.put("op/config", review::plain_configuration(++version));
        out.note("configuration " + std::to_string(version) + " acknowledged");
        std::this_thread::sleep_for(storm_gap);
    }
    return version;
}

/// Goes away and comes back from a copy; the operator writes its configuration
/// again.
void replace_by_copy(review::store& store, int version, review::record& out)
{
    out.note("the store goes away");
    store.go_away();
    std::this_thread::sleep_for(outage);
    std::int64_t const lost = store.come_back(copy_age + outage);
    out.note(
        "the store is back from a copy of 8 s before; the revision went back "
        "by " +
        std::to_string(lost));
    store.put("op/config", review::plain_configuration(version));
    out.note("configuration " + std::to_string(version) + " written again");
}

int run(std::string const& folder, bool with_trouble)
{
    review::record out{folder + "/record.txt"};
    review::store store;
    store.put("op/config", review::plain_configuration(1));
    std::vector<std::unique_ptr<review::plain_replica>> replicas;
    for (std::string const id : {"r1", "r2", "r3", "r4"})
    {
        std::string const zone = id < "r3" ? "zone-a" : "zone-b";
        replicas.push_back(
            std::make_unique<review::plain_replica>(id, zone, store, out));
    }
    review::temporary_folder const files;
    review::entry const entry{
        "edge-a-1", "zone-a", store.address(), files.path()};
    entry.wait_until_ready();
    out.note("the entry is ready");
    review::plain_client const caller{"a", entry.callers_port(), {}, out};
    std::this_thread::sleep_for(milliseconds{9000});
    int const version = change_configuration(store, out);
    std::this_thread::sleep_for(milliseconds{2000});
    if (with_trouble)
        replace_by_copy(store, version, out);
    // The store is stable again, and the entry in touch.
    std::this_thread::sleep_for(stable_window + milliseconds{200});
    store.put("op/evacuate/zone-a", "{}");
    clock_type::time_point const acknowledged = clock_type::now();
    out.note("the evacuation of zone-a is acknowledged");
    std::this_thread::sleep_for(evacuation_bound + milliseconds{5000});
    int late = 0;
    for (std::size_t n = 0; n < 2; ++n)
        late += replicas[n]->runs_since(acknowledged + evacuation_bound);
    int served = 0;
    for (std::size_t n = 2; n < replicas.size(); ++n)
        served += replicas[n]->runs_since(acknowledged);
    out.note(
        "requests that reached zone-a later than evacuationMs after that: " +
        std::to_string(late) +
        "; requests in zone-b since then: " + std::to_string(served));
    if (late > 0)
        return broken;
    return served > 0 ? held : not_run;
}

} // namespace

int main(int argc, char** argv)
{
    try
    {
        char const* const trouble = std::getenv("TROUBLE");
        bool const with_trouble =
            trouble == nullptr || std::string{trouble} != "0";
        return run(argc > 1 ? argv[1] : ".", with_trouble);
    }
    catch (std::exception const& ex)
    {
        std::cerr << ex.what() << '\n';
        return not_run;
    }
}
