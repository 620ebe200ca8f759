#include <hornbeamweir/replicas/evacuation_register.hpp>
#include <hornbeamweir/replicas/replica_directory.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

namespace
{

data_centre_id const a{"a"};
data_centre_id const b{"b"};

replica make_replica(std::string const& id, data_centre_id const& data_centre)
{
    replica out;
    out.id = backend_server_id{id};
    out.service = service_name{"s"};
    out.address = id + ":1";
    out.data_centre = data_centre;
    return out;
}

} // namespace

// Guards against a delayed read that returns a data centre to service, or takes
// it out again.
TEST_CASE("the evacuations with the highest revision hold", "[replicas]")
{
    evacuation_register known;
    CHECK_FALSE(known.update({{}, 5}));
    CHECK(known.update({{a}, 7}));
    CHECK_FALSE(known.update({{}, 6}));
    CHECK_FALSE(known.update({{b}, 7}));
    CHECK(known.current().data_centres == std::set<data_centre_id>{a});
    CHECK_FALSE(known.update({{a}, 9}));
    CHECK(known.update({{a, b}, 10}));
    CHECK(known.update({{b}, 11}));
    CHECK(known.update({{}, 12}));
}

TEST_CASE("replicas of evacuated data centres get no requests", "[replicas]")
{
    replica_directory directory;
    service_name const service{"s"};
    std::map<backend_server_id, replica> snapshot;
    for (replica const& it :
         {make_replica("1", a), make_replica("2", b), make_replica("3", b)})
        snapshot.emplace(it.id, it);
    time_point const now{std::chrono::seconds{100}};
    static_cast<void>(directory.update(snapshot, now));
    directory.set_evacuated({b});
    REQUIRE(directory.usable(service).size() == 1);
    CHECK(directory.usable(service).front()->data_centre == a);
    CHECK_FALSE(directory.is_evacuated(service));
    CHECK(directory.replicas_by_data_centre().at(b) == 2);
    // A replica that registers later is bound as well.
    snapshot.emplace(backend_server_id{"4"}, make_replica("4", b));
    static_cast<void>(directory.update(snapshot, now));
    CHECK(directory.usable(service).size() == 1);
    directory.set_evacuated({a, b});
    CHECK(directory.is_evacuated(service));
    CHECK_FALSE(directory.is_evacuated(service_name{"unknown"}));
    directory.set_evacuated({a});
    CHECK(directory.usable(service).size() == 3);
}
