#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/http/http_exchange.hpp>

#include <string>

namespace hornbeamweir
{

/// \brief A validated request of an authenticated customer.
struct inbound_request
{
    request_id id;
    http_request_message message;
    customer_id customer;
    std::uint32_t priority = 1;
    /// Model of a completion request; empty for plain services.
    std::string model;
    /// Name of the plain service; empty for completion requests.
    std::string service;
    /// Whether the request may be executed more than once.
    bool idempotent = true;
    /// Whether the response is a stream of server-sent events.
    bool streamed = false;
    /// Hash of customer and idempotency key; empty without a key.
    std::string claim;
    /// Hash of method, target and body; detects reuse of an idempotency key for
    /// a different request.
    std::string fingerprint;
    time_point arrived;
    time_point deadline;
};

} // namespace hornbeamweir
