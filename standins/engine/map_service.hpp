#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/http/backend_call.hpp>

#include "standins/engine/rank_map_state.hpp"
#include "standins/support/json_body.hpp"
#include "standins/support/options.hpp"

#include <map>

namespace standin
{

/// \brief Manages the expert maps of a group of ranks: processes orders,
/// fetches weights from the weight store, agrees on a map before each step and
/// counts expert popularity.
class map_service
{
public:
    map_service(boost::asio::io_context& context, options const& settings);

    /// \brief Begins a step if all ranks agree on a map.
    /// \returns Whether the step was begun.
    [[nodiscard]] bool begin_step(std::size_t tokens);

    /// \brief Responds to requests under /expert_map.
    /// \returns Whether the request was handled.
    [[nodiscard]] bool handle_request(
        std::uint32_t rank,
        hornbeamweir::http_exchange& exchange,
        hornbeamweir::http_request_message const& request);

    /// \brief Adds the state of a rank's maps to its health report.
    void report(std::uint32_t rank, boost::json::object& out) const;

private:
    void handle_order(
        std::uint32_t rank,
        hornbeamweir::http_exchange& exchange,
        boost::json::object const& body);
    void send_map(hornbeamweir::http_exchange& exchange) const;
    void send_popularity(hornbeamweir::http_exchange& exchange) const;
    void send_records(hornbeamweir::http_exchange& exchange) const;
    void
    replace_rank(std::uint32_t rank, hornbeamweir::http_exchange& exchange);
    void fetch_weights(
        std::uint32_t rank,
        hornbeamweir::expert_map const& map,
        std::size_t experts);
    void count_popularity(std::size_t tokens);
    [[nodiscard]] std::size_t count_missing_experts(
        std::uint32_t rank, hornbeamweir::expert_map const& map) const;
    [[nodiscard]] hornbeamweir::expert_map const* group_map() const;

    boost::asio::io_context& context_;
    hornbeamweir::expert_map_shape shape_;
    bool checks_fence_;
    std::int64_t expert_bytes_;
    std::string weight_store_;
    std::vector<rank_map_state> ranks_;
    std::map<std::uint32_t, std::unique_ptr<hornbeamweir::backend_call>>
        fetches_;
    hornbeamweir::random_source random_{1};
    std::vector<double> current_counts_;
    std::vector<double> reported_counts_;
    std::uint64_t steps_ = 0;
    std::uint64_t held_steps_ = 0;
    std::uint64_t mixed_steps_ = 0;
    std::uint64_t changes_ = 0;
    hornbeamweir::map_identity last_;
};

} // namespace standin
