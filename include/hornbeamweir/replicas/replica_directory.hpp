#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/replicas/replica.hpp>

#include <map>
#include <set>
#include <vector>

namespace hornbeamweir
{

/// \brief Keeps the registered replicas and which of them may get new requests.
/// \remarks Sans-I/O. Is updated with complete snapshots of the registry.
class replica_directory
{
public:
    /// Time between reads above which an outage of the registry is assumed.
    static constexpr duration max_read_gap = std::chrono::milliseconds{2500};
    /// Time after an outage within which replicas may register again.
    static constexpr duration reregistration_time =
        std::chrono::milliseconds{2200};

    struct change
    {
        replica registration;
        /// One of "added", "changed" and "removed".
        std::string_view kind;
    };

    /// \brief Applies a snapshot. Registrations that expired in an outage are
    /// kept for reregistration_time after it.
    /// \returns The differences to the previous replicas.
    [[nodiscard]] std::vector<change>
    update(std::map<backend_server_id, replica> snapshot, time_point now);

    /// \brief Excludes a replica for some seconds, because a different one
    /// responded at its address.
    void on_misdirected(backend_server_id const& id, time_point now);

    /// \brief Sets the data centres whose replicas get no requests.
    void set_evacuated(std::set<data_centre_id> data_centres);

    /// \brief Whether a service has replicas that could get requests, but all
    /// of them are in evacuated data centres.
    [[nodiscard]] bool is_evacuated(service_name const& service) const;

    /// \returns The number of replicas in each data centre that are not
    /// draining, evacuated or not.
    [[nodiscard]] std::map<data_centre_id, std::size_t>
    replicas_by_data_centre() const;

    /// \returns The replicas of a service that are not draining, not superseded
    /// by a newer one at their address, not reported as misdirected and not in
    /// an evacuated data centre.
    [[nodiscard]] std::vector<replica const*> const&
    usable(service_name const& service) const;

    [[nodiscard]] replica const* find(backend_server_id const& id) const;

    /// \returns Whether a registration is known and is the newest at its
    /// address.
    [[nodiscard]] bool is_current(
        backend_server_id const& id, std::int64_t registration_revision) const;

    /// \returns The newest replica registered with an address; null if none is.
    [[nodiscard]] replica const*
    find_by_address(std::string const& address) const;

    [[nodiscard]] std::size_t size() const noexcept { return replicas_.size(); }

private:
    void find_usable();

    std::map<backend_server_id, replica> replicas_;
    /// See usable(). Many requests are placed between two changes, so the
    /// replicas are compared with each other only at a change.
    std::map<service_name, std::vector<replica const*>> usable_;
    std::set<data_centre_id> evacuated_;
    /// Services with otherwise usable replicas in evacuated data centres.
    std::set<service_name> evacuated_services_;
    /// Newest replica of each address.
    std::map<std::string, replica const*, std::less<>> newest_at_;
    /// Replicas that were not found at their address, and when.
    std::map<backend_server_id, time_point> misdirected_;
    time_point last_read_{};
    time_point retain_until_{};
    bool has_read_ = false;
};

} // namespace hornbeamweir
