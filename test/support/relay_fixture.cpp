#include "relay_fixture.hpp"

namespace test
{

using namespace hornbeamweir;
using std::chrono::milliseconds;

namespace
{

route make_route(
    std::string const& name, std::string const& service, retry_class retries)
{
    route out;
    out.name = name;
    out.host = "h";
    out.prefix = "/" + name + "/";
    out.services = {{service_name{service}, 1}};
    out.retries = retries;
    out.streaming = retries == retry_class::resumable_stream;
    out.timeout = milliseconds{4000};
    out.target_latency = milliseconds{300};
    out.max_attempts = retries == retry_class::at_most_once ? 1 : 2;
    return out;
}

replica
make_replica(std::string const& id, std::string const& service, int port)
{
    replica out;
    out.id = backend_server_id{id};
    out.service = service_name{service};
    out.address = "127.0.0.1:" + std::to_string(port);
    out.data_centre = data_centre_id{"a"};
    out.slots = 4;
    return out;
}

relay::relay_settings settings()
{
    relay::relay_settings out;
    out.data_centre = data_centre_id{"a"};
    out.retry_budget.allowance = 100;
    return out;
}

} // namespace

relay_fixture::relay_fixture()
    : core{settings(), log, metrics, random_source{1}}
{
    route_configuration configuration;
    configuration.version = 7;
    configuration.routes = {
        make_route("safe", "plain", retry_class::idempotent),
        make_route("once", "plain", retry_class::at_most_once),
        make_route("stream", "lm", retry_class::resumable_stream),
        make_route("open", "plain", retry_class::idempotent)};
    configuration.routes.back().open_to_all = true;
    configuration.services = {
        {service_name{"plain"}, 100, {}}, {service_name{"lm"}, 100, {}}};
    configuration.keys_required = true;
    configuration.keys = {{"key", {customer_id{"school"}, {}}}};
    core.routes().update(configuration, now);
    std::map<backend_server_id, replica> replicas;
    for (replica const& it :
         {make_replica("p1", "plain", 1),
          make_replica("p2", "plain", 2),
          make_replica("l1", "lm", 3),
          make_replica("l2", "lm", 4)})
        replicas.emplace(it.id, it);
    static_cast<void>(core.replicas().update(replicas, now));
}

relay::actions relay_fixture::request(
    std::uint64_t number, std::string const& target, int caller_timeout_ms)
{
    relay_request out;
    out.id = request_id{"r" + std::to_string(number)};
    out.method = "POST";
    out.target = target;
    out.host = "h";
    out.key = "key";
    out.caller_timeout = milliseconds{caller_timeout_ms};
    return core.on_request(number, std::move(out), now);
}

void relay_fixture::advance(milliseconds time, bool confirmed)
{
    now += time;
    if (confirmed)
        core.routes().confirm(now);
}

replica_response_head signed_response(unsigned status)
{
    replica_response_head out;
    out.status = status;
    out.is_signed = true;
    return out;
}

replica_response_head not_executed(unsigned status)
{
    replica_response_head out;
    out.status = status;
    out.not_executed = true;
    return out;
}

} // namespace test
