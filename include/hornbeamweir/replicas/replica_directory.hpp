#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/replicas/replica.hpp>

#include <map>
#include <vector>

namespace hornbeamweir
{

/// \brief The replicas that may get new requests.
/// \remarks Sans-I/O. Takes whole snapshots of the registry.
class replica_directory
{
public:
    /// Reads further apart than this count as an outage of the registry.
    static constexpr duration outage = std::chrono::milliseconds{2500};
    /// Time after an outage for replicas to register again.
    static constexpr duration return_time = std::chrono::milliseconds{2200};

    struct change
    {
        replica registration;
        /// added, changed or removed.
        std::string_view kind;
    };

    /// \brief Takes a snapshot; entries that lapsed in an outage are kept for
    /// return_time after it.
    [[nodiscard]] std::vector<change>
    update(std::map<backend_server_id, replica> snapshot, time_point now);

    /// \brief Notes that another replica answered at a replica's address.
    void on_misdirected(backend_server_id const& id, time_point now);

    /// \brief Returns the replicas of a service that are not leaving, and that
    /// no later one has replaced at their address.
    [[nodiscard]] std::vector<replica const*>
    usable(service_name const& service) const;

    [[nodiscard]] replica const* find(backend_server_id const& id) const;

    /// \returns The replica that serves at an address; null if none does.
    [[nodiscard]] replica const*
    find_by_address(std::string const& address) const;

    [[nodiscard]] std::size_t size() const noexcept { return known_.size(); }

private:
    [[nodiscard]] bool is_replaced(replica const& it) const;

    std::map<backend_server_id, replica> known_;
    /// Replicas that were not found at their address.
    std::map<backend_server_id, time_point> absent_;
    time_point last_read_{};
    time_point keep_until_{};
    bool has_read_ = false;
};

} // namespace hornbeamweir
