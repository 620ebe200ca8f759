#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace hornbeamweir
{

/// \brief Bounds the names under which datagrams are accepted, as state is kept
/// for each.
/// \remarks Registered processes are always accepted. Others may be processes
/// that have just started, or whose registration an outage of the store hides.
class sender_admission
{
public:
    static constexpr std::size_t max_unregistered = 512;
    /// Time without a datagram after which an unregistered sender makes room
    /// for another one.
    static constexpr duration max_silence = std::chrono::seconds{10};
    /// Size of the longest name in bytes, as in settings files.
    static constexpr std::size_t max_name_size = 128;

    explicit sender_admission(
        std::function<bool(process_name const&)> is_registered)
        : is_registered_{std::move(is_registered)}
    {
    }

    /// \brief Whether a datagram is accepted.
    [[nodiscard]] bool
    admit(std::string const& sender, std::string_view role, time_point now);

private:
    std::function<bool(process_name const&)> is_registered_;
    /// When each unregistered sender was last heard.
    std::map<std::string, time_point, std::less<>> unregistered_;
};

} // namespace hornbeamweir
