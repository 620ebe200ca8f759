#pragma once

#include <hornbeamweir/agent/agent_core.hpp>
#include <hornbeamweir/core/content_hash.hpp>
#include <hornbeamweir/entry/entry_core.hpp>
#include <hornbeamweir/routing/cost_aware_policy.hpp>

#include <deque>
#include <memory>
#include <set>

namespace test
{

using namespace hornbeamweir;

/// \brief One entry and several agents of a service, connected by an in-memory
/// network in virtual time.
class fake_network
{
public:
    static constexpr duration step = std::chrono::milliseconds{10};
    static constexpr duration service_time = std::chrono::milliseconds{50};

    struct outcome
    {
        unsigned status = 0;
        std::string body;
        bool ended = false;
    };

    /// \param agents Number of agents, distributed round-robin over three data
    /// centres.
    explicit fake_network(int agents)
    {
        for (int n = 0; n < agents; ++n)
            add_agent(n);
        entry_settings settings;
        settings.identity = {
            process_name{"entry-0"}, data_centre_id{"oita"}, vm_id{"vm-e"}};
        entry_ = std::make_unique<entry_core>(
            settings, random_source{1}, routing_, log_, metrics_);
        configure();
        run(std::chrono::seconds{2});
    }

    /// \brief Advances virtual time.
    void run(duration span)
    {
        for (time_point const end = now_ + span; now_ < end;)
        {
            now_ += step;
            advance_step();
        }
    }

    /// \brief Sends a request without waiting for its response.
    request_id send(bool idempotent, int timeout_ms = 10'000)
    {
        request_id const id = entry_->on_request(
            {idempotent ? "GET" : "POST",
             "/services/stock/" + std::to_string(sent_++),
             {{"Authorization", "Bearer token"},
              {"X-Request-Timeout-Ms", std::to_string(timeout_ms)}},
             ""},
            now_);
        outcomes_[id];
        flush_entry();
        return id;
    }

    /// \brief Sends a request and waits for its response until a time limit.
    outcome call(bool idempotent, duration limit = std::chrono::seconds{10})
    {
        request_id const id = send(idempotent);
        for (time_point const end = now_ + limit;
             now_ < end && !outcomes_[id].ended;)
            run(step);
        return outcomes_[id];
    }

    /// \brief Publishes a new configuration with the current agents.
    void configure()
    {
        configuration_part objects;
        customer& caller = objects.customers[customer_id{"tanabe"}];
        caller.id = customer_id{"tanabe"};
        caller.token_hash = content_hash("token");
        caller.requests_per_second = 1e6;
        caller.burst = 1'000'000;
        caller.concurrency = 1'000'000;
        for (auto it = agents_.begin(); it != agents_.end(); ++it)
            objects.backend_servers[it->second.server.id] = it->second.server;
        encoded_configuration const encoded =
            encode_configuration(objects, ++revision_, "note");
        contents_ = encoded.contents;
        entry_->on_platform_head(encoded.head, now_);
        flush_entry();
    }

    /// \brief Restarts an agent, which loses its state and its messages.
    void restart(int n)
    {
        agent_node& it = agents_.at(n);
        it.core = std::make_unique<agent_core>(
            it.settings, ++incarnation_, log_, metrics_);
        it.running.clear();
        it.inbox.clear();
        it.incarnation = incarnation_;
    }

    void add_agent(int n)
    {
        agent_node& it = agents_[n];
        std::string const name = "server-" + std::to_string(n);
        it.settings.backend_server = backend_server_id{name};
        it.server.id = it.settings.backend_server;
        it.server.kind = backend_kind::service;
        it.server.service = "stock";
        it.server.vm = vm_id{"vm-" + std::to_string(n)};
        it.server.data_centre = data_centre_id{std::to_string(n % 3)};
        it.server.agent_address = "127.0.0.1:1";
        restart(n);
    }

    struct agent_node
    {
        agent_settings settings;
        backend_server server;
        std::unique_ptr<agent_core> core;
        std::uint64_t incarnation = 0;
        std::deque<wire::envelope> inbox;
        std::map<call_number, time_point> running;
        /// Targets of executed requests, with the time of each execution.
        std::vector<std::pair<std::string, time_point>> executed;
        /// Whether messages in both directions are lost.
        bool disconnected = false;
        /// Whether the agent process is stopped; messages to it are queued.
        bool suspended = false;
        /// Whether only heartbeat replies are lost; answers arrive.
        bool loses_heartbeats = false;
    };

    [[nodiscard]] agent_node& agent(int n) { return agents_.at(n); }
    [[nodiscard]] std::map<int, agent_node>& agents() { return agents_; }
    [[nodiscard]] entry_core& entry() { return *entry_; }
    [[nodiscard]] outcome const& response(request_id const& id)
    {
        return outcomes_[id];
    }
    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] std::map<request_id, outcome> const& outcomes() const
    {
        return outcomes_;
    }

