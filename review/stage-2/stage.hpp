#pragma once

#include <boost/json.hpp>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <sys/types.h>
#include <thread>
#include <vector>

/// \file
/// \brief What the scripts of this review share: stand-ins of the platform's
/// store and of replicas, and the entry as a process of its own.
namespace stage
{

using std::chrono::milliseconds;
using time_point = std::chrono::steady_clock::time_point;

/// \brief A message, with its header names in lower case.
struct message
{
    /// Request line or status line.
    std::string first_line;
    std::map<std::string, std::string> headers;
    std::string body;

    [[nodiscard]] std::string header(std::string const& name) const;
    /// \returns The status of a response.
    [[nodiscard]] int status() const;
    /// \returns The target of a request.
    [[nodiscard]] std::string target() const;
};

/// \brief A connected socket; blocking, closed by its destructor.
class connection
{
public:
    explicit connection(int fd) noexcept
        : fd_{fd}
    {
    }
    connection(connection const&) = delete;
    connection& operator=(connection const&) = delete;
    ~connection();

    /// \brief Connects to an address.
    /// \param receive_buffer Size of the kernel's receive buffer; 0 for the
    /// default.
    /// \returns Null if the connection was refused.
    [[nodiscard]] static std::unique_ptr<connection>
    to(std::string const& address, int receive_buffer = 0);

    /// \returns False if the peer has closed the connection.
    bool write(std::string const& bytes);
    /// \returns Empty at the end of the connection, or after the time limit.
    [[nodiscard]] std::string read_some(std::size_t max, milliseconds limit);
    /// \brief Reads a message with a Content-Length or without a body.
    [[nodiscard]] std::optional<message> read(milliseconds limit);

private:
    int fd_;
    std::string buffer_;
};

/// \brief Accepts connections on a loopback address; a thread for each.
class server
{
public:
    using handler = std::function<void(connection&)>;

    server(std::string const& ip, handler handle);

    [[nodiscard]] std::string const& address() const noexcept
    {
        return address_;
    }

private:
    handler handle_;
    std::string address_;
};

/// \brief Stand-in of the platform's store, as PROTOCOL.md describes it.
class store
{
public:
    explicit store(std::string const& ip);

    void put(std::string const& key, std::string const& value);
    [[nodiscard]] std::string const& address() const noexcept
    {
        return server_.address();
    }

private:
    using call_result = std::pair<int, boost::json::object>;

    void serve(connection& caller);
    [[nodiscard]] call_result call(message const& request);
    [[nodiscard]] call_result
    watch(std::map<std::string, std::string> const& query);
    [[nodiscard]] call_result commit(boost::json::object const& request);
    [[nodiscard]] call_result grant(boost::json::object const& request);
    [[nodiscard]] call_result renew(std::int64_t lease);
    void write(std::string const& key, std::string encoded, std::int64_t lease);
    void remove(std::string const& key);
    void expire();

    struct lease_state
    {
        time_point ends{};
        milliseconds time_to_live{};
    };

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, boost::json::object> items_;
    std::vector<boost::json::object> history_;
    std::map<std::int64_t, lease_state> leases_;
    std::int64_t revision_ = 100;
    std::int64_t last_lease_ = 1000;
    server server_;
};

/// \brief Stand-in of a replica of a plain service.
class replica
{
public:
    /// \param answer_bytes Size of an answer's body for a request.
    replica(
        std::string id,
        std::string service,
        std::string const& ip,
        std::function<std::size_t(message const&)> answer_bytes);

    [[nodiscard]] std::string const& id() const noexcept { return id_; }
    /// \returns Its entry in the store.
    [[nodiscard]] std::string registration() const;
    /// \brief Whether it has run a request.
    [[nodiscard]] bool has_run(std::string const& request);

private:
    void serve(connection& caller);

    std::string id_;
    std::string service_;
    std::function<std::size_t(message const&)> answer_bytes_;
    std::mutex mutex_;
    std::set<std::string> run_;
    server server_;
};

/// \brief A program of the deploy file as a process, with the settings that its
/// template gives.
class program
{
public:
    using values = std::vector<std::pair<std::string, std::string>>;

    /// \param role Name of the role in the deploy file.
    /// \param fields Values of the template's fields that belong to the role.
    program(
        std::string const& folder,
        std::string const& role,
        std::string const& name,
        std::string const& ip,
        std::string const& store_address,
        values const& fields);
    program(program const&) = delete;
    program& operator=(program const&) = delete;
    /// Kills the process if it still runs.
    ~program();

    void send_signal(int number) const;
    /// \returns The memory that the process has in use, in bytes.
    [[nodiscard]] std::size_t resident_bytes() const;
    /// \returns Whether the process has ended by the time limit.
    [[nodiscard]] bool wait_end(milliseconds limit);

private:
    pid_t pid_ = 0;
    bool ended_ = false;
};

/// \brief The settings of entries that differ between the sites.
struct site
{
    std::string retry_allowance;
    std::string memory_mb;
    std::string descriptors;
};

inline site const tanabe_restock{"94", "260", "4100"};
inline site const kushiro_kiroku_grown{"128", "512", "8192"};

/// \brief An entry, as a process.
class entry
{
public:
    entry(
        std::string const& folder,
        std::string const& ip,
        std::string const& store_address,
        site const& on = tanabe_restock);

    /// \brief Waits until it reports that it is ready.
    [[nodiscard]] bool wait_ready();
    void send_signal(int number) const { process_.send_signal(number); }
    [[nodiscard]] std::size_t resident_bytes() const
    {
        return process_.resident_bytes();
    }
    [[nodiscard]] bool wait_end(milliseconds limit)
    {
        return process_.wait_end(limit);
    }
    [[nodiscard]] std::string const& callers() const noexcept
    {
        return callers_;
    }

private:
    std::string callers_;
    std::string readiness_;
    program process_;
};

/// \brief Writes lines with the time since its start to a file; thread-safe.
class record
{
public:
    explicit record(std::string const& path)
        : out_{path}
    {
    }

    void line(std::string const& text);

private:
    std::mutex mutex_;
    std::ofstream out_;
    time_point started_ = std::chrono::steady_clock::now();
};

/// \returns A loopback IP address for one process.
[[nodiscard]] std::string loopback_ip(unsigned number);

/// \brief A configuration with routes /once/ (unsafe) and /read/ (safe) of the
/// host h.example to the service "plain".
[[nodiscard]] std::string
configuration(int version, std::size_t max_body_bytes, int timeout_ms = 20'000);

/// \returns A request, whole.
[[nodiscard]] std::string request(
    std::string const& path,
    std::string const& id,
    std::string const& body,
    int deadline_ms);

/// \brief Whether the disruption is wanted: not with TROUBLE=0.
[[nodiscard]] bool has_trouble();

enum class outcome
{
    held = 0,
    broken = 1,
    not_run = 2
};

} // namespace stage
