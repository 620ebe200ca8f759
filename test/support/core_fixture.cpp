#include "test/support/core_fixture.hpp"

#include <hornbeamweir/core/content_hash.hpp>

namespace test
{

using namespace hornbeamweir;

namespace
{

message_settings make_messages()
{
    return {"127.0.0.1:1", std::string(40, 'p'), std::string(40, 's'), {}};
}

backend_server make_server(std::string const& id, backend_kind kind)
{
    backend_server server;
    server.id = backend_server_id{id};
    server.kind = kind;
    server.group = model_group_id{kind == backend_kind::rank ? "g" : ""};
    server.service = kind == backend_kind::rank ? "" : "s";
    server.vm = vm_id{"vm-" + id};
    server.data_centre = data_centre_id{"d"};
    server.agent_address = "127.0.0.1:2";
    server.agent_key = std::string(40, 'k');
    return server;
}

} // namespace

entry_settings make_entry_settings()
{
    entry_settings settings;
    settings.identity = {
        process_name{"entry-a"}, data_centre_id{"d"}, vm_id{"vm-a"}};
    settings.messages = make_messages();
    settings.peers.push_back(
        {process_name{"entry-b"}, "127.0.0.1:3", std::string(40, 'b')});
    return settings;
}

agent_settings make_agent_settings()
{
    agent_settings settings;
    settings.identity = {
        process_name{"agent-rank-0"}, data_centre_id{"d"}, vm_id{"vm-rank-0"}};
    settings.backend_server = backend_server_id{"rank-0"};
    settings.messages = make_messages();
    return settings;
}

encoded_configuration
make_configuration(std::uint64_t revision, bool with_service)
{
    configuration_part objects;
    model_group group;
    group.id = model_group_id{"g"};
    group.model = "m";
    objects.model_groups.emplace(group.id, group);
    customer test_customer;
    test_customer.id = customer_id{"c"};
    test_customer.token_hash = content_hash("token");
    objects.customers.emplace(test_customer.id, test_customer);
    for (backend_server const& it :
         {make_server("rank-0", backend_kind::rank),
          make_server("service-0", backend_kind::service)})
        objects.backend_servers.emplace(it.id, it);
    if (!with_service)
        objects.backend_servers.erase(backend_server_id{"service-0"});
    return encode_configuration(
        objects, revision, "note-" + std::to_string(revision));
}

entry_fixture::entry_fixture(std::uint64_t seed)
    : routing{random_source{seed}}
    , core{make_entry_settings(), random_source{seed}, routing, log, metrics}
{
    core.start();
}

void entry_fixture::activate(encoded_configuration const& config)
{
    core.on_platform_head(config.head, now);
    for (auto it = config.contents.begin(); it != config.contents.end(); ++it)
        core.on_platform_part(it->first, it->second, now);
    // The first pass delivers the manifest, which lists the parts; the second
    // pass delivers the parts.
    for (auto it = config.contents.begin(); it != config.contents.end(); ++it)
        core.on_platform_part(it->first, it->second, now);
}

void entry_fixture::pong(
    std::string const& server,
    std::uint64_t incarnation,
    std::uint64_t revision)
{
    wire::envelope message;
    message.set_sender("agent-" + server);
    message.set_incarnation(incarnation);
    wire::pong& pong = *message.mutable_membership()->mutable_pong();
    pong.set_clock_us(to_wire(now));
    pong.set_state(wire::agent_state_up);
    pong.mutable_head()->set_revision(revision);
    pong.mutable_head()->set_manifest(std::string(64, 'f'));
    core.on_message({peer_side::dialled, "agent/" + server}, message, now);
}

} // namespace test
