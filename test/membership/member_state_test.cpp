#include <hornbeamweir/membership/backend_subset.hpp>
#include <hornbeamweir/membership/member_state.hpp>
#include <hornbeamweir/membership/panic_policy.hpp>
#include <hornbeamweir/membership/vm_list.hpp>

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

#include <algorithm>

using namespace hornbeamweir;

namespace
{

std::vector<process_name> entries(int n)
{
    std::vector<process_name> names;
    names.reserve(static_cast<std::size_t>(n));
    for (int k = 0; k < n; ++k)
        names.emplace_back("entry-" + std::to_string(k));
    return names;
}

std::vector<backend_server_id> servers(int n)
{
    std::vector<backend_server_id> ids;
    ids.reserve(static_cast<std::size_t>(n));
    for (int k = 0; k < n; ++k)
        ids.emplace_back("server-" + std::to_string(k));
    return ids;
}

routing_candidate candidate_with_age(int n, int age_ms)
{
    routing_candidate it;
    it.id = backend_server_id{"server-" + std::to_string(n)};
    it.report_age = std::chrono::milliseconds{age_ms};
    return it;
}

} // namespace

TEST_CASE(
    "a member follows heartbeats, failed attempts, silence and leave orders")
{
    using s = member_state;
    using e = member_event;
    struct row
    {
        s from;
        e observed;
        s to;
    };
    std::vector<row> const rows{
        {s::suspect, e::heard_up, s::up},
        {s::suspect, e::heard_backend_down, s::down},
        {s::up, e::silent, s::suspect},
        {s::up, e::attempt_failed, s::suspect},
        {s::up, e::heard_leaving, s::leaving},
        {s::up, e::leave_ordered, s::leaving},
        {s::leaving, e::silent, s::leaving},
        {s::leaving, e::attempt_failed, s::leaving},
        {s::leaving, e::heard_up, s::up},
        {s::leaving, e::leave_revoked, s::suspect},
        {s::down, e::heard_up, s::up},
        {s::down, e::attempt_failed, s::down},
        {s::down, e::silent, s::suspect}};
    for (row const& it : rows)
    {
        INFO(name_of(it.from) << " " << name_of(it.observed));
        CHECK(next_state(it.from, it.observed) == it.to);
    }
}

