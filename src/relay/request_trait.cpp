#include <hornbeamweir/relay/request_trait.hpp>

namespace hornbeamweir::relay
{

std::string to_string(request_trait const& it)
{
    return std::string{name_of(it.kind)} + ':' + it.value;
}

} // namespace hornbeamweir::relay
