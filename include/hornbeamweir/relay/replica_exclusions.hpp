#pragma once

#include <hornbeamweir/core/random_source.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/replicas/replica.hpp>

#include <map>
#include <optional>

namespace hornbeamweir::relay
{

/// \brief Replicas that have asked this entry for no more requests.
/// \remarks Sans-I/O. Kept by this process alone; a restart forgets it.
class replica_exclusions
{
public:
    /// Longest time for which a replica is left alone on its own request;
    /// longer ones are cut, as they would remove it for good.
    static constexpr duration max_retry_after = std::chrono::minutes{10};
    /// Leaving replicas that are remembered; the oldest are forgotten first,
    /// which are gone by then.
    static constexpr std::size_t max_leaving = 4096;

    explicit replica_exclusions(random_source random) noexcept
        : random_{random}
    {
    }

    /// \brief Records that a replica is about to stop. It becomes eligible
    /// again only if it registers anew.
    /// \param registration Position of the registration to which the answered
    /// request was sent: the replica may have restarted since.
    /// \returns False if that was known.
    bool on_leaving(backend_server_id const& id, store_position registration);

    /// \brief Records that a replica wants no requests for some time.
    /// \returns The end of that time, with a random addition, so that entries
    /// do not return to the replica at the same moment.
    time_point
    on_retry_after(backend_server_id const& id, duration delay, time_point now);

    [[nodiscard]] bool is_leaving(replica const& it) const;

    /// \returns When the replica may get requests again; std::nullopt if it may
    /// now.
    [[nodiscard]] std::optional<time_point>
    backing_off_until(backend_server_id const& id, time_point now) const;

private:
    random_source random_;
    /// Registration with which a replica was leaving.
    std::map<backend_server_id, store_position> leaving_;
    std::map<backend_server_id, time_point> backing_off_until_;
};

} // namespace hornbeamweir::relay
