#include <hornbeamweir/replicas/replica_directory.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

replica make_replica(
    std::string const& id,
    std::string const& address,
    std::int64_t registration_revision)
{
    replica out;
    out.id = backend_server_id{id};
    out.service = service_name{"s"};
    out.address = address;
    out.registration_revision = registration_revision;
    return out;
}

std::map<backend_server_id, replica> snapshot(std::vector<replica> const& in)
{
    std::map<backend_server_id, replica> out;
    for (replica const& it : in)
        out.emplace(it.id, it);
    return out;
}

struct directory_fixture
{
    void read(std::vector<replica> const& in, int after_ms)
    {
        now += milliseconds{after_ms};
        static_cast<void>(directory.update(snapshot(in), now));
    }

    [[nodiscard]] std::size_t usable() const
    {
        return directory.usable(service_name{"s"}).size();
    }

    replica_directory directory;
    time_point now{std::chrono::seconds{100}};
};

} // namespace

TEST_CASE("a draining replica gets no new requests", "[replicas]")
{
    directory_fixture fixture;
    replica draining = make_replica("a", "10.0.0.1:1", 1);
    fixture.read({draining, make_replica("b", "10.0.0.2:1", 2)}, 900);
    CHECK(fixture.usable() == 2);
    draining.draining = true;
    fixture.read({draining, make_replica("b", "10.0.0.2:1", 2)}, 900);
    CHECK(fixture.usable() == 1);
    fixture.read({make_replica("b", "10.0.0.2:1", 2)}, 900);
    CHECK(fixture.directory.size() == 1);
}

TEST_CASE(
    "registrations that expired in an outage are kept for a time", "[replicas]")
{
    directory_fixture fixture;
    replica const a = make_replica("a", "10.0.0.1:1", 1);
    replica const b = make_replica("b", "10.0.0.2:1", 2);
    fixture.read({a, b}, 900);
    fixture.read({a}, 4000);
    CHECK(fixture.usable() == 2);
    fixture.read({a}, 1000);
    CHECK(fixture.usable() == 2);
    fixture.read({a}, 1300);
    CHECK(fixture.usable() == 1);
}

TEST_CASE(
    "of two replicas at an address only the newer one is usable", "[replicas]")
{
    directory_fixture fixture;
    fixture.read(
        {make_replica("old", "10.0.0.1:1", 1),
         make_replica("new", "10.0.0.1:1", 9)},
        900);
    REQUIRE(fixture.usable() == 1);
    CHECK(
        fixture.directory.usable(service_name{"s"}).front()->id ==
        backend_server_id{"new"});
}

TEST_CASE("lookup by address finds the newest replica", "[replicas]")
{
    directory_fixture fixture;
    fixture.read(
        {make_replica("a", "10.0.0.1:1", 7),
         make_replica("b", "10.0.0.1:1", 9),
         make_replica("c", "10.0.0.1:1", 8)},
        900);
    replica const* const found =
        fixture.directory.find_by_address("10.0.0.1:1");
    REQUIRE(found);
    CHECK(found->id.str() == "b");
    CHECK_FALSE(fixture.directory.find_by_address("10.0.0.2:1"));
}

TEST_CASE(
    "a replica whose address belongs to another one is not usable for 5 s",
    "[replicas]")
{
    directory_fixture fixture;
    replica const a = make_replica("a", "10.0.0.1:1", 1);
    fixture.read({a}, 900);
    fixture.directory.on_misdirected(a.id, fixture.now);
    CHECK(fixture.usable() == 0);
    fixture.read({a}, 900);
    CHECK(fixture.usable() == 0);
    fixture.read({a}, 4500);
    CHECK(fixture.usable() == 1);
}

// Guards against a replica of before the store was replaced by an older copy
// that hides its successor at the same address, whose revision is lower.
TEST_CASE("a replica registered in a later era supersedes earlier ones")
{
    directory_fixture fixture;
    replica const ended = make_replica("a", "10.0.0.1:1", 1005);
    fixture.read({ended}, 900);
    replica started = make_replica("b", "10.0.0.1:1", 950);
    started.registration_era = 1;
    fixture.read({ended, started}, 900);
    CHECK(fixture.usable() == 1);
    replica const* const found =
        fixture.directory.find_by_address("10.0.0.1:1");
    REQUIRE(found);
    CHECK(found->id == started.id);
}
