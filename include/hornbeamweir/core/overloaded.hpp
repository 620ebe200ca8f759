#pragma once

namespace hornbeamweir
{

/// \brief Combines lambdas into one visitor for std::visit.
template <typename... Ts>
struct overloaded : Ts...
{
    using Ts::operator()...;
};

template <typename... Ts>
overloaded(Ts...) -> overloaded<Ts...>;

} // namespace hornbeamweir
