#pragma once

#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief A backend server that could take a request.
struct routing_candidate
{
    backend_server_id id;
    model_group_id group;
    data_centre_id data_centre;
    /// Attempts of this entry that are in flight at this server.
    std::uint32_t local_in_flight = 0;
    /// Requests in flight by the agent's last report, which is delayed.
    std::uint32_t reported_in_flight = 0;
    /// Requests queued by the agent's last report.
    std::uint32_t reported_queued = 0;
    /// Duration of a step of the rank; 0 if none was reported.
    duration reported_step_time{};
    /// Time since the last report was received.
    duration report_age{};

    [[nodiscard]] friend bool
    operator==(routing_candidate const&, routing_candidate const&) = default;
};

/// \brief The properties of a request that a policy takes into account.
struct routing_query
{
    customer_id customer;
    /// 0 is the most urgent.
    std::uint32_t priority = 1;
    /// Hash of the prompt's beginning; 0 if unknown.
    std::uint64_t prefix = 0;
    /// Data centre of this entry.
    data_centre_id data_centre;
};

/// \brief The chosen backend server, with the reason and the costs compared.
struct routing_choice
{
    struct score
    {
        backend_server_id id;
        double cost = 0;
    };

    backend_server_id chosen;
    /// "prefix" if a prefix discount applied, else "cost".
    std::string reason;
    /// Costs of the compared candidates only; lower is better.
    std::vector<score> scores;
};

/// \brief How an attempt ended, with regard to the health of its backend
/// server.
enum class attempt_outcome
{
    succeeded,
    failed,
    /// Cancelled by the caller or the deadline: says nothing about the server.
    abandoned
};

template <>
struct enum_table<attempt_outcome>
{
    static constexpr std::array<enum_name<attempt_outcome>, 3> rows{
        {{attempt_outcome::succeeded, "succeeded"},
         {attempt_outcome::failed, "failed"},
         {attempt_outcome::abandoned, "abandoned"}}};
};

/// \brief An attempt that has ended.
struct finished_attempt
{
    backend_server_id server;
    attempt_outcome outcome = attempt_outcome::failed;
    /// Hash of the prompt's beginning; 0 if unknown.
    std::uint64_t prefix = 0;
    /// Time from the start to the end of the attempt.
    duration elapsed{};
};

/// \brief A change in a backend server's prefix cache.
/// \remarks Events arrive with a delay, and some are lost.
struct cache_event
{
    backend_server_id server;
    std::uint64_t prefix = 0;
    /// False if the prefix was evicted.
    bool stored = true;
};

/// \brief Chooses a backend server for each attempt.
class routing_policy
{
public:
    routing_policy() = default;
    routing_policy(routing_policy const&) = delete;
    routing_policy& operator=(routing_policy const&) = delete;
    virtual ~routing_policy() = default;

    /// \brief Chooses a backend server among the candidates.
    /// \returns std::nullopt if there are no candidates.
    [[nodiscard]] virtual std::optional<routing_choice> choose(
        routing_query const& query,
        std::span<routing_candidate const> candidates,
        time_point now) = 0;

    /// \brief Called when an attempt is sent to a backend server.
    virtual void on_started(backend_server_id const&, time_point) {}

    /// \brief Called when an attempt has ended, however it ended.
    virtual void on_ended(finished_attempt const&, time_point) {}

    /// \brief Called when a backend server's prefix cache has changed.
    virtual void on_cache_event(cache_event const&, time_point) {}
};

} // namespace hornbeamweir
