#include "relay_exchanges.hpp"

#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/entry/error_document.hpp>

#include <cstdio>

namespace hornbeamweir
{

namespace
{

/// Idle connections kept to each replica; more are rarely needed, and replicas
/// bound their number.
constexpr std::size_t max_idle_connections = 12;
/// A connection within a region opens in milliseconds; a lost packet costs a
/// second.
constexpr duration connect_timeout = std::chrono::milliseconds{700};
/// Bytes that a slow caller may have outstanding before reading pauses.
constexpr std::size_t pause_above = std::size_t{256} * 1024;
/// Lets the core's own deadline come first.
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
    relay::relay_core& core,
    relay_codec const& codec,
    time_point (*clock)() noexcept)
    : core_{core}
    , codec_{codec}
    , clock_{clock}
    , pool_{context, max_idle_connections}
{
}

void relay_exchanges::accept(
    std::shared_ptr<http_exchange> exchange, http_request_message request)
{
    exchange_id const number = ++last_number_;
    exchange->observe(
        [this, number](std::size_t n) { on_written(number, n); },
        [this, number]
        {
            apply(core_.on_caller_disconnected(number, clock_()));
            live_.erase(number);
        });
    live_[number].exchange = std::move(exchange);
    apply(core_.on_request(
        number, codec_.decode_request(std::move(request)), clock_()));
}

void relay_exchanges::apply(relay::actions decided)
{
    for (relay::action& it : decided)
        std::visit([this](auto& chosen) { run(chosen); }, it);
}

void relay_exchanges::run(relay::open_attempt const& it)
{
    auto const live = live_.find(it.exchange);
    relay_request const* const request = core_.request_of(it.exchange);
    if (live == live_.end() || !request)
        return;
    live->second.attempt = it.attempt;
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
    live->second.call = pool_.call(
        *server,
        codec_.encode_attempt(*request, it),
        std::move(options),
        handlers_for(it.exchange, it.attempt));
}

pooled_call_handlers
relay_exchanges::handlers_for(exchange_id number, std::uint32_t attempt)
{
    pooled_call_handlers out;
    out.head = [this, number, attempt](unsigned status, header_list headers)
    {
        apply(core_.on_head(
            number,
            attempt,
            codec_.decode_response(status, std::move(headers)),
            clock_()));
    };
    out.data = [this, number, attempt](std::string bytes)
    { apply(core_.on_data(number, attempt, std::move(bytes), clock_())); };
    out.ended = [this, number, attempt]
    { apply(core_.on_end(number, attempt, clock_())); };
    out.failed = [this, number, attempt](error const& reason, bool sent)
    { on_failed(number, attempt, reason, sent); };
    return out;
}

void relay_exchanges::on_failed(
    exchange_id number, std::uint32_t attempt, error const& reason, bool sent)
{
    apply(core_.on_failed(
        number,
        attempt,
        sent ? relay::attempt_progress::sent
             : relay::attempt_progress::not_sent,
        reason.message,
        clock_()));
}

void relay_exchanges::run(relay::close_attempt const& it)
{
    auto const live = live_.find(it.exchange);
    if (live != live_.end())
        live->second.call.reset();
}

void relay_exchanges::run(relay::send_head const& it)
{
    auto const live = live_.find(it.exchange);
    if (live != live_.end())
        live->second.exchange->send_head(it.status, it.headers);
}

void relay_exchanges::run(relay::send_data& it)
{
    auto const live = live_.find(it.exchange);
    if (live == live_.end())
        return;
    live->second.unwritten += it.bytes.size();
    if (live->second.unwritten > pause_above && live->second.call)
        live->second.call->pause(true);
    live->second.exchange->send_data(std::move(it.bytes));
}

void relay_exchanges::on_written(exchange_id number, std::size_t n)
{
    auto const live = live_.find(number);
    if (live == live_.end())
        return;
    std::size_t const before = live->second.unwritten;
    live->second.unwritten = before - std::min(n, before);
    bool const resumes =
        before > pause_above && live->second.unwritten <= pause_above;
    if (resumes && live->second.call)
        live->second.call->pause(false);
}

void relay_exchanges::run(relay::send_end const& it)
{
    auto const live = live_.find(it.exchange);
    if (live == live_.end())
        return;
    live->second.exchange->finish();
    live_.erase(live);
}

void relay_exchanges::run(relay::send_error const& it)
{
    auto const live = live_.find(it.exchange);
    if (live == live_.end())
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
    http_exchange& exchange = *live->second.exchange;
    exchange.send_head(document.status, document.headers);
    exchange.send_data(std::move(document.body));
    exchange.finish();
    live_.erase(live);
}

void relay_exchanges::run(relay::abort_response const& it)
{
    auto const live = live_.find(it.exchange);
    if (live == live_.end())
        return;
    live->second.exchange->abort();
    live_.erase(live);
}

} // namespace hornbeamweir
