#pragma once

#include <hornbeamweir/platform/platform.hpp>

#include <boost/json/object.hpp>

#include <string_view>

/// \file
/// \brief Messages of etcd's v3 JSON gateway. Keys and values are base64,
/// 64-bit numbers are decimal strings.

namespace hornbeamweir::etcd
{

[[nodiscard]] boost::json::object encode_range(std::string_view key);
[[nodiscard]] boost::json::object encode_prefix_range(std::string_view prefix);
[[nodiscard]] boost::json::object
encode_transaction(transaction const& request);
[[nodiscard]] boost::json::object
encode_watch(std::string_view prefix, std::int64_t from);

[[nodiscard]] result<range_reply>
decode_range(boost::json::object const& reply);
[[nodiscard]] result<transaction_reply>
decode_transaction(boost::json::object const& reply);
[[nodiscard]] result<std::vector<watch_event>>
decode_watch(boost::json::object const& reply);

/// \brief Reads a number that may be a decimal string; 0 if there is none.
[[nodiscard]] std::int64_t
number_member(boost::json::object const& object, std::string_view key);

/// \brief Returns the exclusive end of the range of keys with a prefix.
[[nodiscard]] std::string end_of_prefix(std::string_view prefix);

} // namespace hornbeamweir::etcd
