#include "relay_exchanges.hpp"

#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/entry/error_document.hpp>

#include <boost/beast/core/tcp_stream.hpp>

#include <cstdio>

namespace hornbeamweir
{

namespace
{

/// Idle connections kept per replica; more are rarely needed, and replicas
/// limit their number.
constexpr std::size_t max_idle_connections = 12;
/// Connecting within a region takes milliseconds; a lost SYN is retransmitted
/// only after a second.
constexpr duration connect_timeout = std::chrono::milliseconds{700};
/// Bytes not yet written to a slow caller above which reading from the replica
/// pauses, and the same while much is held for callers.
constexpr std::size_t max_unwritten_bytes = std::size_t{256} * 1024;
constexpr std::size_t max_unwritten_bytes_if_tight = std::size_t{16} * 1024;
/// Added to the call's timeout, so that the core's deadline expires first.
constexpr duration deadline_slack = std::chrono::milliseconds{400};

std::string seconds_text(duration time)
{
    std::array<char, 32> buf{};
    std::snprintf(
        buf.data(),
        buf.size(),
        "%.3f",
        std::chrono::duration<double>{time}.count());
    return buf.data();
}

} // namespace

relay_exchanges::relay_exchanges(
    boost::asio::io_context& context,
    std::shared_ptr<memory_budget> budget,
    std::size_t max_connections,
    relay::relay_core& core,
    relay_codec const& codec,
    time_point (*clock)() noexcept,
    std::function<void()> attempts_opened)
    : context_{context}
    , budget_{std::move(budget)}
    , core_{core}
    , codec_{codec}
    , clock_{clock}
    , attempts_opened_{std::move(attempts_opened)}
    , pool_{context, max_idle_connections, budget_, max_connections}
{
}

void relay_exchanges::accept(
    std::shared_ptr<http_exchange> exchange, http_request_message request)
{
    exchange_id const id = ++last_id_;
    exchange->observe(
        [this, id](std::size_t n) { on_written(id, n); },
        [this, id]
        {
            apply(core_.on_caller_disconnected(id, clock_()));
            exchanges_.erase(id);
        });
    exchanges_[id].exchange = std::move(exchange);
    apply(core_.on_request(
        id, codec_.decode_request(std::move(request)), clock_()));
}

void relay_exchanges::apply(relay::actions decided)
{
    bool opened = false;
    for (relay::action& it : decided)
    {
        opened = opened || std::holds_alternative<relay::open_attempt>(it);
        std::visit([this](auto& chosen) { perform(chosen); }, it);
    }
    if (opened)
        attempts_opened_();
}

void relay_exchanges::perform(relay::open_attempt const& it)
{
    auto const found = exchanges_.find(it.exchange);
    relay_request const* const request = core_.request_of(it.exchange);
    if (found == exchanges_.end() || !request)
        return;
    found->second.attempt = it.attempt;
    found->second.is_paused = false;
    std::optional<boost::asio::ip::tcp::endpoint> const server =
        tcp_endpoint(it.target.address);
    if (!server)
    {
        on_failed(
            it.exchange,
            it.attempt,
            {result_code::backend_unreachable, "no address"},
            false);
        return;
    }
    pooled_call_options options;
    options.fresh_connection = it.fresh_connection;
    options.connect_timeout = connect_timeout;
    options.timeout = it.time_left + deadline_slack;
    options.correlation_header = codec_.correlation_header();
    found->second.call = pool_.call(
        *server,
        codec_.encode_attempt(*request, it),
        std::move(options),
        handlers_for(it.exchange, it.attempt));
}

pooled_call_handlers
relay_exchanges::handlers_for(exchange_id id, std::uint32_t attempt)
{
    pooled_call_handlers out;
    out.head = [this, id, attempt](unsigned status, header_list headers)
    {
        apply(core_.on_head(
            id,
            attempt,
            codec_.decode_response(status, std::move(headers)),
            clock_()));
    };
    out.data = [this, id, attempt](std::string bytes)
    { apply(core_.on_data(id, attempt, std::move(bytes), clock_())); };
    out.ended = [this, id, attempt]
    { apply(core_.on_end(id, attempt, clock_())); };
    out.failed = [this, id, attempt](error const& reason, bool sent)
    { on_failed(id, attempt, reason, sent); };
    return out;
}

void relay_exchanges::on_failed(
    exchange_id id, std::uint32_t attempt, error const& reason, bool sent)
{
    apply(core_.on_failed(
        id,
        attempt,
        sent ? relay::attempt_progress::sent
             : relay::attempt_progress::not_sent,
        reason.message,
        clock_()));
}

void relay_exchanges::perform(relay::close_attempt const& it)
{
    auto const found = exchanges_.find(it.exchange);
    if (found != exchanges_.end())
        found->second.call.reset();
}

void relay_exchanges::perform(relay::send_head const& it)
{
    auto const found = exchanges_.find(it.exchange);
    if (found != exchanges_.end())
        found->second.exchange->send_head(it.status, it.headers);
}

void relay_exchanges::perform(relay::send_data& it)
{
    auto const found = exchanges_.find(it.exchange);
    if (found == exchanges_.end())
        return;
    found->second.unwritten += it.bytes.size();
    if (found->second.unwritten > max_unwritten() && found->second.call)
    {
        found->second.is_paused = true;
        found->second.call->pause(true);
    }
    found->second.exchange->send_data(std::move(it.bytes));
}

void relay_exchanges::on_written(exchange_id id, std::size_t n)
{
    auto const found = exchanges_.find(id);
    if (found == exchanges_.end())
        return;
    open_exchange& it = found->second;
    it.unwritten -= std::min(n, it.unwritten);
    if (it.is_paused && it.unwritten <= max_unwritten() && it.call)
    {
        it.is_paused = false;
        it.call->pause(false);
    }
}

std::size_t relay_exchanges::max_unwritten() const noexcept
{
    return budget_->is_tight() ? max_unwritten_bytes_if_tight
                               : max_unwritten_bytes;
}

void relay_exchanges::perform(relay::send_end const& it)
{
    auto const found = exchanges_.find(it.exchange);
    if (found == exchanges_.end())
        return;
    found->second.exchange->finish();
    exchanges_.erase(found);
}

void relay_exchanges::perform(relay::send_error const& it)
{
    auto const found = exchanges_.find(it.exchange);
    if (found == exchanges_.end())
        return;
    error_document document = make_error_document(
        it.id, {it.code, it.detail}, it.state, std::nullopt);
    if (it.retry_after)
    {
        document.headers.push_back(
            {"Retry-After", seconds_text(*it.retry_after)});
    }
    if (it.close_connection)
        document.headers.push_back({"Connection", "close"});
    http_exchange& exchange = *found->second.exchange;
    exchange.send_head(document.status, document.headers);
    exchange.send_data(std::move(document.body));
    exchange.finish();
    exchanges_.erase(found);
}

void relay_exchanges::perform(relay::abort_response const& it)
{
    auto const found = exchanges_.find(it.exchange);
    if (found == exchanges_.end())
        return;
    found->second.exchange->abort();
    exchanges_.erase(found);
}

void relay_exchanges::perform(relay::check_replica const& it)
{
    std::optional<boost::asio::ip::tcp::endpoint> const server =
        tcp_endpoint(it.target.address);
    if (!server)
        return;
    // The stream closes the connection and ends the wait by itself.
    std::shared_ptr<boost::beast::tcp_stream> const stream =
        std::make_shared<boost::beast::tcp_stream>(context_);
    stream->expires_after(connect_timeout);
    stream->async_connect(
        *server,
        [this, stream, target = it.target](boost::system::error_code ec)
        {
            if (ec && ec != boost::asio::error::operation_aborted)
                core_.on_not_accepting(target, clock_());
        });
}

} // namespace hornbeamweir
