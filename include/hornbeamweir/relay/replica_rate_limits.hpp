#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <cstdint>
#include <map>
#include <optional>

namespace hornbeamweir::relay
{

/// \brief Paces requests to replicas that have named a maximum rate for all
/// entries together.
/// \remarks Sans-I/O. Each entry takes a part of the rate that follows its part
/// of the load, so the parts add up without any agreement. If there are many
/// entries for a rate, only some of them use the replica: a part of less than a
/// request in seconds could not be used, and all at once would exceed the rate.
/// Entries tell each other only what they have seen themselves, so nothing is
/// kept alive by repeating it.
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
    /// \brief Replaces what another entry has seen.
    void on_peer_report(process_name const& peer, observations seen);
    /// \brief Sets the open requests of this entry and of the others, which
    /// decide on its part of a limit.
    void set_loads(
        process_name self,
        std::uint32_t own,
        std::map<process_name, std::uint32_t> others);

    /// \returns Time until this entry may send a request; 0 if it may now,
    /// empty if that can't be told.
    [[nodiscard]] std::optional<duration>
    delay_of(backend_server_id const& id, time_point now) const;
    /// \brief Records that a request was sent.
    void on_sent(backend_server_id const& id, time_point now);

    /// \returns The limit in force, in requests per second of all entries.
    [[nodiscard]] std::optional<double>
    limit_of(backend_server_id const& id) const;
    /// \brief Whether neither this entry nor another one has seen a limit.
    [[nodiscard]] bool empty() const noexcept
    {
        return own_.empty() && of_peers_.empty() && limits_.empty();
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
        time_point filled_at{};
    };

    [[nodiscard]] std::map<backend_server_id, observation> newest() const;
    [[nodiscard]] double
    own_rate(backend_server_id const& id, double per_second) const;
    static void fill(pacing& it, time_point now);

    process_name self_;
    std::uint32_t own_load_ = 0;
    std::map<process_name, std::uint32_t> loads_;
    observations own_;
    std::map<process_name, observations> of_peers_;
    std::map<backend_server_id, pacing> limits_;
};

} // namespace hornbeamweir::relay
