#include <hornbeamweir/core/overloaded.hpp>
#include <hornbeamweir/daemon/entry_daemon.hpp>
#include <hornbeamweir/entry/entry_core.hpp>
#include <hornbeamweir/entry/error_document.hpp>
#include <hornbeamweir/http/http_server.hpp>
#include <hornbeamweir/membership/vm_watcher.hpp>
#include <hornbeamweir/platform/etcd_gateway.hpp>
#include <hornbeamweir/platform/head_watcher.hpp>
#include <hornbeamweir/routing/cost_aware_policy.hpp>
#include <hornbeamweir/transport/message_socket.hpp>

#include "admin_endpoint.hpp"
#include "daemon_loop.hpp"
#include "limit_report.hpp"
#include "port_limits.hpp"
#include "unreadable_request.hpp"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace hornbeamweir
{

namespace
{

http_limits
make_http_limits(caller_settings const& settings, machine_limits const& machine)
{
    http_limits limits;
    limits.max_header_bytes = settings.max_header_bytes;
    limits.send_buffer_bytes = caller_send_buffer_bytes;
    limits.receive_buffer_bytes = caller_receive_buffer_bytes;
    limits.max_body_bytes = settings.max_body_bytes;
    limits.max_connections =
        std::min(settings.max_connections, socket_limit(machine));
    limits.read_timeout = std::chrono::milliseconds{settings.read_timeout_ms};
    limits.first_request_timeout = limits.read_timeout;
    return limits;
}

} // namespace

class entry_daemon::impl
{
public:
    explicit impl(entry_settings settings)
        : settings_{std::move(settings)}
        , log_{settings_.log, settings_.identity.name.str()}
        , random_{system_seed()}
        , incarnation_{random_.next()}
        , routing_{random_source{random_.next()}}
        , core_{settings_, random_source{random_.next()}, routing_, log_, metrics_}
        , platform_{loop_.context(), settings_.platform.addresses, std::chrono::milliseconds{settings_.platform.timeout_ms}}
        , watcher_{loop_.context(), platform_, [this](configuration_head const& head) { core_.on_platform_head(head, process_clock::now()); flush(); }}
        , vms_{loop_.context(), platform_, [this](vm_list const& list) { core_.on_vm_list(list); flush(); }}
        , messages_{loop_.context(), settings_.messages, settings_.identity.name, incarnation_, [this](peer const& from, wire::envelope const& message) { core_.on_message(from, message, process_clock::now()); flush(); }, make_message_limits(settings_.limits)}
        , callers_{loop_.context(), settings_.callers.address, make_http_limits(settings_.callers, settings_.limits), [this](std::shared_ptr<http_exchange> exchange, http_request_message request) { on_request(std::move(exchange), std::move(request)); }, reject_unreadable_request, budget_}
        , admin_{loop_.context(), settings_.admin_address, metrics_, make_admin_pages()}
    {
    }

    void run()
    {
        messages_.listen();
        core_.start();
        flush();
        watcher_.start();
        if (core_.watches_vm_list())
            vms_.start();
        log_.info(event{"started"}
                      .with("version", HORNBEAMWEIR_VERSION)
                      .with("address", settings_.callers.address)
                      .with("incarnation", incarnation_));
        loop_.run(
            [this] { tick(); },
            [this]
            {
                log_.info(
                    event{"draining"}.with("requests", core_.live_requests()));
                core_.drain();
                callers_.stop_accepting();
            },
            [this]
            { return core_.live_requests() == 0 && exchanges_.empty(); });
        log_.info(event{"stopped"});
    }

private:
    admin_pages make_admin_pages()
    {
        admin_pages pages;
        pages.ready = [this] { return core_.ready(); };
        pages.status = [this]
        {
            boost::json::object status = core_.status(process_clock::now());
            status["platform_calls"] = platform_.calls();
            status["messages"] = message_totals(messages_.totals());
            return boost::json::serialize(status);
        };
        pages.explain = [this](std::string const& id)
        {
            boost::json::array lines;
            for (std::string const& line : core_.explain(request_id{id}))
                lines.emplace_back(line);
            return boost::json::serialize(lines);
        };
        return pages;
    }

    void on_request(
        std::shared_ptr<http_exchange> exchange, http_request_message request)
    {
        request_id const id =
            core_.on_request(std::move(request), process_clock::now());
        exchange->observe(
            [this, id](std::size_t bytes)
            {
                core_.on_response_written(id, bytes);
                flush();
            },
            [this, id]
            {
                exchanges_.erase(id);
                core_.on_caller_disconnected(id, process_clock::now());
                flush();
            });
        exchanges_.emplace(id, std::move(exchange));
        flush();
    }

    void tick()
    {
        core_.on_tick(process_clock::now());
        limits_.on_tick(process_clock::now());
        flush();
    }

    // Performing an action may add further actions, or call flush() again.
    void flush()
    {
        if (flushing_)
            return;
        flushing_ = true;
        std::vector<entry_action> actions = core_.take_actions();
        while (!actions.empty())
        {
            for (entry_action& action : actions)
                perform(action);
            actions = core_.take_actions();
        }
        flushing_ = false;
    }

    void perform(entry_action& action)
    {
        std::visit(
            overloaded{
                [&](send_envelope& it)
                {
                    if (!messages_.send(it.to, it.message))
                        core_.on_send_failed(
                            it.to, it.message, process_clock::now());
                },
                [&](dial_agent const& it)
                { messages_.dial(it.id, it.address, it.public_key); },
                [&](disconnect_agent const& it)
                { messages_.disconnect(it.id); },
                [&](respond_head const& it)
                {
                    if (std::shared_ptr<http_exchange> const to =
                            find_exchange(it.id))
                        to->send_head(it.status, it.headers);
                },
                [&](respond_data& it)
                {
                    if (std::shared_ptr<http_exchange> const to =
                            find_exchange(it.id))
                        to->send_data(std::move(it.bytes));
                },
                [&](respond_end const& it)
                {
                    if (std::shared_ptr<http_exchange> const to =
                            remove_exchange(it.id))
                        to->finish();
                },
                [&](respond_abort const& it)
                {
                    if (std::shared_ptr<http_exchange> const to =
                            remove_exchange(it.id))
                        to->abort();
                },
                [&](commit_to_platform& it) { commit(it); },
                [&](grant_platform_lease const& it) { grant_lease(it); },
                [&](read_part_from_platform const& it) { read_part(it.hash); }},
            action);
    }

    void commit(commit_to_platform& action)
    {
        platform_.commit(
            std::move(action.request),
            [this, token = action.token](result<transaction_reply> const& reply)
            {
                core_.on_commit(token, reply, process_clock::now());
                flush();
            });
    }

    void grant_lease(grant_platform_lease const& action)
    {
        platform_.grant_lease(
            action.time_to_live,
            [this](result<std::int64_t> const& lease)
            {
                core_.on_lease(lease, process_clock::now());
                flush();
            });
    }

    void read_part(std::string const& hash)
    {
        std::string const key = std::string{configuration_key::parts} + hash;
        platform_.read(
            key,
            [this, hash, key](result<range_reply> const& reply)
            {
                std::optional<std::string> content;
                if (reply && reply->values.contains(key))
                    content = reply->values.at(key).value;
                core_.on_platform_part(
                    hash, std::move(content), process_clock::now());
                flush();
            });
    }

    [[nodiscard]] std::shared_ptr<http_exchange>
    find_exchange(request_id const& id)
    {
        auto const it = exchanges_.find(id);
        return it == exchanges_.end() ? nullptr : it->second;
    }

    [[nodiscard]] std::shared_ptr<http_exchange>
    remove_exchange(request_id const& id)
    {
        auto const it = exchanges_.find(id);
        if (it == exchanges_.end())
            return nullptr;
        std::shared_ptr<http_exchange> exchange = std::move(it->second);
        exchanges_.erase(it);
        return exchange;
    }

    entry_settings settings_;
    daemon_loop loop_;
    std::shared_ptr<memory_budget> budget_ =
        std::make_shared<memory_budget>(held_bytes_limit(settings_.limits));
    console_log log_;
    metrics_registry metrics_;
    random_source random_;
    std::uint64_t incarnation_;
    cost_aware_policy routing_;
    entry_core core_;
    etcd_gateway platform_;
    head_watcher watcher_;
    vm_watcher vms_;
    message_socket messages_;
    std::map<request_id, std::shared_ptr<http_exchange>> exchanges_;
    http_server callers_;
    admin_endpoint admin_;
    limit_report limits_{callers_, *budget_, log_, metrics_};
    bool flushing_ = false;
};

entry_daemon::entry_daemon(entry_settings settings)
    : impl_{std::make_unique<impl>(std::move(settings))}
{
}

entry_daemon::~entry_daemon() = default;

void entry_daemon::run()
{
    impl_->run();
}

} // namespace hornbeamweir
