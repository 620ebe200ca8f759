#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/replicas/replica.hpp>

#include <functional>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

namespace hornbeamweir
{

/// \brief Last known status of a rank, which is a replica of a lock-step group.
/// \remarks Reported by the agent on its host, or derived from a response of
/// the replica.
struct rank_status
{
    bool accepts_requests = true;
    /// Ratio of its step time to the usual one; over 1 is slower.
    double slowdown = 1;
    time_point received_at{};
};

/// \brief Tracks the open requests of all entries at each replica, and the
/// status of ranks.
/// \remarks Sans-I/O. The counts of this entry are exact; those of other
/// entries are from their last reports.
class replica_load_tracker
{
public:
    /// Age above which a report of another process is ignored; allows for the
    /// loss of some messages.
    static constexpr duration max_report_age = std::chrono::milliseconds{1500};

    void on_attempt_started(backend_server_id const& id);
    void on_attempt_ended(backend_server_id const& id);

    /// \brief Replaces the counts of another entry.
    void on_peer_load(
        process_name const& peer,
        std::map<backend_server_id, std::uint32_t> loads,
        time_point now);
    /// \brief Drops the counts of entries that have not reported within
    /// max_report_age.
    void expire(time_point now);
    void on_rank_status(backend_server_id const& id, rank_status status);

    /// \returns The number of open requests of all entries at a replica.
    [[nodiscard]] std::uint32_t in_flight(backend_server_id const& id) const;

    /// \returns Number of attempts started by this entry so far.
    [[nodiscard]] std::uint64_t started() const noexcept { return started_; }
    /// \returns Number of attempts of this entry that have ended so far.
    [[nodiscard]] std::uint64_t ended() const noexcept { return ended_; }

    /// \returns The number of open requests of this entry at a replica.
    [[nodiscard]] std::uint32_t own_in_flight(backend_server_id const& id) const
    {
        auto const it = local_.find(id);
        return it == local_.end() ? 0 : it->second;
    }

    /// \returns The number of open requests of each other entry at any of some
    /// replicas, from its last report.
    [[nodiscard]] std::vector<std::uint32_t> peers_in_flight(
        std::vector<replica const*> const& replicas, time_point now) const;

    /// \returns The open requests of this entry at all replicas.
    [[nodiscard]] std::uint32_t own_total() const;
    /// \returns The open requests of each other entry at all replicas, from its
    /// last report.
    [[nodiscard]] std::map<process_name, std::uint32_t>
    peer_totals(time_point now) const;

    /// \returns The last reported status; the default if there is none or it is
    /// older than max_report_age.
    [[nodiscard]] rank_status
    status_of(backend_server_id const& id, time_point now) const;

    /// \brief Sets the source of the other entries that are registered, heard
    /// or not.
    void
    set_registered_entries(std::function<std::set<process_name>()> registered)
    {
        registered_ = std::move(registered);
    }
    /// \returns The other entries that may still be running: those that are
    /// registered, and those that have reported within the last 20 s.
    [[nodiscard]] std::set<process_name> other_entries(time_point now) const;
    /// \returns The number of entries that may still be running, including
    /// this one.
    [[nodiscard]] std::size_t entry_count(time_point now) const
    {
        return other_entries(now).size() + 1;
    }

    /// \returns The open requests of this entry alone.
    [[nodiscard]] std::map<backend_server_id, std::uint32_t> const&
    local_in_flight() const noexcept
    {
        return local_;
    }

private:
    struct peer_load
    {
        std::map<backend_server_id, std::uint32_t> loads;
        time_point received_at{};
    };

    void subtract(std::map<backend_server_id, std::uint32_t> const& loads);

    std::map<backend_server_id, std::uint32_t> local_;
    std::uint64_t started_ = 0;
    std::uint64_t ended_ = 0;
    /// Sums of the counts of other entries: requests are placed far more often
    /// than in a large fleet the counts of all entries could be added up.
    std::unordered_map<backend_server_id, std::uint32_t> of_peers_;
    std::map<process_name, peer_load> peers_;
    std::map<backend_server_id, rank_status> ranks_;
    std::function<std::set<process_name>()> registered_;
};

} // namespace hornbeamweir
