#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/expert_map/rank_state.hpp>
#include <hornbeamweir/http/http_exchange.hpp>

namespace hornbeamweir
{

/// \brief Cumulative expert activations since the start of a rank.
/// \remarks An activation is the selection of an expert for a token.
struct activation_counts
{
    /// Epoch of the group, see rank_state::epoch.
    std::uint64_t epoch = 0;
    /// Incarnation of the rank, see rank_state::incarnation.
    std::uint64_t incarnation = 0;
    /// Activations by expert set, then by expert.
    std::vector<std::uint64_t> counts;

    [[nodiscard]] friend bool
    operator==(activation_counts const&, activation_counts const&) = default;
};

/// \brief Translates between the HTTP interface of a deployment's engines and
/// the types for expert maps.
/// \remarks A decoder returns an error if it cannot interpret the body.
class rank_codec
{
public:
    rank_codec() = default;
    rank_codec(rank_codec const&) = delete;
    rank_codec& operator=(rank_codec const&) = delete;
    virtual ~rank_codec() = default;

    /// \brief Request for the state of a rank; see decode_report().
    [[nodiscard]] virtual http_request_message report_request() const = 0;
    [[nodiscard]] virtual result<rank_state>
    decode_report(std::string_view body) const = 0;
    /// \brief Request for the activation counts of a rank; see decode_counts().
    [[nodiscard]] virtual http_request_message counts_request() const = 0;
    [[nodiscard]] virtual result<activation_counts>
    decode_counts(std::string_view body) const = 0;
    /// \brief Request for the map in force; see decode_experts().
    [[nodiscard]] virtual http_request_message experts_request() const = 0;
    /// \brief Decodes the experts that a rank holds in the map in force.
    [[nodiscard]] virtual result<rank_experts>
    decode_experts(std::string_view body, std::uint32_t rank) const = 0;
    /// \brief Request that sends an order to its rank.
    [[nodiscard]] virtual http_request_message
    order_request(rank_order const& order) const = 0;
};

} // namespace hornbeamweir
