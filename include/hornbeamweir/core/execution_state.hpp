#pragma once

#include <hornbeamweir/core/enum_table.hpp>

namespace hornbeamweir
{

/// \brief What a caller may conclude about the execution of its request.
enum class execution_state
{
    not_run,
    may_have_run,
    done
};

template <>
struct enum_table<execution_state>
{
    static constexpr std::array<enum_name<execution_state>, 3> rows{
        {{execution_state::not_run, "not run"},
         {execution_state::may_have_run, "may have run"},
         {execution_state::done, "done"}}};
};

} // namespace hornbeamweir
