#pragma once

#include <hornbeamweir/core/execution_state.hpp>
#include <hornbeamweir/core/result_code.hpp>

#include <tl/expected.hpp>

#include <string>

namespace hornbeamweir
{

/// \brief A failure: its code, and a message that states what was found and
/// what was expected.
struct error
{
    result_code code = result_code::internal;
    std::string message;

    [[nodiscard]] friend bool operator==(error const&, error const&) = default;
};

/// \brief A value or an error.
template <typename T>
using result = tl::expected<T, error>;

/// \brief Makes the error alternative of a result.
[[nodiscard]] inline tl::unexpected<error>
failure(result_code code, std::string message)
{
    return tl::unexpected<error>{error{code, std::move(message)}};
}

} // namespace hornbeamweir
