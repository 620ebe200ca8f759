#include <hornbeamweir/replicas/replica_directory.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

replica make_replica(
    std::string const& id, std::string const& address, std::int64_t registered)
{
    replica out;
    out.id = backend_server_id{id};
    out.service = service_name{"s"};
    out.address = address;
    out.registered = registered;
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

TEST_CASE("a leaving replica gets no new work", "[replicas]")
{
    directory_fixture it;
    replica leaving = make_replica("a", "10.0.0.1:1", 1);
    it.read({leaving, make_replica("b", "10.0.0.2:1", 2)}, 900);
    CHECK(it.usable() == 2);
    leaving.draining = true;
    it.read({leaving, make_replica("b", "10.0.0.2:1", 2)}, 900);
    CHECK(it.usable() == 1);
    it.read({make_replica("b", "10.0.0.2:1", 2)}, 900);
    CHECK(it.directory.size() == 1);
}

TEST_CASE("entries that lapsed in an outage are kept for a while", "[replicas]")
{
    directory_fixture it;
    replica const a = make_replica("a", "10.0.0.1:1", 1);
    replica const b = make_replica("b", "10.0.0.2:1", 2);
    it.read({a, b}, 900);
    it.read({a}, 4000);
    CHECK(it.usable() == 2);
    it.read({a}, 1000);
    CHECK(it.usable() == 2);
    it.read({a}, 1300);
    CHECK(it.usable() == 1);
}

TEST_CASE("of two replicas at an address the later one is there", "[replicas]")
{
    directory_fixture it;
    it.read(
        {make_replica("old", "10.0.0.1:1", 1),
         make_replica("new", "10.0.0.1:1", 9)},
        900);
    REQUIRE(it.usable() == 1);
    CHECK(
        it.directory.usable(service_name{"s"}).front()->id ==
        backend_server_id{"new"});
}

TEST_CASE("an address stands for the later replica", "[replicas]")
{
    directory_fixture it;
    it.read(
        {make_replica("a", "10.0.0.1:1", 7),
         make_replica("b", "10.0.0.1:1", 9),
         make_replica("c", "10.0.0.1:1", 8)},
        900);
    replica const* const found = it.directory.find_by_address("10.0.0.1:1");
    REQUIRE(found);
    CHECK(found->id.str() == "b");
    CHECK_FALSE(it.directory.find_by_address("10.0.0.2:1"));
}

TEST_CASE("a replica that another one answers for is left alone", "[replicas]")
{
    directory_fixture it;
    replica const a = make_replica("a", "10.0.0.1:1", 1);
    it.read({a}, 900);
    it.directory.on_misdirected(a.id, it.now);
    CHECK(it.usable() == 0);
    it.read({a}, 900);
    CHECK(it.usable() == 0);
    it.read({a}, 4500);
    CHECK(it.usable() == 1);
}
