#pragma once

#include <hornbeamweir/configuration/configuration.hpp>
#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/entry/inbound_request.hpp>

#include <memory>
#include <set>
#include <unordered_map>

namespace hornbeamweir
{

/// \brief Header fields of callers' requests, and those that the entry adds.
namespace caller_header
{
inline constexpr std::string_view authorization = "Authorization";
inline constexpr std::string_view idempotency_key = "Idempotency-Key";
inline constexpr std::string_view timeout_ms = "X-Request-Timeout-Ms";
inline constexpr std::string_view request_id = "X-Request-Id";
inline constexpr std::string_view customer = "X-Hornbeamweir-Customer";
} // namespace caller_header

/// \brief Authenticates and validates callers' requests against the
/// configuration.
class request_intake
{
public:
    explicit request_intake(duration default_timeout);

    /// \brief Indexes the customers and models of a new revision.
    void apply_configuration(std::shared_ptr<configuration const> current);

    /// \brief Authenticates and validates a request.
    /// \returns An error if the request is rejected; its execution state is
    /// then always not_run.
    [[nodiscard]] result<inbound_request>
    check(request_id id, http_request_message message, time_point now) const;

    /// \returns The customer that the bearer token identifies, or nullptr.
    /// Valid until the next apply_configuration().
    [[nodiscard]] customer const*
    authenticate(header_list const& headers) const;

    /// \returns Names of the models that have a model group.
    [[nodiscard]] std::vector<std::string> models() const;

private:
    [[nodiscard]] result<void> check_target(inbound_request& request) const;
    [[nodiscard]] result<void> check_completion(inbound_request& request) const;
    [[nodiscard]] result<void>
    check_idempotency_key(inbound_request& request) const;
    [[nodiscard]] result<void>
    check_deadline(inbound_request& request, time_point now) const;

    duration default_timeout_;
    std::shared_ptr<configuration const> current_;
    std::unordered_map<std::string, customer_id> customers_by_token_hash_;
    std::set<std::string> models_;
};

} // namespace hornbeamweir
