#pragma once

#include <hornbeamweir/configuration/configuration_follower.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/transport/peer.hpp>

#include <configuration.pb.h>
#include <set>
#include <variant>
#include <vector>

namespace hornbeamweir
{

/// \brief Sends a configuration message to a peer.
struct send_configuration_message
{
    peer to;
    wire::configuration_message message;
};

/// \brief Reads a blob from the platform; the result goes to
/// on_platform_part().
struct read_configuration_part
{
    std::string hash;
};

/// \brief A newer revision became active.
struct configuration_activated
{
    std::shared_ptr<configuration const> current;
};

/// \brief A blob was rejected because its hash does not match or it cannot be
/// decoded.
struct configuration_content_rejected
{
    std::string source;
    error reason;
};

using configuration_relay_action = std::variant<
    send_configuration_message,
    read_configuration_part,
    configuration_activated,
    configuration_content_rejected>;
using configuration_relay_actions = std::vector<configuration_relay_action>;

/// \brief Fetches revisions from peers and the platform, and serves them to
/// peers.
/// \remarks A blob is an encoded manifest or an encoded part. The class does no
/// I/O; the caller performs the returned actions. Peers are
/// asked before the platform, to keep the number of platform calls low.
class configuration_relay
{
public:
    /// \param uses_platform Whether blobs may be read from the platform.
    /// \param filter Selects the parts to fetch; an empty function selects all.
    explicit configuration_relay(
        bool uses_platform, configuration_follower::part_filter filter = {});

    /// \brief Processes a head that a peer announced.
    [[nodiscard]] configuration_relay_actions on_peer_head(
        peer const& from, configuration_head const& head, time_point now);

    [[nodiscard]] configuration_relay_actions
    on_platform_head(configuration_head const& head, time_point now);

    [[nodiscard]] configuration_relay_actions on_message(
        peer const& from,
        wire::configuration_message const& message,
        time_point now);

    /// \brief Processes the result of a read from the platform.
    /// \param content std::nullopt if the platform lacks the blob or did not
    /// respond.
    [[nodiscard]] configuration_relay_actions on_platform_part(
        std::string const& hash,
        std::optional<std::string> content,
        time_point now);

    /// \brief Once the retry interval has passed, requests the wanted blobs
    /// from the next source.
    [[nodiscard]] configuration_relay_actions on_tick(time_point now);

    void on_peer_lost(peer const& lost);

    [[nodiscard]] std::shared_ptr<configuration const> current() const noexcept
    {
        return follower_.current();
    }
    [[nodiscard]] configuration_head const& newest() const noexcept
    {
        return follower_.newest();
    }

private:
    [[nodiscard]] configuration_relay_actions request_wanted(time_point now);
    [[nodiscard]] configuration_relay_actions process_blob(
        std::string const& source,
        std::string const& hash,
        std::string content,
        time_point now);
    void
    request_blob(std::string const& hash, configuration_relay_actions& out);
    [[nodiscard]] wire::configuration_message
    reply_to(wire::part_request const& request) const;

    bool uses_platform_;
    configuration_follower follower_;
    /// Peers that announced the newest head.
    std::set<peer> sources_;
    /// Hashes of the blobs whose reads from the platform are in flight.
    std::set<std::string> platform_reads_;
    /// Hashes of the blobs that were requested since the last retry.
    std::set<std::string> requested_;
    std::size_t next_source_ = 0;
    time_point requested_at_{};
};

/// \brief Converts a head between its value type and its message.
[[nodiscard]] wire::configuration_head to_wire(configuration_head const& head);
[[nodiscard]] configuration_head
from_wire(wire::configuration_head const& head);

} // namespace hornbeamweir
