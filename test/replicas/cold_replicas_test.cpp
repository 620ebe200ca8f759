#include <hornbeamweir/replicas/cold_replicas.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace
{

backend_server_id const id{"r"};

struct cold_fixture
{
    cold_fixture()
    {
        registration.id = id;
        registration.service = service_name{"s"};
        registration.data_centre = data_centre_id{"a"};
        cold.set_services({{service_name{"s"}, seconds{3}}}, now);
    }

    void read(bool registered, duration after)
    {
        now += after;
        std::map<backend_server_id, replica> snapshot;
        if (registered)
            snapshot.emplace(id, registration);
        cold.update(snapshot, now);
        cold.expire(now);
    }

    void renew(milliseconds remaining)
    {
        ++registration.modify_revision;
        registration.cold_remaining = remaining;
    }

    [[nodiscard]] bool is_cold_in(duration time)
    {
        now += time;
        cold.expire(now);
        return cold.cold().contains(id);
    }

    cold_replicas cold;
    replica registration;
    time_point now{seconds{100}};
};

} // namespace

TEST_CASE("a replica that registers after the first read is cold", "[cold]")
{
    cold_fixture fixture;
    fixture.read(false, milliseconds{0});
    fixture.read(true, milliseconds{900});
    CHECK(fixture.is_cold_in(milliseconds{2999}));
    CHECK_FALSE(fixture.is_cold_in(milliseconds{1}));
    std::vector<cold_replicas::change> const changes =
        fixture.cold.take_changes();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].source == cold_source::start);
    CHECK(changes[0].time == seconds{3});
    CHECK_FALSE(changes[1].is_cold);
}

// Guards against limiting all replicas after a restart of an entry, or after an
// outage of the store in which registrations expired.
TEST_CASE("a replica that only registers again is not cold", "[cold]")
{
    cold_fixture fixture;
    fixture.read(true, milliseconds{0});
    CHECK_FALSE(fixture.is_cold_in(milliseconds{0}));
    fixture.read(false, seconds{60});
    fixture.read(true, seconds{9});
    CHECK_FALSE(fixture.is_cold_in(milliseconds{0}));
    fixture.read(false, milliseconds{900});
    fixture.read(false, seconds{10});
    fixture.read(true, milliseconds{900});
    CHECK(fixture.is_cold_in(milliseconds{0}));
}

// Guards against counting a stated time anew with each read of the same
// revision, which would never end.
TEST_CASE("a stated time counts from its first read", "[cold]")
{
    cold_fixture fixture;
    fixture.renew(milliseconds{2000});
    fixture.read(true, milliseconds{0});
    fixture.read(true, milliseconds{1200});
    CHECK(fixture.is_cold_in(milliseconds{700}));
    CHECK_FALSE(fixture.is_cold_in(milliseconds{200}));
    fixture.renew(milliseconds{500});
    fixture.read(true, milliseconds{0});
    CHECK(fixture.is_cold_in(milliseconds{400}));
    CHECK_FALSE(fixture.is_cold_in(milliseconds{200}));
}

TEST_CASE("the latest of several cold times applies", "[cold]")
{
    cold_fixture fixture;
    fixture.renew(milliseconds{1000});
    fixture.read(true, milliseconds{0});
    fixture.cold.on_reported(
        id, milliseconds{1500}, cold_source::response, fixture.now);
    fixture.cold.on_reported(
        id, milliseconds{100}, cold_source::peer_report, fixture.now);
    CHECK(fixture.cold.seen(fixture.now).at(id) == milliseconds{1500});
    CHECK(fixture.is_cold_in(milliseconds{1400}));
    fixture.cold.on_data_centre_restored(data_centre_id{"a"}, fixture.now);
    fixture.cold.on_data_centre_restored(data_centre_id{"b"}, fixture.now);
    CHECK(fixture.is_cold_in(milliseconds{2900}));
    CHECK_FALSE(fixture.is_cold_in(milliseconds{200}));
    // A faulty replica must not be limited for good.
    fixture.cold.on_reported(
        id, std::chrono::hours{99}, cold_source::response, fixture.now);
    CHECK_FALSE(fixture.is_cold_in(cold_replicas::max_time));
}

TEST_CASE("only configured services have cold replicas", "[cold]")
{
    cold_fixture fixture;
    fixture.cold.set_services({}, fixture.now);
    fixture.read(false, milliseconds{0});
    fixture.renew(milliseconds{9000});
    fixture.read(true, milliseconds{900});
    fixture.cold.on_reported(
        id, seconds{5}, cold_source::response, fixture.now);
    CHECK_FALSE(fixture.is_cold_in(milliseconds{0}));
    // The registry may be read before the configuration.
    fixture.cold.set_services(
        {{service_name{"s"}, seconds{3}}}, fixture.now += seconds{1});
    CHECK(fixture.is_cold_in(milliseconds{7900}));
    CHECK_FALSE(fixture.is_cold_in(milliseconds{200}));
}
