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

/// \brief What may be done again with a request whose outcome is unknown.
enum class retry_class
{
    /// May be executed any number of times.
    idempotent,
    /// A stream that another replica can continue after the last event.
    resumable_stream,
    /// Executed once at most.
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

/// \brief A service's part of a route's requests.
struct weighted_service
{
    service_name service;
    double weight = 1;

    [[nodiscard]] friend bool
    operator==(weighted_service const&, weighted_service const&) = default;
};

/// \brief Where requests to a host and path go, and how they are treated.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string prefix;
    std::vector<weighted_service> shares;
    retry_class retries = retry_class::at_most_once;
    /// Whether answers are streams of server-sent events.
    bool streaming = false;
    /// Whether callers need no key.
    bool open_to_all = false;
    /// Longest time that a caller is kept waiting for its whole answer.
    duration timeout = std::chrono::seconds{60};
    /// Time within which an answer, or a stream's first event, is on time.
    duration target_latency = std::chrono::seconds{1};
    /// Longest pause between events of a stream that is on time; 0: any.
    duration target_gap{};
    /// 0 is the most urgent.
    std::uint32_t priority = 1;
    /// Replicas that a request may be sent to.
    std::uint32_t max_attempts = 1;

    [[nodiscard]] friend bool operator==(route const&, route const&) = default;
};

} // namespace hornbeamweir
