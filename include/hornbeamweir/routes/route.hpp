#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamweir
{

using service_name = identifier<struct service_tag>;

/// \brief Whether a request with an unknown outcome may be retried.
enum class retry_class
{
    /// May be executed any number of times.
    idempotent,
    /// A stream that another replica can resume after the last event.
    resumable_stream,
    /// Must be executed at most once.
    at_most_once
};

template <>
struct enum_table<retry_class>
{
    static constexpr std::array<enum_name<retry_class>, 3> rows{
        {{retry_class::idempotent, "idempotent"},
         {retry_class::resumable_stream, "resumable_stream"},
         {retry_class::at_most_once, "at_most_once"}}};
};

/// \brief A service and its weight in the traffic split of a route.
struct weighted_service
{
    service_name service;
    double weight = 1;

    [[nodiscard]] friend bool
    operator==(weighted_service const&, weighted_service const&) = default;
};

/// \brief Services for the requests to a host and path prefix, and how these
/// requests are treated.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<weighted_service> services;
    retry_class retries = retry_class::at_most_once;
    /// Whether responses are streams of server-sent events.
    bool streaming = false;
    /// Whether callers need no API key.
    bool open_to_all = false;
    /// Maximum time for the complete response.
    duration timeout = std::chrono::seconds{60};
    /// Target for the time to the response, or to the first event of a stream.
    duration target_latency = std::chrono::seconds{1};
    /// Target for the maximum gap between events of a stream; 0 for none.
    duration target_gap{};
    /// 0 is the highest priority.
    std::uint32_t priority = 1;
    /// Maximum number of replicas to which a request is sent.
    std::uint32_t max_attempts = 1;

    [[nodiscard]] friend bool operator==(route const&, route const&) = default;
};

} // namespace hornbeamweir
