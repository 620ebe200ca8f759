#include "standins/support/options.hpp"

#include <cstdlib>

namespace standin
{

options::options(int argc, char const** argv)
{
    for (int n = 1; n + 1 < argc; n += 2)
    {
        std::string const name = argv[n];
        values_[name.starts_with("--") ? name.substr(2) : name] = argv[n + 1];
    }
}

std::string
options::text(std::string const& name, std::string const& default_value) const
{
    auto const it = values_.find(name);
    return it == values_.end() ? default_value : it->second;
}

long options::number(std::string const& name, long default_value) const
{
    auto const it = values_.find(name);
    return it == values_.end() ? default_value
                               : std::strtol(it->second.c_str(), nullptr, 10);
}

} // namespace standin
