#include <hornbeamweir/routes/versioned_route_table.hpp>

#include <catch2/catch.hpp>

#include <algorithm>
#include <ctime>

using namespace hornbeamweir;

namespace
{

route make_route(std::string const& host, std::string const& prefix)
{
    route out;
    out.name = host + prefix;
    out.host = host;
    out.prefix = prefix;
    return out;
}

route_configuration with_version(std::uint64_t version)
{
    route_configuration out;
    out.version = version;
    return out;
}

} // namespace

TEST_CASE("the longest prefix of the host's routes is chosen", "[routes]")
{
    route_configuration configuration;
    configuration.routes = {
        make_route("a", "/x/"),
        make_route("a", "/x/y/"),
        make_route("b", "/"),
    };
    route_table const table{configuration};
    struct test_case
    {
        char const* host;
        char const* target;
        char const* name;
    };
    std::vector<test_case> const test_cases{
        {"a", "/x/1", "a/x/"},
        {"a", "/x/y/1", "a/x/y/"},
        {"a", "/x/y", "a/x/"},
        {"a", "/x/z/y/1", "a/x/"},
        {"A:8080", "/x/1?p=/x/y/", "a/x/"},
        {"a", "/xy/1", ""},
        {"a", "/", ""},
        {"b", "/anything", "b/"},
        {"c", "/x/1", ""},
    };
    for (test_case const& it : test_cases)
    {
        CAPTURE(it.host, it.target);
        route const* const found = table.find(it.host, it.target);
        CHECK((found ? found->name : "") == it.name);
    }
}

TEST_CASE("services are chosen by weight", "[routes]")
{
    route split = make_route("a", "/");
    split.services = {{service_name{"s"}, 90}, {service_name{"t"}, 10}};
    CHECK(route_table::choose_service(split, 0.0).str() == "s");
    CHECK(route_table::choose_service(split, 0.89).str() == "s");
    CHECK(route_table::choose_service(split, 0.91).str() == "t");
}

TEST_CASE("late reads neither replace nor confirm a newer version", "[routes]")
{
    versioned_route_table routes;
    time_point const start{std::chrono::seconds{10}};
    std::chrono::seconds const second{1};
    CHECK(routes.update(with_version(5), start));
    CHECK_FALSE(routes.update(with_version(3), start + second));
    CHECK(routes.table()->configuration().version == 5);
    CHECK(routes.staleness(start + second) == second);
    CHECK_FALSE(routes.update(with_version(5), start + second));
    CHECK(routes.staleness(start + second) == duration{});
    routes.confirm(start);
    CHECK(routes.staleness(start + second) == duration{});
    CHECK(routes.update(with_version(9), start + 2 * second));
}

// Guards against requests whose path of 16 KiB has a slash in each byte:
// looking up each prefix of it took a hundred thousand times as long as usual.
TEST_CASE("a path of slashes costs about as much as any other", "[routes]")
{
    constexpr std::size_t size = std::size_t{16} * 1024;
    constexpr int lookups = 20;
    constexpr std::clock_t max_ratio = 20;
    route_configuration configuration;
    configuration.routes = {make_route("a", "/x/")};
    route_table const table{configuration};
    auto const time_of = [&](std::string const& target)
    {
        std::clock_t const begin = std::clock();
        for (int n = 0; n < lookups; ++n)
            CHECK_FALSE(table.find("a", target));
        return std::clock() - begin;
    };
    std::clock_t const usual = time_of("/" + std::string(size, 'y'));
    CHECK(
        time_of(std::string(size, '/')) <=
        max_ratio * std::max<std::clock_t>(usual, 1));
}
