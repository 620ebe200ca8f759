#include <hornbeamweir/peers/rate_messages.hpp>

#include <catch2/catch.hpp>

using namespace hornbeamweir;
using std::chrono::milliseconds;

// Guards against load reports that exceed a datagram when thousands of replicas
// are cold at once.
TEST_CASE("a load report names the replicas that stay cold longest", "[cold]")
{
    std::map<backend_server_id, duration> cold;
    for (int n = 1; n <= 4000; ++n)
        cold[backend_server_id{std::to_string(n)}] = milliseconds{n};
    wire::entry_load message;
    encode_cold(cold, message);
    message.add_cold()->set_remaining_us(5);
    std::map<backend_server_id, duration> const decoded = decode_cold(message);
    CHECK(decoded.size() == 64);
    CHECK(decoded.at(backend_server_id{"4000"}) == milliseconds{4000});
    CHECK(decoded.at(backend_server_id{"3937"}) == milliseconds{3937});
}