    /// \brief Returns the number of executions of each target.
    [[nodiscard]] std::map<std::string, int> executions() const
    {
        std::map<std::string, int> counts;
        for (auto it = agents_.begin(); it != agents_.end(); ++it)
        {
            for (std::pair<std::string, time_point> const& run :
                 it->second.executed)
                ++counts[run.first];
        }
        return counts;
    }

    /// \brief Suspends or resumes the entry. Messages to it are queued
    /// meanwhile.
    void set_entry_suspended(bool suspended) { entry_suspended_ = suspended; }
    bool platform_down = false;
    int platform_reads = 0;

private:
    void advance_step()
    {
        for (auto it = agents_.begin(); it != agents_.end(); ++it)
            advance_step(it->second);
        if (entry_suspended_)
            return;
        // After a suspension, a process may handle its timer before its queued
        // messages.
        entry_->on_tick(now_);
        flush_entry();
        std::deque<std::pair<peer, wire::envelope>> arrived;
        arrived.swap(entry_inbox_);
        for (std::pair<peer, wire::envelope> const& it : arrived)
            entry_->on_message(it.first, it.second, now_);
        flush_entry();
    }

    void advance_step(agent_node& it)
    {
        if (it.suspended)
            return;
        std::deque<wire::envelope> arrived;
        arrived.swap(it.inbox);
        for (wire::envelope const& message : arrived)
            it.core->on_message(
                {peer_side::accepted, "entry-0"}, message, now_);
        std::vector<call_number> ended;
        for (auto run = it.running.begin(); run != it.running.end(); ++run)
        {
            if (run->second <= now_)
                ended.push_back(run->first);
        }
        for (call_number const call : ended)
        {
            it.running.erase(call);
            it.core->on_call_head(call, 200, {});
            it.core->on_call_data(call, "done");
            it.core->on_call_ended(call, now_);
        }
        it.core->on_tick(now_);
        flush(it);
    }

    void flush(agent_node& it)
    {
        for (agent_action& action : it.core->take_actions())
        {
            if (agent_send* const out = std::get_if<agent_send>(&action))
            {
                out->message.set_incarnation(it.incarnation);
                bool const lost =
                    it.disconnected ||
                    (it.loses_heartbeats && out->message.has_membership());
                if (!lost)
                    entry_inbox_.emplace_back(
                        peer{peer_side::dialled, "agent/" + it.server.id.str()},
                        std::move(out->message));
            }
            else if (
                start_call const* const call = std::get_if<start_call>(&action))
            {
                it.running[call->call] = now_ + service_time;
                it.executed.emplace_back(call->request.target, now_);
            }
            else if (std::holds_alternative<probe_backend>(action))
                it.core->on_probe("{}");
        }
    }

    void flush_entry()
    {
        std::vector<entry_action> actions = entry_->take_actions();
        while (!actions.empty())
        {
            for (entry_action& action : actions)
                perform(action);
            actions = entry_->take_actions();
        }
    }

    void perform(entry_action& action)
    {
        if (send_envelope* const out = std::get_if<send_envelope>(&action))
            deliver(*out);
        else if (
            read_part_from_platform const* const read =
                std::get_if<read_part_from_platform>(&action))
        {
            ++platform_reads;
            auto const it = contents_.find(read->hash);
            bool const found = !platform_down && it != contents_.end();
            entry_->on_platform_part(
                read->hash,
                found ? std::optional<std::string>{it->second} : std::nullopt,
                now_);
        }
        else if (
            respond_head const* const head = std::get_if<respond_head>(&action))
            outcomes_[head->id].status = head->status;
        else if (
            respond_data const* const data = std::get_if<respond_data>(&action))
            outcomes_[data->id].body += data->bytes;
        else if (
            respond_end const* const end = std::get_if<respond_end>(&action))
            outcomes_[end->id].ended = true;
        else if (
            respond_abort const* const aborted =
                std::get_if<respond_abort>(&action))
            outcomes_[aborted->id].ended = true;
    }

    void deliver(send_envelope& out)
    {
        for (auto it = agents_.begin(); it != agents_.end(); ++it)
        {
            if (out.to.id == "agent/" + it->second.server.id.str() &&
                !it->second.disconnected)
                it->second.inbox.push_back(std::move(out.message));
        }
    }

    null_event_log log_;
    metrics_registry metrics_;
    cost_aware_policy routing_{random_source{2}};
    std::map<int, agent_node> agents_;
    std::unique_ptr<entry_core> entry_;
    std::deque<std::pair<peer, wire::envelope>> entry_inbox_;
    std::map<request_id, outcome> outcomes_;
    content_map contents_;
    std::uint64_t revision_ = 0;
    std::uint64_t incarnation_ = 100;
    std::uint64_t sent_ = 0;
    bool entry_suspended_ = false;
    time_point now_{std::chrono::seconds{1}};
};

} // namespace test
