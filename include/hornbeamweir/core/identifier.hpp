#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace hornbeamweir
{

/// \brief Strongly typed name; names of different kinds of objects do not
/// convert into each other.
template <typename Tag>
class identifier
{
public:
    identifier() = default;

    explicit identifier(std::string value) noexcept
        : value_{std::move(value)}
    {
    }

    [[nodiscard]] std::string const& str() const noexcept { return value_; }
    [[nodiscard]] bool empty() const noexcept { return value_.empty(); }

    [[nodiscard]] friend bool
    operator==(identifier const&, identifier const&) = default;
    [[nodiscard]] friend std::strong_ordering
    operator<=>(identifier const&, identifier const&) = default;

    friend std::ostream& operator<<(std::ostream& out, identifier const& id)
    {
        return out << id.value_;
    }

private:
    std::string value_;
};

using model_group_id = identifier<struct model_group_tag>;
using customer_id = identifier<struct customer_tag>;
using backend_server_id = identifier<struct backend_server_tag>;
using placement_rule_id = identifier<struct placement_rule_tag>;
using vm_id = identifier<struct vm_tag>;
using data_centre_id = identifier<struct data_centre_tag>;
using request_id = identifier<struct request_tag>;
using process_name = identifier<struct process_tag>;

} // namespace hornbeamweir

template <typename Tag>
struct std::hash<hornbeamweir::identifier<Tag>>
{
    [[nodiscard]] std::size_t
    operator()(hornbeamweir::identifier<Tag> const& id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
