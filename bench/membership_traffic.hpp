#pragma once

#include <hornbeamweir/agent/agent_core.hpp>
#include <hornbeamweir/entry/entry_core.hpp>
#include <hornbeamweir/routing/cost_aware_policy.hpp>

#include <memory>

/// \file
/// \brief Control traffic of one entry and its agents in virtual time.

namespace bench
{

using namespace hornbeamweir;

/// Size of a CurveZMQ MESSAGE command (8 bytes of name, 8 of nonce, 16 of MAC,
/// 1 of flags; RFC 26) in a ZMTP 3 frame with a short header (2 bytes; RFC 23).
inline constexpr std::size_t curve_bytes = 35;
/// Size of the Ethernet, IPv4 and TCP headers, with TCP timestamps.
inline constexpr std::size_t packet_bytes = 66;
/// One TCP acknowledgement without data for every two messages.
inline constexpr std::size_t acknowledgement_bytes = packet_bytes / 2;
inline constexpr std::size_t overhead_bytes =
    curve_bytes + packet_bytes + acknowledgement_bytes;

struct fleet_size
{
    int entries = 0;
    int agents = 0;
    int models = 0;
};

struct traffic
{
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    void add(wire::envelope const& message)
    {
        ++messages;
        bytes += message.ByteSizeLong() + overhead_bytes;
    }
};

inline std::string numbered(std::string const& name, int n)
{
    std::string digits = std::to_string(n);
    constexpr std::size_t width = 5;
    digits.insert(0, width - digits.size(), '0');
    return name + digits;
}

inline std::vector<process_name> entry_names(int n)
{
    std::vector<process_name> names;
    names.reserve(static_cast<std::size_t>(n));
    for (int k = 0; k < n; ++k)
        names.emplace_back(numbered("entry-hu-central-", k));
    return names;
}

using server_lists = std::vector<std::vector<backend_server_id>>;

inline server_lists make_servers(fleet_size const& size)
{
    server_lists lists(static_cast<std::size_t>(size.models));
    for (int n = 0; n < size.agents; ++n)
        lists[static_cast<std::size_t>(n % size.models)].emplace_back(
            numbered("server-hu-central-", n));
    return lists;
}

inline configuration_part make_objects(server_lists const& lists)
{
    configuration_part objects;
    for (std::size_t model = 0; model < lists.size(); ++model)
    {
        for (backend_server_id const& id : lists[model])
        {
            backend_server& it = objects.backend_servers[id];
            it.id = id;
            it.kind = backend_kind::service;
            it.service = "service-" + std::to_string(model);
            it.vm = vm_id{"vm-" + id.str()};
            it.data_centre = data_centre_id{"hu-central-a"};
            it.agent_address = "10.0.0.1:7000";
            it.agent_key = std::string(40, 'k');
        }
    }
    return objects;
}

/// One entry with the agents of its subset; messages arrive without delay.
class simulation
{
public:
    explicit simulation(fleet_size const& size)
        : entry_{
              make_settings(size), random_source{1}, routing_, log_, metrics_}
    {
        encoded_configuration encoded =
            encode_configuration(make_objects(make_servers(size)), 1, "note-1");
        contents_ = std::move(encoded.contents);
        entry_.on_platform_head(encoded.head, now_);
        run(std::chrono::seconds{30});
        entry_traffic_ = {};
        agent_traffic_ = {};
        run(measured_time);
    }

    static constexpr duration measured_time = std::chrono::seconds{60};

    [[nodiscard]] traffic entry_traffic() const { return entry_traffic_; }
    /// Traffic between all simulated agents and this entry.
    [[nodiscard]] traffic agent_traffic() const { return agent_traffic_; }
    [[nodiscard]] std::size_t agents() const { return agents_.size(); }

private:
    static entry_settings make_settings(fleet_size const& size)
    {
        entry_settings settings;
        std::vector<process_name> const names = entry_names(size.entries);
        settings.identity.name = names.front();
        for (std::size_t n = 1; n < names.size(); ++n)
            settings.peers.push_back({names[n], "10.0.0.2:7000", ""});
        return settings;
    }

    void run(duration span)
    {
        constexpr duration step = std::chrono::milliseconds{20};
        for (time_point const end = now_ + span; now_ < end; now_ += step)
        {
            entry_.on_tick(now_);
            flush_entry();
            for (auto it = agents_.begin(); it != agents_.end(); ++it)
            {
                it->second->on_tick(now_);
                flush_agent(it->first, *it->second);
            }
        }
    }

    void flush_entry()
    {
        std::vector<entry_action> actions = entry_.take_actions();
        while (!actions.empty())
        {
            for (entry_action& action : actions)
                perform(action);
            actions = entry_.take_actions();
        }
    }

    void perform(entry_action& action)
    {
        if (dial_agent const* const to = std::get_if<dial_agent>(&action))
            dial(to->id);
        else if (
            read_part_from_platform const* const read =
                std::get_if<read_part_from_platform>(&action))
            entry_.on_platform_part(read->hash, contents_.at(read->hash), now_);
        else if (send_envelope* const out = std::get_if<send_envelope>(&action))
            deliver(*out);
    }

    void dial(std::string const& id)
    {
        constexpr std::string_view prefix = "agent/";
        if (!id.starts_with(prefix))
            return;
        agent_settings settings;
        settings.backend_server = backend_server_id{id.substr(prefix.size())};
        agents_[id] =
            std::make_unique<agent_core>(settings, incarnation, log_, metrics_);
    }

    void deliver(send_envelope& out)
    {
        out.message.set_sender(numbered("entry-hu-central-", 0));
        out.message.set_incarnation(incarnation);
        entry_traffic_.add(out.message);
        auto const it = agents_.find(out.to.id);
        if (it != agents_.end())
        {
            agent_traffic_.add(out.message);
            it->second->on_message(
                {peer_side::accepted, "entry"}, out.message, now_);
            flush_agent(it->first, *it->second);
            return;
        }
        // Other entries are not simulated. The number that ping this entry
        // equals the number that it pings, and a copy of the sent message is
        // counted as the received one.
        if (out.to.side == peer_side::dialled)
        {
            entry_traffic_.add(out.message);
            entry_.on_message(
                {peer_side::accepted, out.to.id}, out.message, now_);
        }
        else
            entry_traffic_.add(out.message);
    }

    void flush_agent(std::string const& id, agent_core& agent)
    {
        for (agent_action& action : agent.take_actions())
        {
            if (std::holds_alternative<probe_backend>(action))
                agent.on_probe(R"({"queued":3,"step_us":20000})");
            agent_send* const out = std::get_if<agent_send>(&action);
            if (out == nullptr)
                continue;
            out->message.set_sender("agent-" + id);
            out->message.set_incarnation(incarnation);
            entry_traffic_.add(out->message);
            agent_traffic_.add(out->message);
            entry_.on_message({peer_side::dialled, id}, out->message, now_);
        }
    }

    /// The varint encoding of this value has the maximum length.
    static constexpr std::uint64_t incarnation = 1ULL << 63U;

    null_event_log log_;
    metrics_registry metrics_;
    cost_aware_policy routing_{random_source{2}};
    entry_core entry_;
    content_map contents_;
    std::map<std::string, std::unique_ptr<agent_core>> agents_;
    traffic entry_traffic_;
    traffic agent_traffic_;
    /// Uptime of 90 days, so that clock values have a realistic encoded size.
    time_point now_{std::chrono::hours{24 * 90}};
};

} // namespace bench
