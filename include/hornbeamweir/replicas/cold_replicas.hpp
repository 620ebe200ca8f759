#pragma once

#include <hornbeamweir/core/enum_table.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/replicas/replica.hpp>

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace hornbeamweir
{

/// \brief Why a replica counts as cold.
enum class cold_source
{
    /// Its registration says so.
    registration,
    /// It has just registered.
    start,
    /// A response of it says so.
    response,
    /// Another entry has seen such a response.
    peer_report,
    /// Its data centre has returned from an evacuation.
    restored
};

template <>
struct enum_table<cold_source>
{
    static constexpr std::array<enum_name<cold_source>, 5> rows{
        {{cold_source::registration, "registration"},
         {cold_source::start, "start"},
         {cold_source::response, "response"},
         {cold_source::peer_report, "peer_report"},
         {cold_source::restored, "restored"}}};
};

/// \brief Keeps until when each replica counts as cold. Of several sources, the
/// one with the latest time applies.
/// \remarks Sans-I/O. Considers only the services that are set; remembers only
/// registered replicas and those gone for less than gone_retention.
class cold_replicas
{
public:
    /// Longest time taken from a replica; longer ones are cut, as they would
    /// limit it for good.
    static constexpr duration max_time = std::chrono::minutes{10};
    /// Time for which a replica without a registration is remembered, so that
    /// one that registers again after an outage of the store is not new.
    static constexpr duration gone_retention = std::chrono::seconds{10};

    /// \brief A replica has become cold or warm.
    struct change
    {
        backend_server_id id;
        bool is_cold = false;
        /// The first source, when it became cold.
        cold_source source = cold_source::registration;
        /// For how long it will be cold, or was.
        duration time{};
    };

    /// \brief Sets the services with a rate for cold replicas, and for how long
    /// their replicas are cold after a start.
    void
    set_services(std::map<service_name, duration> start_times, time_point now);

    /// \brief Applies a snapshot of the registry.
    void update(
        std::map<backend_server_id, replica> const& snapshot, time_point now);
    /// \brief Records that a replica has stated how long it stays cold.
    /// \param source Either response or peer_report.
    void on_reported(
        backend_server_id const& id,
        duration remaining,
        cold_source source,
        time_point now);
    /// \brief Marks all replicas of a data centre that returns from an
    /// evacuation: they may have become cold shortly before.
    void on_data_centre_restored(data_centre_id const& id, time_point now);

    /// \returns The cold replicas and their services.
    [[nodiscard]] std::map<backend_server_id, service_name> cold() const;
    /// \returns The time left of the replicas that have stated it in responses
    /// to this entry, to be told to the others.
    [[nodiscard]] std::map<backend_server_id, duration>
    seen(time_point now) const;
    /// \brief Ends what has expired; to be called regularly.
    void expire(time_point now);
    /// \returns The changes since the last call.
    [[nodiscard]] std::vector<change> take_changes()
    {
        return std::exchange(changes_, {});
    }

private:
    struct known_replica
    {
        service_name service;
        data_centre_id data_centre;
        /// When it registered; empty if it was there at the first read.
        std::optional<time_point> started_at;
        /// Last revision of its registration, and the end of the cold time that
        /// it stated, counted from when that revision was first seen.
        std::int64_t modify_revision = 0;
        time_point stated_until{};
        std::optional<time_point> missing_since;
    };

    struct cold_state
    {
        time_point since{};
        time_point until{};
        /// End of the time that responses to this entry have stated.
        time_point seen_until{};
        cold_source source = cold_source::registration;
    };

    /// \returns The start time of a service; empty if it is not considered.
    [[nodiscard]] std::optional<duration>
    start_time_of(service_name const& name) const;
    /// Applies what is known from the registry.
    void apply(
        backend_server_id const& id,
        known_replica const& known,
        time_point now);
    void mark(
        backend_server_id const& id,
        time_point until,
        cold_source source,
        time_point now);

    std::map<service_name, duration> start_times_;
    std::map<backend_server_id, known_replica> known_;
    std::map<backend_server_id, cold_state> cold_;
    std::vector<change> changes_;
    bool has_read_ = false;
};

} // namespace hornbeamweir
