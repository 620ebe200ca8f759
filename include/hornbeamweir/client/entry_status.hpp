#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/core/time.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Fetches a JSON document from an admin endpoint; blocks until the
/// response is complete.
/// \param address IP address with port.
/// \returns peer_unreachable if there is no complete JSON response in time.
[[nodiscard]] result<boost::json::value> fetch_json(
    boost::asio::io_context& context,
    std::string const& address,
    std::string const& target);

/// \brief Status that one entry reports about itself and its agents.
struct entry_report
{
    std::string address;
    /// Empty if the entry could not be reached.
    std::string process;
    std::uint64_t revision = 0;
    bool ready = false;
    struct agent
    {
        std::string backend_server;
        std::uint64_t revision = 0;
        bool usable = false;
        bool suspect = true;
        bool draining = false;
        std::uint64_t in_flight = 0;
    };
    std::vector<agent> agents;
    /// Data centres that the entry treats as evacuated.
    std::vector<std::string> evacuated;
    /// Why there is no status; empty if the entry could be reached.
    std::string problem;
};

/// \brief Fetches the status of an entry; a failure is stored in `problem`.
[[nodiscard]] entry_report
fetch_report(boost::asio::io_context& context, std::string const& address);

/// \brief Returns the processes that have not activated a revision.
/// \remarks Unreachable entries are listed by address; suspect agents are left
/// out.
[[nodiscard]] std::vector<std::string> lagging_processes(
    std::vector<entry_report> const& reports, std::uint64_t revision);

} // namespace hornbeamweir