TEST_CASE("panic mode admits the suspect members with the latest heartbeats")
{
    panic_policy const policy;
    std::vector<routing_candidate> const suspect{
        candidate_with_age(1, 2000),
        candidate_with_age(2, 2400),
        candidate_with_age(3, 60'000)};
    std::vector<routing_candidate> usable;
    CHECK(policy.admit(usable, suspect, false));
    CHECK(usable == std::vector<routing_candidate>{suspect[0], suspect[1]});

    usable = {candidate_with_age(4, 10)};
    CHECK_FALSE(policy.admit(usable, suspect, false));
    CHECK(policy.admit(usable, suspect, true));
    CHECK(usable.size() == 3);

    usable = {
        candidate_with_age(4, 10),
        candidate_with_age(5, 10),
        candidate_with_age(6, 10)};
    CHECK_FALSE(policy.admit(usable, suspect, true));
    CHECK(usable.size() == 3);
}

TEST_CASE("a VM list is replaced only by a newer one")
{
    vm_list list;
    CHECK(list.replace_if_newer({5, {vm_id{"a"}}}));
    CHECK_FALSE(list.replace_if_newer({5, {}}));
    CHECK_FALSE(list.replace_if_newer({4, {}}));
    CHECK(from_wire(to_wire(list)).leaving() == list.leaving());
    CHECK(list.replace_if_newer({6, {}}));
    CHECK(list.leaving().empty());
}

// Guards against an entry whose subset lies in evacuated data centres only, and
// against connections there that are closed under their open attempts.
TEST_CASE("subsets contain backend servers outside evacuated data centres")
{
    configuration_part objects;
    for (backend_server_id const& id : servers(300))
    {
        backend_server& server = objects.backend_servers[id];
        server.id = id;
        server.kind = backend_kind::service;
        server.service = "s";
        server.data_centre =
            data_centre_id{objects.backend_servers.size() > 12 ? "a" : "b"};
    }
    auto const distribute = [](configuration_part const& all)
    {
        std::vector<configuration_part> parts(configuration_part_count);
        for (auto it = all.backend_servers.begin();
             it != all.backend_servers.end();
             ++it)
            parts[part_of(it->first.str())].backend_servers.insert(*it);
        for (auto it = all.data_centres.begin(); it != all.data_centres.end();
             ++it)
            parts[part_of(it->first.str())].data_centres.insert(*it);
        std::vector<std::shared_ptr<configuration_part const>> shared;
        shared.reserve(parts.size());
        for (configuration_part& part : parts)
            shared.push_back(
                std::make_shared<configuration_part const>(std::move(part)));
        return configuration{{}, std::move(shared)};
    };
    configuration const before = distribute(objects);
    objects.data_centres[data_centre_id{"a"}] = {data_centre_id{"a"}, true};
    configuration const after = distribute(objects);
    std::vector<process_name> const names = entries(40);
    for (process_name const& it : names)
    {
        backend_subset const subset{{}, it, names};
        std::set<backend_server_id> const old = subset.select(before);
        std::set<backend_server_id> const chosen = subset.select(after);
        CHECK(std::includes(
            chosen.begin(), chosen.end(), old.begin(), old.end()));
        std::ptrdiff_t const in_use = std::count_if(
            chosen.begin(),
            chosen.end(),
            [&](backend_server_id const& id) {
                return objects.backend_servers.at(id).data_centre.str() == "b";
            });
        CHECK(in_use >= 4);
        CHECK(chosen.size() < 300);
    }
}

TEST_CASE("subsets cover every backend server and give each entry enough of "
          "each target")
{
    rc::check(
        []
        {
            int const n = *rc::gen::inRange(1, 40);
            int const m = *rc::gen::inRange(1, 120);
            std::vector<process_name> const names = entries(n);
            std::vector<backend_server_id> const all = servers(m);
            std::map<backend_server_id, std::size_t> covered;
            for (process_name const& it : names)
            {
                std::vector<backend_server_id> const chosen =
                    backend_subset{{}, it, names}.select_from(all);
                std::set<backend_server_id> const unique{
                    chosen.begin(), chosen.end()};
                RC_ASSERT(unique.size() == chosen.size());
                RC_ASSERT(
                    chosen.size() >= std::min<std::size_t>(4, all.size()));
                for (backend_server_id const& id : chosen)
                    ++covered[id];
            }
            for (backend_server_id const& id : all)
                RC_ASSERT(
                    covered[id] >= std::min<std::size_t>(3, names.size()));
        });
}

TEST_CASE("a new entry takes over backend servers without moving any others")
{
    std::vector<backend_server_id> const all = servers(1000);
    std::vector<process_name> const more = entries(41);
    std::vector<process_name> const fewer = entries(40);
    std::size_t moved = 0;
    for (process_name const& it : fewer)
    {
        std::vector<backend_server_id> before =
            backend_subset{{}, it, fewer}.select_from(all);
        std::vector<backend_server_id> after =
            backend_subset{{}, it, more}.select_from(all);
        std::sort(before.begin(), before.end());
        std::sort(after.begin(), after.end());
        CHECK(std::includes(
            before.begin(), before.end(), after.begin(), after.end()));
        moved += before.size() - after.size();
    }
    CHECK(
        moved == backend_subset{{}, more.back(), more}.select_from(all).size());
}

TEST_CASE(
    "updates reach all entries through neighbours, and five watch the VM list")
{
    for (int n : {1, 3, 17, 100, 430})
    {
        std::vector<process_name> const names = entries(n);
        std::set<process_name> reached{names.front()};
        int hops = 0;
        for (; reached.size() < names.size() && hops < 12; ++hops)
        {
            std::set<process_name> const senders = reached;
            for (process_name const& it : senders)
            {
                for (process_name const& to : neighbours(it, names))
                    reached.insert(to);
            }
        }
        CHECK(reached.size() == names.size());
        CHECK(hops <= 9);
        CHECK(
            std::count_if(
                names.begin(),
                names.end(),
                [&](process_name const& it)
                { return watches_vm_list(it, names); }) == std::min(n, 5));
    }
}
