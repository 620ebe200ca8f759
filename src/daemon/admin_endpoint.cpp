#include "admin_endpoint.hpp"

#include "port_limits.hpp"

namespace hornbeamweir
{

namespace
{

constexpr char const* json_type = "application/json";
constexpr char const* text_type = "text/plain; version=0.0.4";
constexpr std::string_view explain_prefix = "/explain/";

void write_error(http_exchange& exchange, result_code code)
{
    send_response(
        exchange,
        http_status_of(code),
        text_type,
        std::string{name_of(code)} + "\n");
}

} // namespace

admin_endpoint::admin_endpoint(
    boost::asio::io_context& context,
    std::string const& address,
    metrics_registry& metrics,
    admin_pages pages)
    : metrics_{metrics}
    , pages_{std::move(pages)}
    , server_{
          context,
          address,
          internal_port_limits(),
          [this](
              std::shared_ptr<http_exchange> exchange,
              http_request_message request)
          { handle_request(*exchange, request); },
          write_error}
{
}

void admin_endpoint::handle_request(
    http_exchange& exchange, http_request_message const& request)
{
    constexpr unsigned ok = 200;
    constexpr unsigned unavailable = 503;
    std::string const& target = request.target;
    if (target == "/health")
        send_response(exchange, ok, text_type, "ok\n");
    else if (target == "/ready" && pages_.ready())
        send_response(exchange, ok, text_type, "ready\n");
    else if (target == "/ready")
        send_response(exchange, unavailable, text_type, "not ready\n");
    else if (target == "/metrics")
        send_response(exchange, ok, text_type, metrics_.text());
    else if (target == "/status")
        send_response(exchange, ok, json_type, pages_.status());
    else if (target.starts_with(explain_prefix) && pages_.explain)
        send_response(
            exchange,
            ok,
            json_type,
            pages_.explain(target.substr(explain_prefix.size())));
    else
        write_error(exchange, result_code::not_found);
}

boost::json::object message_totals(message_socket::counters const& totals)
{
    boost::json::object out;
    out["sent"] = totals.sent;
    out["sent_bytes"] = totals.sent_bytes;
    out["received"] = totals.received;
    out["received_bytes"] = totals.received_bytes;
    out["undecodable"] = totals.undecodable;
    out["unsendable"] = totals.unsendable;
    out["refused"] = totals.refused;
    out["evicted"] = totals.evicted;
    return out;
}

} // namespace hornbeamweir
