#pragma once

#include <hornbeamweir/http/http_server.hpp>
#include <hornbeamweir/telemetry/metrics_registry.hpp>
#include <hornbeamweir/transport/message_socket.hpp>

#include <boost/json/object.hpp>

namespace hornbeamweir
{

/// \brief Content of an admin endpoint. Without `explain`, /explain/ID responds
/// 404.
struct admin_pages
{
    std::function<bool()> ready;
    std::function<std::string()> status;
    std::function<std::string(std::string const& request)> explain;
};

/// \brief Serves /health, /ready, /metrics, /status and /explain/ID.
class admin_endpoint
{
public:
    admin_endpoint(
        boost::asio::io_context& context,
        std::string const& address,
        metrics_registry& metrics,
        admin_pages pages);

private:
    void handle_request(
        http_exchange& exchange, http_request_message const& request);

    metrics_registry& metrics_;
    admin_pages pages_;
    http_server server_;
};

/// \brief Formats the counters of a message socket for /status.
[[nodiscard]] boost::json::object
message_totals(message_socket::counters const& totals);

} // namespace hornbeamweir
