#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace hornbeamweir::relay
{

/// \brief Paces requests to replicas that have named a maximum rate for all
/// entries together, or that are cold and tolerate only a configured rate.
/// \remarks Sans-I/O. Each entry takes a part of the rate that follows its part
/// of the load, so the parts add up without any agreement. If there are many
/// entries for a rate, only some of them use the replica: a part of less than a
/// request in seconds could not be used, and all at once would exceed the rate.
/// Entries tell each other only what they have seen themselves, so nothing is
/// kept alive by repeating it. The rate of a cold replica must hold in any
/// second, so it is divided equally among some of the known entries: parts that
/// follow the load add up to more than the rate while reports are late.
class replica_rate_limits
{
public:
    /// Time for which a limit holds that is not named again; longer for limits
    /// at which answers are rarer.
    static constexpr duration max_age = std::chrono::seconds{10};

    /// \brief What a replica said in an answer.
    struct observation
    {
        /// Requests per second; empty if it named none.
        std::optional<double> per_second;
        time_point at{};
    };

    using observations = std::map<backend_server_id, observation>;

    /// \brief Records the limit of an answer, or that it named none.
    /// \param sent_at When the request was sent: an answer that was already on
    /// its way does not end a limit.
    /// \returns Whether the limit in force has changed.
    bool on_answer(
        backend_server_id const& id,
        std::optional<double> per_second,
        time_point sent_at,
        time_point now);
    /// \brief Records what another entry has seen; what it doesn't name any
    /// more holds until it is too old.
    void on_peer_report(process_name const& peer, observations const& seen);
    /// \brief Sets the open requests of this entry and of the others, which
    /// decide on its part of a limit.
    void set_loads(
        process_name self,
        std::uint32_t own,
        std::map<process_name, std::uint32_t> others);

    /// Time for which an entry that has just started sends nothing to cold
    /// replicas: it learns the other entries, which learn of it, and its
    /// previous run may have used its part.
    static constexpr duration learning_time = std::chrono::seconds{1};

    /// \brief Sets the entries among which the rates of cold replicas are
    /// divided: all that may still be running, whether heard or not.
    void set_entries(
        process_name const& self,
        std::set<process_name> const& others,
        time_point now);
    /// \brief Sets the cold replicas and the rates that they tolerate. If a
    /// replica has named a lower rate, that one applies.
    void set_cold_rates(
        std::map<backend_server_id, double> const& rates, time_point now);

    /// \returns Time until this entry may send a request; 0 if it may now,
    /// empty if that can't be told.
    [[nodiscard]] std::optional<duration>
    delay_of(backend_server_id const& id, time_point now) const;
    /// \brief Records that a request was sent.
    void on_sent(backend_server_id const& id, time_point now);

    /// \returns The limit named by the replica, in requests per second of all
    /// entries.
    [[nodiscard]] std::optional<double>
    limit_of(backend_server_id const& id) const;
    /// \brief Whether neither this entry nor another one has seen a limit, and
    /// no replica is cold.
    [[nodiscard]] bool empty() const noexcept
    {
        return own_.empty() && of_peers_.empty() && limits_.empty() &&
               cold_.empty();
    }
    /// \returns What this entry has seen, to be told to the others.
    [[nodiscard]] observations const& seen() const noexcept { return own_; }
    /// \brief Applies what was reported, and drops what is too old; to be
    /// called regularly.
    void refresh(time_point now);

private:
    /// A limit in force.
    struct pacing
    {
        double per_second = 0;
        /// This entry's part of it.
        double own_rate = 0;
        /// Requests that may be sent; below 0 after an excess.
        double requests = 0;
        /// Upper limit of requests.
        double max_requests = 1;
        time_point filled_at{};
    };

    struct cold_limit
    {
        /// Rate that the replica tolerates by the configuration.
        double tolerated = 0;
        pacing current;
    };

    [[nodiscard]] std::map<backend_server_id, observation> newest() const;
    [[nodiscard]] double
    own_rate(backend_server_id const& id, double per_second) const;
    /// This entry's part of the rate of a cold replica.
    [[nodiscard]] double
    own_cold_rate(backend_server_id const& id, double per_second) const;
    [[nodiscard]] double
    cold_rate_of(backend_server_id const& id, cold_limit const& it) const;
    void divide_cold_rate(
        backend_server_id const& id, cold_limit& it, time_point now) const;
    [[nodiscard]] static std::optional<duration>
    delay_in(pacing it, time_point now);
    static void fill(pacing& it, time_point now);

    process_name self_;
    std::uint32_t own_load_ = 0;
    std::map<process_name, std::uint32_t> loads_;
    observations own_;
    std::map<process_name, observations> of_peers_;
    std::map<backend_server_id, pacing> limits_;
    std::map<backend_server_id, cold_limit> cold_;
    std::uint64_t self_hash_ = 0;
    /// Hashes of the names of the other entries, in ascending order.
    std::vector<std::uint64_t> entry_hashes_;
    /// When set_entries was first called.
    std::optional<time_point> learning_since_;
    bool has_learned_ = false;
};

} // namespace hornbeamweir::relay
