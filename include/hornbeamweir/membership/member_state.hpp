#pragma once

#include <hornbeamweir/core/enum_table.hpp>

namespace hornbeamweir
{

/// \brief State of a backend server and its agent as seen by an entry.
enum class member_state
{
    /// No heartbeat yet, or none for too long.
    suspect,
    up,
    /// Accepts no new work; completes its running work.
    leaving,
    /// The agent responds, but its backend server does not.
    down
};

template <>
struct enum_table<member_state>
{
    static constexpr std::array<enum_name<member_state>, 4> rows{
        {{member_state::suspect, "suspect"},
         {member_state::up, "up"},
         {member_state::leaving, "leaving"},
         {member_state::down, "down"}}};
};

/// \brief Event that may change the state of a member. Sources are heartbeats,
/// failed attempts, the configuration and the platform's VM list.
enum class member_event
{
    heard_up,
    heard_leaving,
    heard_backend_down,
    silent,
    attempt_failed,
    /// The configuration or the VM list marks it as leaving.
    leave_ordered,
    leave_revoked
};

template <>
struct enum_table<member_event>
{
    static constexpr std::array<enum_name<member_event>, 7> rows{
        {{member_event::heard_up, "heard_up"},
         {member_event::heard_leaving, "heard_leaving"},
         {member_event::heard_backend_down, "heard_backend_down"},
         {member_event::silent, "silent"},
         {member_event::attempt_failed, "attempt_failed"},
         {member_event::leave_ordered, "leave_ordered"},
         {member_event::leave_revoked, "leave_revoked"}}};
};

/// \brief Returns the state that follows an event.
/// \remarks Between leave_ordered and leave_revoked, the caller must report all
/// heartbeats as heard_leaving.
[[nodiscard]] member_state
next_state(member_state from, member_event observed) noexcept;

} // namespace hornbeamweir
