#include <hornbeamweir/transport/connection_table.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;

// Guards against a message port on which connections that never authenticate
// keep out the processes of the system.

TEST_CASE("connections without a message make room, the oldest first")
{
    connection_table table{3};
    CHECK_FALSE(table.on_accepted(10, "a"));
    CHECK_FALSE(table.on_accepted(11, "a"));
    CHECK_FALSE(table.on_accepted(12, "a"));
    table.on_message(10);
    CHECK(table.on_accepted(13, "a") == 11);
    CHECK(table.on_accepted(14, "a") == 12);
    CHECK(table.size() == 3);
}

TEST_CASE("the host with most connections makes room")
{
    connection_table table{4};
    CHECK_FALSE(table.on_accepted(10, "process"));
    for (int descriptor : {11, 12, 13})
        CHECK_FALSE(table.on_accepted(descriptor, "crowd"));
    CHECK(table.on_accepted(14, "crowd") == 11);
    CHECK(table.on_accepted(15, "other") == 12);
    CHECK(table.on_accepted(16, "crowd") == 13);
}

TEST_CASE("connections that delivered a message are never ended")
{
    connection_table table{2};
    for (int descriptor : {10, 11})
    {
        CHECK_FALSE(table.on_accepted(descriptor, "process"));
        table.on_message(descriptor);
    }
    CHECK(table.on_accepted(12, "process") == 12);
    table.on_closed(10);
    CHECK_FALSE(table.on_accepted(12, "process"));
}

TEST_CASE("a descriptor that is used again belongs to the new connection")
{
    connection_table table{2};
    CHECK_FALSE(table.on_accepted(10, "process"));
    table.on_message(10);
    CHECK_FALSE(table.on_accepted(10, "crowd"));
    CHECK_FALSE(table.on_accepted(11, "crowd"));
    CHECK(table.size() == 2);
    CHECK(table.on_accepted(12, "crowd") == 10);
    table.on_message(99);
    table.on_closed(99);
    CHECK(table.size() == 2);
}
