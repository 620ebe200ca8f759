#pragma once

#include <map>
#include <string>

namespace standin
{

/// \brief Command-line options of a stand-in, passed as "--name value".
class options
{
public:
    options(int argc, char const** argv);

    [[nodiscard]] std::string
    text(std::string const& name, std::string const& default_value) const;
    [[nodiscard]] long
    number(std::string const& name, long default_value) const;

private:
    std::map<std::string, std::string> values_;
};

} // namespace standin
