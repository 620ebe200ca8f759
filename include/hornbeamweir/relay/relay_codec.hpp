#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/http/http_exchange.hpp>
#include <hornbeamweir/relay/relay_action.hpp>
#include <hornbeamweir/routes/route_configuration.hpp>

#include <optional>
#include <string_view>

namespace hornbeamweir
{

/// \brief Translates between the message formats of a deployment and the types
/// of the relay.
class relay_codec
{
public:
    relay_codec() = default;
    relay_codec(relay_codec const&) = delete;
    relay_codec& operator=(relay_codec const&) = delete;
    virtual ~relay_codec() = default;

    /// \brief Decodes a request of a caller; malformed header fields count as
    /// absent.
    [[nodiscard]] virtual relay_request
    decode_request(http_request_message message) const = 0;
    /// \brief Encodes the message for an attempt at a replica.
    [[nodiscard]] virtual http_request_message encode_attempt(
        relay_request const& request,
        relay::open_attempt const& attempt) const = 0;
    /// \brief Decodes the head of a replica's response.
    [[nodiscard]] virtual replica_response_head
    decode_response(unsigned status, header_list headers) const = 0;
    /// \returns The name of the header field that ties a response to its
    /// request.
    [[nodiscard]] virtual std::string correlation_header() const = 0;
    /// \returns The path of readiness probes of an upstream load balancer.
    [[nodiscard]] virtual std::string readiness_path() const = 0;

    /// \returns The common prefix of the keys that operators write: the
    /// configuration and the evacuations.
    [[nodiscard]] virtual std::string operator_prefix() const = 0;
    /// \returns The data centre that is evacuated while a key exists; empty if
    /// the key is no evacuation.
    [[nodiscard]] virtual std::optional<data_centre_id>
    evacuated_data_centre(std::string_view key) const = 0;
    /// \returns The key of the current configuration in the platform's store.
    [[nodiscard]] virtual std::string configuration_key() const = 0;
    /// \returns An error if the bytes are not a valid configuration.
    [[nodiscard]] virtual result<route_configuration>
    decode_configuration(std::string_view bytes) const = 0;
    /// \returns The prefix of the keys under which replicas register.
    [[nodiscard]] virtual std::string replica_prefix() const = 0;
    [[nodiscard]] virtual result<replica>
    decode_replica(std::string_view key, std::string_view bytes) const = 0;
};

} // namespace hornbeamweir
