#include <hornbeamweir/membership/member_state.hpp>

namespace hornbeamweir
{

namespace
{

using enum member_state;

using transitions =
    std::array<member_state, enum_table<member_event>::rows.size()>;

// One row for each state and one column for each event, in order of
// declaration. A leaving member that becomes silent stays leaving, so that
// panic mode never sends it work. After a revoked leave, a heartbeat must
// confirm that it is up.
constexpr std::array<transitions, enum_table<member_state>::rows.size()> table{
    {{up, leaving, down, suspect, suspect, leaving, suspect},
     {up, leaving, down, suspect, suspect, leaving, up},
     {up, leaving, leaving, leaving, leaving, leaving, suspect},
     {up, leaving, down, suspect, down, leaving, down}}};

} // namespace

member_state next_state(member_state from, member_event observed) noexcept
{
    return table[static_cast<std::size_t>(from)]
                [static_cast<std::size_t>(observed)];
}

} // namespace hornbeamweir
