#include <hornbeamweir/core/socket_address.hpp>
#include <hornbeamweir/settings/yaml_object.hpp>

#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace hornbeamweir
{

namespace
{

constexpr std::size_t max_name_size = 128;
constexpr std::string_view expected_address =
    "an IP address and port, such as 10.0.0.1:80";
constexpr std::size_t max_file_bytes = 64U * 1024U * 1024U;

std::string describe(YAML::Node const& node)
{
    switch (node.Type())
    {
    case YAML::NodeType::Scalar:
        return "\"" + node.Scalar() + "\"";
    case YAML::NodeType::Sequence:
        return "a sequence";
    case YAML::NodeType::Map:
        return "a mapping";
    default:
        return "nothing";
    }
}

bool is_valid_name(std::string const& value) noexcept
{
    if (value.empty() || value.size() > max_name_size)
        return false;
    for (char c : value)
    {
        bool const allowed = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
                             (c >= '0' && c <= '9') || c == '-' || c == '_' ||
                             c == '.';
        if (!allowed)
            return false;
    }
    return true;
}

} // namespace

yaml_object::yaml_object(
    YAML::Node const& node,
    std::string file,
    std::string path,
    diagnostics& faults)
    : node_{node}
    , file_{std::move(file)}
    , path_{std::move(path)}
    , faults_{faults}
{
    if (!node_.IsMap())
        add_fault(node_, "", describe(node_), "a mapping");
}

std::string yaml_object::path_of(std::string_view key) const
{
    if (path_.empty())
        return std::string{key};
    if (key.empty())
        return path_;
    return path_ + "." + std::string{key};
}

void yaml_object::add_fault(
    YAML::Node const& node,
    std::string_view key,
    std::string found,
    std::string expected)
{
    YAML::Mark const mark = node.IsDefined() ? node.Mark() : node_.Mark();
    faults_.get().push_back(
        {file_,
         mark.line + 1,
         mark.column + 1,
         path_of(key),
         std::move(found),
         std::move(expected)});
}

YAML::Node yaml_object::find(
    std::string_view key, presence need, std::string const& expected)
{
    known_.emplace(key);
    if (!node_.IsMap())
        return YAML::Node{YAML::NodeType::Undefined};
    YAML::Node const& mapping = node_;
    YAML::Node const node = mapping[std::string{key}];
    if (!node.IsDefined() && need == presence::required)
        add_fault(node_, key, "nothing", expected);
    return node;
}

bool yaml_object::scalar(
    YAML::Node const& node,
    std::string_view key,
    std::string& out,
    std::string const& expected)
{
    if (!node.IsDefined())
        return false;
    if (!node.IsScalar())
    {
        add_fault(node, key, describe(node), expected);
        return false;
    }
    out = node.Scalar();
    return true;
}

void yaml_object::string(std::string_view key, std::string& out, presence need)
{
    YAML::Node const node = find(key, need, "a string");
    static_cast<void>(scalar(node, key, out, "a string"));
}

void yaml_object::name(std::string_view key, std::string& out, presence need)
{
    std::string const expected =
        "a name of up to 128 letters, digits, '-', '_' or '.'";
    YAML::Node const node = find(key, need, expected);
    std::string value;
    if (!scalar(node, key, value, expected))
        return;
    if (is_valid_name(value))
        out = value;
    else
        add_fault(node, key, "\"" + value + "\"", expected);
}

void yaml_object::flag(std::string_view key, bool& out, presence need)
{
    YAML::Node const node = find(key, need, "true or false");
    std::string value;
    if (!scalar(node, key, value, "true or false"))
        return;
    // YAML's core schema allows both spellings.
    bool const is_true = value == "true" || value == "True";
    if (is_true || value == "false" || value == "False")
        out = is_true;
    else
        add_fault(node, key, "\"" + value + "\"", "true or false");
}

void yaml_object::number(
    std::string_view key,
    std::uint64_t& out,
    bounds<std::uint64_t> range,
    presence need)
{
    std::string const expected = "a whole number from " +
                                 std::to_string(range.low) + " to " +
                                 std::to_string(range.high);
    YAML::Node const node = find(key, need, expected);
    std::string value;
    if (!scalar(node, key, value, expected))
        return;
    std::uint64_t n = 0;
    char const* const last = value.data() + value.size();
    std::from_chars_result const parsed =
        std::from_chars(value.data(), last, n);
    bool const valid = parsed.ec == std::errc{} && parsed.ptr == last;
    if (valid && n >= range.low && n <= range.high)
        out = n;
    else
        add_fault(node, key, "\"" + value + "\"", expected);
}

void yaml_object::real(
    std::string_view key, double& out, bounds<double> range, presence need)
{
    std::ostringstream expected;
    expected << "a number from " << range.low << " to " << range.high;
    YAML::Node const node = find(key, need, expected.str());
    std::string value;
    if (!scalar(node, key, value, expected.str()))
        return;
    double n = 0;
    char const* const last = value.data() + value.size();
    std::from_chars_result const parsed =
        std::from_chars(value.data(), last, n);
    bool const valid =
        parsed.ec == std::errc{} && parsed.ptr == last && std::isfinite(n);
    if (valid && n >= range.low && n <= range.high)
        out = n;
    else
        add_fault(node, key, "\"" + value + "\"", expected.str());
}

void yaml_object::address(std::string_view key, std::string& out, presence need)
{
    std::string const expected{expected_address};
    YAML::Node const node = find(key, need, expected);
    std::string value;
    if (!scalar(node, key, value, expected))
        return;
    if (tcp_endpoint(value).has_value())
        out = value;
    else
        add_fault(node, key, "\"" + value + "\"", expected);
}

void yaml_object::object(
    std::string_view key,
    std::function<void(yaml_object&)> const& read,
    presence need)
{
    YAML::Node const node = find(key, need, "a mapping");
    if (!node.IsDefined())
        return;
    yaml_object nested{node, file_, path_of(key), faults_};
    read(nested);
    nested.finish();
}

void yaml_object::objects(
    std::string_view key,
    std::function<void(yaml_object&)> const& read,
    presence need)
{
    YAML::Node const node = find(key, need, "a sequence of mappings");
    if (!node.IsDefined())
        return;
    if (!node.IsSequence())
    {
        add_fault(node, key, describe(node), "a sequence of mappings");
        return;
    }
    std::size_t n = 0;
    for (YAML::Node const& item : node)
    {
        std::string const path = path_of(key) + "[" + std::to_string(n++) + "]";
        yaml_object nested{item, file_, path, faults_};
        read(nested);
        nested.finish();
    }
}

void yaml_object::strings(
    std::string_view key, std::vector<std::string>& out, presence need)
{
    YAML::Node const node = find(key, need, "a sequence of strings");
    if (!node.IsDefined())
        return;
    if (!node.IsSequence())
    {
        add_fault(node, key, describe(node), "a sequence of strings");
        return;
    }
    out.clear();
    for (YAML::Node const& item : node)
    {
        std::string value;
        if (scalar(item, key, value, "a string"))
            out.push_back(value);
    }
}

void yaml_object::addresses(
    std::string_view key, std::vector<std::string>& out, presence need)
{
    strings(key, out, need);
    for (std::string const& value : out)
    {
        if (!tcp_endpoint(value))
            report(key, "\"" + value + "\"", std::string{expected_address});
    }
}

std::set<std::string> yaml_object::present_keys() const
{
    std::set<std::string> keys;
    for (YAML::const_iterator it = node_.begin(); it != node_.end(); ++it)
    {
        if (it->first.IsScalar())
            keys.insert(it->first.Scalar());
    }
    return keys;
}

void yaml_object::report(
    std::string_view key, std::string found, std::string expected)
{
    YAML::Node const& mapping = node_;
    YAML::Node const node = mapping.IsMap()
                                ? mapping[std::string{key}]
                                : YAML::Node{YAML::NodeType::Undefined};
    add_fault(node, key, std::move(found), std::move(expected));
}

void yaml_object::finish()
{
    if (!node_.IsMap())
        return;
    std::string expected = "one of";
    for (std::string const& key : known_)
        expected += " " + key;
    std::set<std::string> seen;
    for (YAML::const_iterator it = node_.begin(); it != node_.end(); ++it)
    {
        std::string const key =
            it->first.IsScalar() ? it->first.Scalar() : describe(it->first);
        if (!known_.contains(key))
            add_fault(it->first, key, "an unknown key", expected);
        else if (!seen.insert(key).second)
            add_fault(it->first, key, "a repeated key", "each key once");
    }
}

YAML::Node parse_yaml(
    std::string const& text, std::string const& file, diagnostics& faults)
{
    try
    {
        return YAML::Load(text);
    }
    catch (YAML::Exception const& ex)
    {
        faults.push_back(
            {file,
             ex.mark.line + 1,
             ex.mark.column + 1,
             "",
             ex.msg,
             "a YAML document"});
        return YAML::Node{YAML::NodeType::Undefined};
    }
}

bool read_file(std::string const& file, std::string& out, diagnostics& faults)
{
    std::ifstream in{file, std::ios::binary};
    std::ostringstream buf;
    if (in)
        buf << in.rdbuf();
    if (!in || buf.str().size() > max_file_bytes)
    {
        faults.push_back(
            {file,
             0,
             0,
             "",
             "an unreadable or oversized file",
             "a file of up to 64 MiB"});
        return false;
    }
    out = buf.str();
    return true;
}

} // namespace hornbeamweir
