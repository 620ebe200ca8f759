#include <hornbeamweir/configuration/object_fields.hpp>
#include <hornbeamweir/configuration/object_json.hpp>

namespace hornbeamweir
{

namespace
{

class json_writer
{
public:
    explicit json_writer(boost::json::object& out) noexcept
        : out_{out}
    {
    }

    template <typename Tag>
    void id(std::string_view key, identifier<Tag> const& value, presence)
    {
        out_[key] = value.str();
    }
    void string(std::string_view key, std::string const& value, presence)
    {
        out_[key] = value;
    }
    void address(std::string_view key, std::string const& value, presence)
    {
        out_[key] = value;
    }
    void flag(std::string_view key, bool value, presence) { out_[key] = value; }
    void number(
        std::string_view key,
        std::uint32_t value,
        bounds<std::uint64_t>,
        presence)
    {
        out_[key] = static_cast<std::int64_t>(value);
    }
    void real(std::string_view key, double value, bounds<double>, presence)
    {
        out_[key] = value;
    }
    template <typename Enum>
    void choice(std::string_view key, Enum value, presence)
    {
        out_[key] = name_of(value);
    }
    void strings(
        std::string_view key, std::vector<std::string> const& value, presence)
    {
        boost::json::array array;
        for (std::string const& item : value)
            array.emplace_back(item);
        out_[key] = std::move(array);
    }

private:
    boost::json::object& out_;
};

class json_reader
{
public:
    explicit json_reader(boost::json::object const& in) noexcept
        : in_{in}
    {
    }

    template <typename Tag>
    void id(std::string_view key, identifier<Tag>& out, presence need)
    {
        std::string value = out.str();
        string(key, value, need);
        out = identifier<Tag>{std::move(value)};
    }
    void string(std::string_view key, std::string& out, presence)
    {
        if (boost::json::value const* const it = find(key))
        {
            if (it->is_string())
                out = std::string{it->get_string()};
            else
                fail(key, "a string");
        }
    }
    void address(std::string_view key, std::string& out, presence need)
    {
        string(key, out, need);
    }
    void flag(std::string_view key, bool& out, presence)
    {
        if (boost::json::value const* const it = find(key))
        {
            if (it->is_bool())
                out = it->get_bool();
            else
                fail(key, "a boolean");
        }
    }
    void number(
        std::string_view key,
        std::uint32_t& out,
        bounds<std::uint64_t> range,
        presence)
    {
        boost::json::value const* const it = find(key);
        if (it == nullptr)
            return;
        boost::system::error_code ec;
        std::uint64_t const value = it->to_number<std::uint64_t>(ec);
        if (ec || value < range.low || value > range.high)
            fail(key, "a number in range");
        else
            out = static_cast<std::uint32_t>(value);
    }
    void real(std::string_view key, double& out, bounds<double>, presence)
    {
        boost::json::value const* const it = find(key);
        if (it == nullptr)
            return;
        boost::system::error_code ec;
        double const value = it->to_number<double>(ec);
        if (ec)
            fail(key, "a number");
        else
            out = value;
    }
    template <typename Enum>
    void choice(std::string_view key, Enum& out, presence need)
    {
        std::string value{name_of(out)};
        string(key, value, need);
        if (std::optional<Enum> const it = enum_from_name<Enum>(value))
            out = *it;
        else
            fail(key, "a known name");
    }
    void strings(std::string_view key, std::vector<std::string>& out, presence)
    {
        boost::json::value const* const it = find(key);
        if (it == nullptr)
            return;
        if (!it->is_array())
        {
            fail(key, "an array");
            return;
        }
        out.clear();
        for (boost::json::value const& item : it->get_array())
        {
            if (item.is_string())
                out.emplace_back(item.get_string());
            else
                fail(key, "strings");
        }
    }

    [[nodiscard]] result<void> outcome() const
    {
        if (fault_.empty())
            return {};
        return failure(result_code::part_corrupt, fault_);
    }

private:
    [[nodiscard]] boost::json::value const* find(std::string_view key) const
    {
        return in_.if_contains(key);
    }
    void fail(std::string_view key, std::string_view expected)
    {
        fault_ = std::string{key} + ": expected " + std::string{expected};
    }

    boost::json::object const& in_;
    std::string fault_;
};

template <typename T>
boost::json::object write(T object)
{
    boost::json::object out;
    json_writer writer{out};
    visit_fields(writer, object);
    return out;
}

template <typename T>
result<void> read(boost::json::value const& value, T& object)
{
    if (!value.is_object())
        return failure(result_code::part_corrupt, "expected an object");
    json_reader reader{value.get_object()};
    visit_fields(reader, object);
    return reader.outcome();
}

} // namespace

boost::json::object to_json(model_group const& object)
{
    return write(object);
}
boost::json::object to_json(customer const& object)
{
    return write(object);
}
boost::json::object to_json(backend_server const& object)
{
    return write(object);
}
boost::json::object to_json(placement_rule const& object)
{
    return write(object);
}
boost::json::object to_json(data_centre const& object)
{
    return write(object);
}

result<void> from_json(boost::json::value const& value, model_group& object)
{
    return read(value, object);
}
result<void> from_json(boost::json::value const& value, customer& object)
{
    return read(value, object);
}
result<void> from_json(boost::json::value const& value, backend_server& object)
{
    return read(value, object);
}
result<void> from_json(boost::json::value const& value, placement_rule& object)
{
    return read(value, object);
}
result<void> from_json(boost::json::value const& value, data_centre& object)
{
    return read(value, object);
}

} // namespace hornbeamweir
