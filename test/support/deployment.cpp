#include "test/support/deployment.hpp"

#include <hornbeamweir/core/content_hash.hpp>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

namespace test
{

namespace
{

std::string local(int port)
{
    return "127.0.0.1:" + std::to_string(port);
}

std::string message_section(
    int port,
    hornbeamweir::curve_keys const& keys,
    std::vector<std::string> const& allowed)
{
    std::string text = "messages:\n  address: " + local(port) +
                       "\n  public_key: '" + keys.public_key +
                       "'\n  secret_key: '" + keys.secret_key +
                       "'\n  allowed_keys:\n";
    for (std::string const& key : allowed)
        text += "    - '" + key + "'\n";
    return text;
}

} // namespace

deployment::node deployment::make_node()
{
    return {
        free_port(), free_port(), free_port(), hornbeamweir::make_curve_keys()};
}

deployment::deployment(sizes const& of)
    : sizes_{of}
    , platform_port_{free_port()}
{
    std::string name = "/tmp/hornbeamweir-test-XXXXXX";
    if (mkdtemp(name.data()) == nullptr)
        throw std::runtime_error{"cannot create a temporary directory"};
    folder_ = name;
    for (int n = 0; n < of.entries; ++n)
        entries_.push_back(make_node());
    // The engine's ranks listen on consecutive ports.
    constexpr int first_port = 21000;
    constexpr int port_range = 8000;
    engine_port_ = first_port + free_port() % port_range;
    for (int n = 0; n < of.ranks; ++n)
        servers_["rank-" + std::to_string(n)] = {
            make_node(), engine_port_ + n, true, n};
    for (int n = 0; n < of.services; ++n)
        servers_["badges-" + std::to_string(n)] = {
            make_node(), free_port(), false, 0};

    write_client_settings();
    start_platform();
    start_backends();
    for (auto it = servers_.begin(); it != servers_.end(); ++it)
        start_agent(it->first);
    for (int n = 0; n < of.entries; ++n)
        start_entry(n);
}

deployment::~deployment()
{
    processes_.clear();
    if (std::getenv("HORNBEAMWEIR_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(folder_);
}

void deployment::start(
    std::string const& name,
    std::string const& program,
    std::vector<std::string> const& arguments,
    std::size_t max_descriptors)
{
    processes_[name] = std::make_unique<child_process>(
        program, arguments, folder_ + "/" + name + ".log", max_descriptors);
}

void deployment::start_platform()
{
    start("platform", "standin-platform", {"--address", local(platform_port_)});
    static_cast<void>(
        eventually([&] { return get(platform_port_, "/counts").whole; }));
}

void deployment::start_backends()
{
    start(
        "engine",
        "standin-engine",
        {"--ranks",
         std::to_string(sizes_.ranks),
         "--base-port",
         std::to_string(engine_port_),
         "--weight-store",
         local(platform_port_),
         "--expert-bytes",
         "100000000",
         "--step-ms",
         std::to_string(sizes_.step_ms)});
    for (auto it = servers_.begin(); it != servers_.end(); ++it)
    {
        if (it->second.is_rank)
            continue;
        start(
            "service-" + it->first,
            "standin-service",
            {"--address",
             local(it->second.backend),
             "--record",
             folder_ + "/" + it->first + ".record"});
    }
}

void deployment::start_entry(int n)
{
    std::string const name = "entry-" + std::to_string(n);
    start(
        name,
        "hornbeamweir-entry",
        {"--settings", write(name + ".yaml", entry_settings(n))},
        sizes_.max_descriptors);
}

void deployment::start_agent(std::string const& id)
{
    std::string const name = "agent-" + id;
    start(
        name,
        "hornbeamweir-agent",
        {"--settings", write(name + ".yaml", agent_settings(id))},
        sizes_.max_descriptors);
}

std::string deployment::entry_settings(int n) const
{
    node const& self = entries_[static_cast<std::size_t>(n)];
    std::vector<std::string> allowed;
    std::string peers;
    for (std::size_t other = 0; other < entries_.size(); ++other)
    {
        node const& it = entries_[other];
        allowed.push_back(it.keys.public_key);
        if (other != static_cast<std::size_t>(n))
            peers += "  - {name: entry-" + std::to_string(other) +
                     ", address: '" + local(it.messages) + "', public_key: '" +
                     it.keys.public_key + "'}\n";
    }
    return "identity: {name: entry-" + std::to_string(n) +
           ", data_centre: hu-central-a, vm: vm-entry-" + std::to_string(n) +
           "}\ncallers:\n  address: " + local(self.port) +
           "\n  max_body_bytes: 65536\n  read_timeout_ms: " +
           std::to_string(sizes_.read_timeout_ms) +
           "\nadmin_address: " + local(self.admin) + "\n" +
           message_section(self.messages, self.keys, allowed) +
           (peers.empty() ? "" : "peers:\n" + peers) +
           "platform:\n  addresses: ['" + local(platform_port_) +
           "']\n  timeout_ms: 500\n" + sizes_.more_settings;
}

std::string deployment::agent_settings(std::string const& name) const
{
    server const& self = servers_.at(name);
    std::vector<std::string> allowed;
    for (node const& it : entries_)
        allowed.push_back(it.keys.public_key);
    return "identity: {name: agent-" + name +
           ", data_centre: hu-central-a, vm: vm-" + name +
           "}\nbackend_server: " + name +
           "\nbackend_address: " + local(self.backend) +
           "\nadmin_address: " + local(self.agent.admin) + "\n" +
           message_section(self.agent.messages, self.agent.keys, allowed) +
           "platform:\n  addresses: ['" + local(platform_port_) + "']\n" +
           sizes_.more_settings;
}

std::string
deployment::first_note(std::string const& limits, int customers) const
{
    std::string text =
        "note: first\nbase_revision: 0\nadded:\n  model_groups:\n"
        "    - {id: group-a, model: stroke-coach, ranks: " +
        std::to_string(sizes_.ranks) +
        ", experts_per_layer: 8, slots_per_rank: 8}\n  customers:\n"
        "    - {id: vizijel, token_hash: " +
        hornbeamweir::content_hash(token) +
        (limits.empty() ? "" : ", " + limits) +
        "}\n    - {id: tanabe, requests_per_second: 5, burst: 5, token_hash: " +
        hornbeamweir::content_hash(other_token) + "}\n";
    for (int n = 2; n < customers; ++n)
    {
        std::string const id = "customer-" + std::to_string(n);
        text += "    - {id: " + id +
                ", token_hash: " + hornbeamweir::content_hash(id) + "}\n";
    }
    text += "  backend_servers:\n";
    for (auto it = servers_.begin(); it != servers_.end(); ++it)
    {
        server const& of = it->second;
        text += "    - {id: " + it->first +
                (of.is_rank ? ", kind: rank, group: group-a, rank: " +
                                  std::to_string(of.rank)
                            : std::string{", kind: service, service: badges"}) +
                ", vm: vm-" + it->first +
                ", data_centre: hu-central-a, agent_address: '" +
                local(of.agent.messages) + "', agent_key: '" +
                of.agent.keys.public_key + "'}\n";
    }
    return text;
}

void deployment::apply_first_note(std::string const& limits, int customers)
{
    finished_process const applied =
        operate({"apply", write("first.yaml", first_note(limits, customers))});
    if (applied.code != 0)
        throw std::runtime_error{"apply failed: " + applied.output};
    for (std::size_t n = 0; n < entries_.size(); ++n)
    {
        bool const usable = eventually(
            [&]
            {
                http_answer const answer = get(entries_[n].admin, "/status");
                std::size_t found = 0;
                std::string const needle = "\"usable\":true";
                for (std::size_t at = answer.body.find(needle);
                     at != std::string::npos;
                     at = answer.body.find(needle, at + 1))
                    ++found;
                return found == servers_.size();
            });
        if (!usable)
            throw std::runtime_error{"agents did not become usable in time"};
    }
}

finished_process deployment::operate(std::vector<std::string> arguments) const
{
    arguments.insert(
        arguments.begin(), {"--settings", folder_ + "/client.yaml"});
    return run_program("hornbeamweir", arguments);
}

void deployment::write_client_settings() const
{
    std::string text = "platform:\n  addresses: ['" + local(platform_port_) +
                       "']\n  timeout_ms: 500\nentries:\n";
    for (node const& it : entries_)
        text += "  - '" + local(it.admin) + "'\n";
    static_cast<void>(write("client.yaml", text));
}

http_answer deployment::call(
    int entry,
    std::string const& method,
    std::string const& target,
    std::string const& body,
    hornbeamweir::header_list extra,
    std::function<void(std::string const&)> const& progress) const
{
    if (find_header(extra, "Authorization") == nullptr)
        extra.push_back({"Authorization", std::string{"Bearer "} + token});
    extra.push_back({"Content-Type", "application/json"});
    return send_request(
        entry_port(entry), {method, target, std::move(extra), body}, progress);
}

std::size_t deployment::executions(std::string const& containing) const
{
    std::size_t n = 0;
    for (auto it = servers_.begin(); it != servers_.end(); ++it)
    {
        std::ifstream record{folder_ + "/" + it->first + ".record"};
        std::string line;
        while (std::getline(record, line))
            n += line.find(containing) == std::string::npos ? 0 : 1;
    }
    return n;
}

child_process& deployment::process(std::string const& name)
{
    return *processes_.at(name);
}

std::string
deployment::write(std::string const& name, std::string const& text) const
{
    std::string const path = folder_ + "/" + name;
    std::ofstream{path} << text;
    return path;
}

std::string deployment::log(std::string const& name) const
{
    std::ostringstream text;
    text << std::ifstream{folder_ + "/" + name + ".log"}.rdbuf();
    return text.str();
}

int deployment::entry_port(int n) const
{
    return entries_.at(static_cast<std::size_t>(n)).port;
}

int deployment::admin_port(int n) const
{
    return entries_.at(static_cast<std::size_t>(n)).admin;
}

int deployment::agent_admin_port(std::string const& id) const
{
    return servers_.at(id).agent.admin;
}

int deployment::backend_port(std::string const& id) const
{
    return servers_.at(id).backend;
}

int deployment::message_port(std::string const& id) const
{
    return servers_.at(id).agent.messages;
}

std::string deployment::message_key(std::string const& id) const
{
    return servers_.at(id).agent.keys.public_key;
}

int deployment::entry_message_port(int n) const
{
    return entries_.at(static_cast<std::size_t>(n)).messages;
}

hornbeamweir::curve_keys deployment::entry_keys(int n) const
{
    return entries_.at(static_cast<std::size_t>(n)).keys;
}

} // namespace test
