#include <hornbeamweir/agent/agent_core.hpp>
#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/daemon/agent_daemon.hpp>
#include <hornbeamweir/http/backend_call.hpp>
#include <hornbeamweir/transport/message_socket.hpp>

#include "admin_endpoint.hpp"
#include "daemon_loop.hpp"
#include "expert_map_driver.hpp"

#include <boost/asio/post.hpp>
#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

namespace
{

constexpr duration probe_timeout = std::chrono::milliseconds{400};
constexpr std::size_t max_probe_bytes = 64 * 1024;
constexpr unsigned http_ok = 200;

} // namespace

class agent_daemon::impl
{
public:
    explicit impl(agent_settings settings)
        : settings_{std::move(settings)}
        , backend_{*tcp_endpoint(settings_.backend_address)}
        , log_{settings_.log, settings_.identity.name.str()}
        , incarnation_{system_seed()}
        , core_{settings_, incarnation_, log_, metrics_}
        , messages_{
              loop_.context(),
              settings_.messages,
              settings_.identity.name,
              incarnation_,
              [this](peer const& from, wire::envelope const& message)
              {
                  core_.on_message(from, message, process_clock::now());
                  flush();
              },
              make_message_limits(settings_.limits)}
        , expert_maps_{loop_.context(), settings_, log_, metrics_}
        , admin_{
              loop_.context(),
              settings_.admin_address,
              metrics_,
              make_admin_pages()}
    {
    }

    void run()
    {
        messages_.listen();
        log_.info(event{"started"}
                      .with("version", HORNBEAMWEIR_VERSION)
                      .with("backend_server", settings_.backend_server)
                      .with("incarnation", incarnation_));
        loop_.run(
            [this]
            {
                core_.on_tick(process_clock::now());
                flush();
                expert_maps_.on_configuration(core_.current_configuration());
                expert_maps_.on_tick();
            },
            [this]
            {
                log_.info(
                    event{"draining"}.with("busy", core_.unfinished_count()));
                core_.drain();
            },
            [this] { return core_.unfinished_count() == 0; });
        log_.info(event{"stopped"});
    }

private:
    admin_pages make_admin_pages()
    {
        admin_pages pages;
        pages.ready = [this] { return core_.ready(); };
        pages.status = [this]
        {
            boost::json::object status = core_.status();
            expert_maps_.add_status(status);
            status["messages"] = message_totals(messages_.totals());
            return boost::json::serialize(status);
        };
        return pages;
    }

    void flush()
    {
        if (flushing_)
            return;
        flushing_ = true;
        std::vector<agent_action> actions = core_.take_actions();
        while (!actions.empty())
        {
            for (agent_action& action : actions)
                perform(action);
            actions = core_.take_actions();
        }
        flushing_ = false;
    }

    void perform(agent_action& action)
    {
        std::visit(
            overloaded{
                [&](agent_send& it)
                {
                    if (!messages_.send(it.to, it.message))
                        core_.on_unsendable(it.to, it.message);
                },
                [&](start_call& it) { start_backend_call(std::move(it)); },
                [&](grant_call_credit const& it)
                {
                    auto const call = calls_.find(it.call);
                    if (call != calls_.end())
                        call->second->grant_credit(it.bytes);
                },
                [&](cancel_call const& it) { calls_.erase(it.call); },
                [&](probe_backend const&) { probe(); }},
            action);
    }

    void start_backend_call(start_call action)
    {
        call_number const call = action.call;
        backend_call_handlers handlers;
        handlers.head = [this, call](unsigned status, header_list headers)
        {
            core_.on_call_head(call, status, std::move(headers));
            flush();
        };
        handlers.data = [this, call](std::string bytes)
        {
            core_.on_call_data(call, std::move(bytes));
            flush();
        };
        handlers.ended = [this, call]
        {
            remove_call(call);
            core_.on_call_ended(call, process_clock::now());
            flush();
        };
        handlers.failed = [this, call](error const& reason, bool sent)
        {
            remove_call(call);
            core_.on_call_failed(call, reason, sent, process_clock::now());
            flush();
        };
        std::unique_ptr<backend_call>& slot = calls_[call];
        slot = std::make_unique<backend_call>(
            loop_.context(),
            backend_,
            std::move(action.request),
            action.timeout,
            std::move(handlers));
        slot->grant_credit(action.initial_credit);
    }

    void remove_call(call_number call) { calls_.erase(call); }

    void probe()
    {
        if (probe_)
            return;
        probe_body_.clear();
        probe_status_ = 0;
        backend_call_handlers handlers;
        handlers.head = [this](unsigned status, header_list const&)
        { probe_status_ = status; };
        handlers.data = [this](std::string const& bytes)
        { probe_body_ += bytes; };
        handlers.ended = [this] { on_probed(probe_status_ == http_ok); };
        // Without a descriptor the probe says nothing of the backend server.
        handlers.failed = [this](error const& reason, bool)
        {
            if (reason.code == result_code::connection_limit)
                probe_.reset();
            else
                on_probed(false);
        };
        probe_ = std::make_unique<backend_call>(
            loop_.context(),
            backend_,
            http_request_message{"GET", "/health", {}, ""},
            probe_timeout,
            std::move(handlers));
        probe_->grant_credit(max_probe_bytes);
    }

    void on_probed(bool healthy)
    {
        probe_.reset();
        core_.on_probe(
            healthy ? std::optional<std::string>{probe_body_} : std::nullopt);
        flush();
        if (healthy)
            expert_maps_.on_health(probe_body_);
    }

    agent_settings settings_;
    daemon_loop loop_;
    boost::asio::ip::tcp::endpoint backend_;
    console_log log_;
    metrics_registry metrics_;
    std::uint64_t incarnation_;
    agent_core core_;
    std::map<call_number, std::unique_ptr<backend_call>> calls_;
    std::unique_ptr<backend_call> probe_;
    std::string probe_body_;
    unsigned probe_status_ = 0;
    message_socket messages_;
    expert_map_driver expert_maps_;
    admin_endpoint admin_;
    bool flushing_ = false;
};

agent_daemon::agent_daemon(agent_settings settings)
    : impl_{std::make_unique<impl>(std::move(settings))}
{
}

agent_daemon::~agent_daemon() = default;

void agent_daemon::run()
{
    impl_->run();
}

} // namespace hornbeamweir
