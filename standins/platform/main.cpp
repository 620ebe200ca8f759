#include <hornbeamweir/http/http_server.hpp>

#include "standins/platform/gateway_messages.hpp"
#include "standins/support/json_body.hpp"
#include "standins/support/options.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <list>

namespace standin
{

namespace
{

using hornbeamweir::http_exchange;
using hornbeamweir::http_request_message;
using exchange_ptr = std::shared_ptr<http_exchange>;

/// Faults that tests inject through POST /faults.
struct fault_plan
{
    bool down = false;
    std::int64_t delay_ms = 0;
    /// Number of writes that are applied but whose response is dropped.
    std::int64_t lose_answers = 0;
};

class platform_service
{
public:
    platform_service(boost::asio::io_context& context, options const& settings)
        : context_{context}
        , timer_{context}
        , weight_rate_{settings.number(
              "weight-bytes-per-second", 1'000'000'000)}
        , server_{
              context,
              settings.text("address", "127.0.0.1:2379"),
              limits(),
              [this](exchange_ptr exchange, http_request_message request)
              { handle_request(std::move(exchange), std::move(request)); },
              send_error}
    {
        tick();
    }

private:
    using request_handler = void (platform_service::*)(
        exchange_ptr const&, boost::json::object const&);

    struct route
    {
        std::string_view target;
        request_handler handler;
        /// Whether injected faults apply.
        bool subject_to_faults;
        std::string_view counter;
    };

    struct watcher
    {
        exchange_ptr exchange;
        key_range range;
        std::int64_t next_revision = 0;
    };

    static hornbeamweir::http_limits limits()
    {
        hornbeamweir::http_limits limits;
        limits.max_body_bytes = 64 * 1024 * 1024;
        return limits;
    }

    static constexpr std::array<route, 9> routes()
    {
        return {{
            {"/v3/kv/range", &platform_service::range, true, "reads"},
            {"/v3/kv/txn", &platform_service::transact, true, "writes"},
            {"/v3/lease/grant", &platform_service::grant, true, "leases"},
            {"/v3/lease/keepalive", &platform_service::renew, true, "renewals"},
            {"/v3/watch", &platform_service::watch, true, "watches"},
            {"/faults", &platform_service::set_faults, false, ""},
            {"/counts", &platform_service::send_counts, false, ""},
            {"/vms", &platform_service::set_vm, false, ""},
            {"/weights/fetch", &platform_service::fetch_weights, false, ""},
        }};
    }

    void handle_request(exchange_ptr exchange, http_request_message request)
    {
        for (route const& it : routes())
        {
            if (it.target != request.target)
                continue;
            boost::json::object const body = parse_object(request.body);
            if (!it.subject_to_faults)
                (this->*it.handler)(exchange, body);
            else
                handle_with_faults(it, exchange, body);
            return;
        }
        send_error(*exchange, hornbeamweir::result_code::not_found);
    }

    void handle_with_faults(
        route const& to,
        exchange_ptr const& exchange,
        boost::json::object const& body)
    {
        ++counts_[std::string{to.counter}];
        if (faults_.down)
        {
            send_error(
                *exchange, hornbeamweir::result_code::platform_unavailable);
            return;
        }
        if (faults_.delay_ms == 0)
        {
            (this->*to.handler)(exchange, body);
            return;
        }
        std::shared_ptr<boost::asio::steady_timer> const timer =
            std::make_shared<boost::asio::steady_timer>(
                context_, std::chrono::milliseconds{faults_.delay_ms});
        timer->async_wait([this, timer, handler = to.handler, exchange, body](
                              boost::system::error_code)
                          { (this->*handler)(exchange, body); });
    }

    void range(exchange_ptr const& exchange, boost::json::object const& body)
    {
        key_range const keys = decode_range(body);
        send_json(
            *exchange,
            encode_range(store_.range(keys.key, keys.end), store_.revision()));
    }

    void transact(exchange_ptr const& exchange, boost::json::object const& body)
    {
        hornbeamweir::transaction const request = decode_transaction(body);
        bool const succeeded = store_.apply(request);
        notify();
        if (faults_.lose_answers > 0 && succeeded && !request.writes.empty())
        {
            --faults_.lose_answers;
            exchange->abort();
            return;
        }
        boost::json::object reply = encode_header(store_.revision());
        boost::json::array responses;
        if (!succeeded)
        {
            for (std::string const& key : request.reads_on_failure)
            {
                boost::json::object response;
                response["response_range"] =
                    encode_range(store_.range(key, ""), store_.revision());
                responses.emplace_back(std::move(response));
            }
        }
        reply["succeeded"] = succeeded;
        reply["responses"] = std::move(responses);
        send_json(*exchange, reply);
    }

    void grant(exchange_ptr const& exchange, boost::json::object const& body)
    {
        std::int64_t const ttl = number_in(body, "TTL", 1);
        boost::json::object reply = encode_header(store_.revision());
        reply["ID"] = std::to_string(store_.grant(
            std::chrono::seconds{ttl}, hornbeamweir::process_clock::now()));
        reply["TTL"] = std::to_string(ttl);
        send_json(*exchange, reply);
    }

    void renew(exchange_ptr const& exchange, boost::json::object const& body)
    {
        duration const remaining = store_.renew(
            number_in(body, "ID", 0), hornbeamweir::process_clock::now());
        boost::json::object reply = encode_header(store_.revision());
        reply["TTL"] = std::to_string(
            std::chrono::duration_cast<std::chrono::seconds>(remaining)
                .count());
        boost::json::object message;
        message["result"] = std::move(reply);
        send_json(*exchange, message);
    }

    void watch(exchange_ptr const& exchange, boost::json::object const& body)
    {
        boost::json::value const* const created =
            body.if_contains("create_request");
        if (created == nullptr || !created->is_object())
        {
            send_error(*exchange, hornbeamweir::result_code::malformed_request);
            return;
        }
        constexpr unsigned ok = 200;
        exchange->send_head(ok, {{"Content-Type", "application/json"}});
        boost::json::object reply;
        boost::json::object header = encode_header(store_.revision());
        header["created"] = true;
        reply["result"] = std::move(header);
        exchange->send_data(boost::json::serialize(reply) + "\n");
        boost::json::object const& request = created->get_object();
        watchers_.push_back(
            {exchange,
             decode_range(request),
             number_in(request, "start_revision", store_.revision() + 1)});
        auto const it = std::prev(watchers_.end());
        exchange->observe(nullptr, [this, it] { watchers_.erase(it); });
        notify();
    }

    void notify()
    {
        for (watcher& it : watchers_)
        {
            std::vector<key_value_store::change> matching;
            for (key_value_store::change const& change :
                 store_.since(it.next_revision))
            {
                bool const in_range = it.range.end.empty()
                                          ? change.key == it.range.key
                                          : change.key >= it.range.key &&
                                                change.key < it.range.end;
                if (in_range)
                    matching.push_back(change);
            }
            it.next_revision = store_.revision() + 1;
            if (!matching.empty())
                it.exchange->send_data(
                    boost::json::serialize(encode_events(matching)) + "\n");
        }
    }

    void
    set_faults(exchange_ptr const& exchange, boost::json::object const& body)
    {
        faults_.down = number_in(body, "down", 0) != 0;
        faults_.delay_ms = number_in(body, "delay_ms", 0);
        faults_.lose_answers = number_in(body, "lose_answers", 0);
        if (faults_.down)
        {
            for (watcher const& it : watchers_)
                it.exchange->abort();
            watchers_.clear();
        }
        send_json(*exchange, {});
    }

    // The change appears in the list of VMs after a lag.
    void set_vm(exchange_ptr const& exchange, boost::json::object const& body)
    {
        boost::json::object value;
        value["state"] = text_in(body, "state");
        hornbeamweir::transaction change;
        change.writes.push_back(
            {"/platform/vms/" + text_in(body, "name"),
             boost::json::serialize(value)});
        std::shared_ptr<boost::asio::steady_timer> const timer =
            std::make_shared<boost::asio::steady_timer>(
                context_,
                std::chrono::milliseconds{number_in(body, "lag_ms", 0)});
        timer->async_wait(
            [this, timer, change](boost::system::error_code)
            {
                static_cast<void>(store_.apply(change));
                notify();
            });
        send_json(*exchange, {});
    }

    void send_counts(exchange_ptr const& exchange, boost::json::object const&)
    {
        boost::json::object reply;
        for (auto it = counts_.begin(); it != counts_.end(); ++it)
            reply[it->first] = it->second;
        reply["watching"] = watchers_.size();
        reply["revision"] = store_.revision();
        send_json(*exchange, reply);
    }

    // All fetches share one transfer rate; each response is sent once its bytes
    // have been transferred.
    void
    fetch_weights(exchange_ptr const& exchange, boost::json::object const& body)
    {
        std::chrono::steady_clock::time_point const now =
            std::chrono::steady_clock::now();
        double const seconds =
            static_cast<double>(number_in(body, "bytes", 0)) /
            static_cast<double>(weight_rate_);
        weight_transfer_end_ =
            std::max(weight_transfer_end_, now) +
            std::chrono::duration_cast<std::chrono::steady_clock::duration>(
                std::chrono::duration<double>(seconds));
        std::shared_ptr<boost::asio::steady_timer> const timer =
            std::make_shared<boost::asio::steady_timer>(context_);
        timer->expires_at(weight_transfer_end_);
        timer->async_wait([timer, exchange](boost::system::error_code)
                          { send_json(*exchange, {}); });
    }

    void tick()
    {
        store_.expire(hornbeamweir::process_clock::now());
        notify();
        constexpr std::chrono::milliseconds interval{50};
        timer_.expires_after(interval);
        timer_.async_wait(
            [this](boost::system::error_code ec)
            {
                if (!ec)
                    tick();
            });
    }

    boost::asio::io_context& context_;
    boost::asio::steady_timer timer_;
    key_value_store store_;
    fault_plan faults_;
    std::map<std::string, std::uint64_t> counts_;
    std::list<watcher> watchers_;
    long weight_rate_;
    std::chrono::steady_clock::time_point weight_transfer_end_{};
    hornbeamweir::http_server server_;
};

} // namespace

} // namespace standin

int main(int argc, char const** argv)
{
    boost::asio::io_context context;
    standin::platform_service const service{
        context, standin::options{argc, argv}};
    context.run();
    return 0;
}
