#pragma once

#include "standins/platform/key_value_store.hpp"

#include <boost/json/object.hpp>

namespace standin
{

/// \file
/// \brief Server side of etcd's JSON gateway.

/// \brief Decoded key and end of a range.
struct key_range
{
    std::string key;
    std::string end;
};

[[nodiscard]] key_range decode_range(boost::json::object const& request);

[[nodiscard]] hornbeamweir::transaction
decode_transaction(boost::json::object const& request);

[[nodiscard]] boost::json::object encode_header(std::int64_t revision);

[[nodiscard]] boost::json::object encode_range(
    std::map<std::string, stored_value> const& values, std::int64_t revision);

[[nodiscard]] boost::json::object
encode_events(std::vector<key_value_store::change> const& changes);

} // namespace standin
