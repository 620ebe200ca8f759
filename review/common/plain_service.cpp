#include "plain_service.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <stdexcept>

namespace review
{

namespace
{

using std::chrono::milliseconds;
using clock_type = std::chrono::steady_clock;

constexpr milliseconds heartbeat{1200};
constexpr unsigned ok = 200;
constexpr unsigned misdirected = 421;

std::string entry_settings(
    std::string const& name,
    std::string const& zone,
    std::string const& store_address,
    int callers,
    int readiness)
{
    std::string const local = "\"127.0.0.1:";
    return "name: \"" + name + "\"\ndata_centre: \"" + zone +
           "\"\ncallers_address: " + local + std::to_string(callers) +
           "\"\nreadiness_address: " + local + std::to_string(readiness) +
           "\"\npeers_address: " + local + std::to_string(free_port()) +
           "\"\nmetrics_address: " + local + std::to_string(free_port()) +
           "\"\nplatform_address: \"" + store_address +
           "\"\nkey_withdrawal_ms: 5000\ngrace_s: 8\nrepeats:\n  ratio: 0.2\n"
           "  allowance: 128\n  window_s: 10\nlog:\n  level: info\n"
           "  lines_per_second: 300\n";
}

} // namespace

std::string
plain_configuration(int version, std::map<std::string, std::string> const& keys)
{
    boost::json::object const route{
        {"name", "check"},
        {"hostname", "shop.example"},
        {"prefix", "/check/"},
        {"service", "desk"},
        {"routeType", "safe"},
        {"maxAttempts", 2},
        {"timeoutMs", 3000},
        {"targetLatencyMs", 300},
        {"priority", 2},
        {"public", false}};
    boost::json::object out{
        {"version", version},
        {"routes", boost::json::array{route}},
        {"services",
         boost::json::array{boost::json::object{
             {"name", "desk"},
             {"slots", 6},
             {"healthPath", "/healthz"},
             {"maxConnections", 110}}}},
        {"limits",
         boost::json::object{
             {"maxHeaderBytes", 16'384},
             {"maxBodyBytes", 1'048'576},
             {"headerTimeoutMs", 5000},
             {"idleTimeoutMs", 30'000}}}};
    boost::json::array tenants;
    for (auto const& [tenant, key] : keys)
        tenants.emplace_back(boost::json::object{
            {"name", tenant}, {"apiKeys", boost::json::array{key}}});
    if (!keys.empty())
        out["tenants"] = std::move(tenants);
    return boost::json::serialize(out);
}

plain_replica::plain_replica(
    std::string id, std::string zone, store& registry, record& out)
    : id_{std::move(id)}
    , zone_{std::move(zone)}
    , registry_{registry}
    , out_{out}
    , server_{[this](connection& peer, message const& request)
              { on_request(peer, request); }}
{
    beats_ = std::thread{[this] { beat(); }};
}

plain_replica::~plain_replica()
{
    stopped_ = true;
    beats_.join();
}

int plain_replica::runs_since(clock_type::time_point time)
{
    std::lock_guard const lock{mutex_};
    return static_cast<int>(std::count_if(
        runs_.begin(),
        runs_.end(),
        [&](clock_type::time_point it) { return it > time; }));
}

bool plain_replica::has_run(std::string const& id)
{
    std::lock_guard const lock{mutex_};
    return ids_.contains(id);
}

void plain_replica::beat()
{
    for (clock_type::time_point next = clock_type::now(); !stopped_;
         std::this_thread::sleep_for(milliseconds{20}))
    {
        if (clock_type::now() < next || !registry_.is_up())
            continue;
        next = clock_type::now() + heartbeat;
        registry_.put(
            "servers/" + id_,
            boost::json::serialize(boost::json::object{
                {"service", "desk"},
                {"address", server_.address()},
                {"zone", zone_},
                {"version", "1"},
                {"slots", 6},
                {"state", "ready"},
                {"coldRemainingMs", 0},
                {"born", 1'750'000'000'000},
                {"sequence", ++sequence_}}));
    }
}

void plain_replica::on_request(connection& peer, message const& request)
{
    std::string const expected = request.field("x-hornbeamweir-expect-replica");
    std::string const id = request.field("x-hornbeamweir-attempt-id");
    if (!expected.empty() && expected != id_)
    {
        peer.send(response_text(misdirected, {}));
        return;
    }
    {
        std::lock_guard const lock{mutex_};
        runs_.push_back(clock_type::now());
        ids_.insert(id);
    }
    out_.note("request " + id + " runs at " + id_ + " in " + zone_);
    peer.send(response_text(
        ok,
        "ok",
        {{"X-Hornbeamweir-Attempt-Id", id},
         {"X-Hornbeamweir-Replica-Signature", id_},
         {"X-Hornbeamweir-Replica-Id", id_}}));
}

entry::entry(
    std::string const& name,
    std::string const& zone,
    std::string const& store_address,
    std::string const& folder)
    : program_{std::make_unique<process>(
          name,
          "target/platform/hornbeamweir-platform-entry",
          entry_settings(name, zone, store_address, callers_, readiness_),
          folder)}
{
}

bool entry::is_ready() const
{
    std::unique_ptr<connection> const peer = connection::open(readiness_);
    if (!peer || !peer->send("GET /hornbeamweir/readyz HTTP/1.1\r\n"
                             "Host: entry\r\n\r\n"))
        return false;
    peer->set_timeout(1000);
    std::optional<message> const answer = peer->read();
    return answer && answer->status == ok;
}

void entry::wait_until_ready() const
{
    constexpr int max_tries = 200;
    for (int n = 0; !is_ready(); ++n)
    {
        if (n == max_tries)
            throw std::runtime_error{"an entry does not become ready"};
        std::this_thread::sleep_for(milliseconds{50});
    }
}

plain_client::plain_client(
    std::string name, int port, std::string key, record& out)
    : name_{std::move(name)}
    , port_{port}
    , key_{std::move(key)}
    , out_{out}
    , loop_{[this] { run(); }}
{
}

plain_client::~plain_client()
{
    stopped_ = true;
    loop_.join();
}

std::vector<plain_client::sent_request> plain_client::sent()
{
    std::lock_guard const lock{mutex_};
    return sent_;
}

void plain_client::run()
{
    constexpr milliseconds gap{50};
    std::string const authorization =
        key_.empty() ? std::string{} : "Authorization: Bearer " + key_ + "\r\n";
    std::unique_ptr<connection> peer;
    for (int n = 1; !stopped_; ++n)
    {
        std::this_thread::sleep_for(gap);
        if (!peer)
            peer = connection::open(port_);
        if (!peer)
            continue;
        peer->set_timeout(3000);
        std::string const id = name_ + std::to_string(n);
        out_.note("request " + id + " sent");
        {
            std::lock_guard const lock{mutex_};
            sent_.push_back({id, clock_type::now()});
        }
        std::string text =
            "GET /check/1 HTTP/1.1\r\nHost: shop.example\r\n" + authorization;
        text.append("X-Hornbeamweir-Attempt-Id: ")
            .append(id)
            .append("\r\nX-Hornbeamweir-Deadline-Ms: 3000\r\n\r\n");
        std::optional<message> answer;
        if (peer->send(text))
            answer = peer->read();
        out_.note(
            "request " + id + " answered " +
            (answer ? std::to_string(answer->status) : "by a close"));
        if (!answer || answer->field("connection") == "close")
            peer.reset();
    }
}

} // namespace review
