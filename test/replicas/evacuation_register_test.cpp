#include <hornbeamweir/replicas/evacuation_register.hpp>
#include <hornbeamweir/replicas/replica_directory.hpp>

#include <catch2/catch.hpp>

#include <vector>

using namespace hornbeamweir;

namespace
{

data_centre_id const a{"a"};
data_centre_id const b{"b"};
time_point const now{std::chrono::seconds{100}};

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
    CHECK_FALSE(known.update({{}, 5}, now));
    CHECK(known.update({{a}, 7}, now));
    CHECK_FALSE(known.update({{}, 6}, now));
    CHECK_FALSE(known.update({{b}, 7}, now));
    CHECK(known.current().data_centres == std::set<data_centre_id>{a});
    CHECK_FALSE(known.update({{a}, 9}, now));
    CHECK(known.update({{a, b}, 10}, now));
    CHECK(known.update({{b}, 11}, now));
    CHECK(known.update({{}, 12}, now));
}

// Guards against entries that ignore evacuations after the store was replaced
// by an older copy, whose revisions are lower: they went on sending requests to
// the data centre until the revisions had caught up.
TEST_CASE("an evacuation of a later era of the store holds", "[replicas]")
{
    evacuation_register known;
    REQUIRE_FALSE(known.update({{}, 900, 1}, now));
    CHECK(known.update({{a}, 850, 2}, now));
    CHECK_FALSE(known.update({{}, 901, 1}, now));
    CHECK(known.current().data_centres == std::set<data_centre_id>{a});
    CHECK(known.update({{}, 851, 2}, now));
}

// Guards against requests to a data centre whose evacuation the store has lost,
// in the time until the operator has written it again.
TEST_CASE("an evacuation that the store has lost is retained", "[replicas]")
{
    using names = std::set<data_centre_id>;
    constexpr duration limit = evacuation_register::retention_time;
    constexpr duration moment{1};
    struct row
    {
        char const* name;
        std::vector<evacuations> reads;
        names at_once;
        names after_limit;
    };
    std::vector<row> const rows{
        {"it is written again", {{{}, 850, 2}, {{a}, 860, 2}}, {a}, {a}},
        {"it is written again and taken back",
         {{{}, 850, 2}, {{a}, 860, 2}, {{}, 870, 2}},
         {},
         {}},
        {"it is never written again", {{{}, 850, 2}, {{}, 860, 2}}, {a}, {}},
        {"another one is older than the copy", {{{b}, 850, 2}}, {a, b}, {b}},
        {"a second copy", {{{}, 850, 2}, {{}, 840, 3}}, {a}, {}}};
    for (row const& it : rows)
    {
        CAPTURE(it.name);
        evacuation_register known;
        static_cast<void>(known.update({{a}, 900, 1}, now));
        for (evacuations const& read : it.reads)
            static_cast<void>(known.update(read, now));
        CHECK(known.current().data_centres == it.at_once);
        static_cast<void>(known.expire(now + limit - moment));
        CHECK(known.current().data_centres == it.at_once);
        static_cast<void>(known.expire(now + limit));
        CHECK(known.current().data_centres == it.after_limit);
    }
}

// Guards against an entry that starts after the loss and uses the data centre,
// and against entries that prolong a retention by telling it to each other.
TEST_CASE("a retained evacuation is adopted once, from its witness")
{
    evacuation_register witness;
    static_cast<void>(witness.update({{a}, 900, 1}, now));
    static_cast<void>(witness.update({{}, 850, 2}, now));
    evacuation_register started;
    static_cast<void>(started.update({{}, 851, 2}, now));
    duration const half = evacuation_register::retention_time / 2;
    CHECK_FALSE(started.adopt_retained(witness.retained(now), 1, now));
    CHECK(started.adopt_retained(witness.retained(now + half), 2, now + half));
    CHECK(started.current().data_centres.contains(a));
    CHECK(started.retained(now + half).empty());
    CHECK_FALSE(started.adopt_retained(
        {{a, evacuation_register::retention_time}}, 2, now + half));
    CHECK(started.expire(now + 2 * half));
    CHECK(started.current().data_centres.empty());
    CHECK_FALSE(started.adopt_retained({{a, half}}, 2, now + 2 * half));
}

TEST_CASE("replicas of evacuated data centres get no requests", "[replicas]")
{
    replica_directory directory;
    service_name const service{"s"};
    std::map<backend_server_id, replica> snapshot;
    for (replica const& it :
         {make_replica("1", a), make_replica("2", b), make_replica("3", b)})
        snapshot.emplace(it.id, it);
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
