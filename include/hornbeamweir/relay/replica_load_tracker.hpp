#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <map>

namespace hornbeamweir
{

/// \brief What an agent tells of the rank beside it.
struct rank_status
{
    bool open = true;
    /// Relative time that the rank needs for its work; over 1 is slow.
    double pace = 1;
    time_point at{};
};

/// \brief Open requests of all entries at each replica, and the condition of
/// ranks.
/// \remarks Sans-I/O. Own requests are exact; those of other entries are as
/// old as their last message.
class replica_load_tracker
{
public:
    /// Age at which what another process told is forgotten: some messages may
    /// be lost.
    static constexpr duration validity = std::chrono::milliseconds{1500};

    void on_started(backend_server_id const& id) { ++own_[id]; }
    void on_ended(backend_server_id const& id);

    void on_peer_load(
        process_name const& peer,
        std::map<backend_server_id, std::uint32_t> loads,
        time_point now);
    void on_rank_status(backend_server_id const& id, rank_status condition);

    /// \brief Requests open at a replica, of all entries.
    [[nodiscard]] std::uint32_t
    in_flight(backend_server_id const& id, time_point now) const;

    /// \returns The condition last heard; the default if it is too old.
    [[nodiscard]] rank_status
    rank(backend_server_id const& id, time_point now) const;

    /// \brief Entries heard of, this one included.
    [[nodiscard]] std::size_t entries(time_point now) const;

    [[nodiscard]] std::map<backend_server_id, std::uint32_t> const&
    own() const noexcept
    {
        return own_;
    }

private:
    struct peer_load
    {
        std::map<backend_server_id, std::uint32_t> loads;
        time_point at{};
    };

    std::map<backend_server_id, std::uint32_t> own_;
    std::map<process_name, peer_load> peers_;
    std::map<backend_server_id, rank_status> ranks_;
};

} // namespace hornbeamweir
