#pragma once

#include "process.hpp"
#include "record.hpp"
#include "store.hpp"

#include <set>

namespace review
{

/// \brief Configuration of one route to one plain service, "desk".
/// \param keys API keys by tenant; none if empty.
[[nodiscard]] std::string plain_configuration(
    int version, std::map<std::string, std::string> const& keys = {});

/// \brief Stand-in for a replica of "desk", which registers itself.
class plain_replica
{
public:
    plain_replica(
        std::string id, std::string zone, store& registry, record& out);
    ~plain_replica();
    plain_replica(plain_replica const&) = delete;
    plain_replica& operator=(plain_replica const&) = delete;

    /// \returns Number of requests that were run since a time.
    [[nodiscard]] int runs_since(std::chrono::steady_clock::time_point time);
    /// \brief Whether a request was run here.
    [[nodiscard]] bool has_run(std::string const& id);

private:
    void beat();
    void on_request(connection& peer, message const& request);

    std::string id_;
    std::string zone_;
    store& registry_;
    record& out_;
    std::atomic<bool> stopped_{false};
    int sequence_ = 0;
    std::mutex mutex_;
    std::vector<std::chrono::steady_clock::time_point> runs_;
    std::set<std::string> ids_;
    server server_;
    std::thread beats_;
};

/// \brief An entry of the project as a separate process.
class entry
{
public:
    /// \param folder Existing folder for its settings and its log.
    entry(
        std::string const& name,
        std::string const& zone,
        std::string const& store_address,
        std::string const& folder);

    [[nodiscard]] process& program() { return *program_; }
    [[nodiscard]] int callers_port() const noexcept { return callers_; }
    /// \brief Throws if it takes longer than 10 s.
    void wait_until_ready() const;

private:
    [[nodiscard]] bool is_ready() const;

    int callers_ = free_port();
    int readiness_ = free_port();
    std::unique_ptr<process> program_;
};

/// \brief Sends a request each 50 ms, on a kept connection.
class plain_client
{
public:
    struct sent_request
    {
        std::string id;
        std::chrono::steady_clock::time_point at;
    };

    /// \param name Begins the ids of its requests.
    /// \param key API key; none if empty.
    plain_client(std::string name, int port, std::string key, record& out);
    ~plain_client();
    plain_client(plain_client const&) = delete;
    plain_client& operator=(plain_client const&) = delete;

    [[nodiscard]] std::vector<sent_request> sent();

private:
    void run();

    std::string name_;
    int port_;
    std::string key_;
    record& out_;
    std::atomic<bool> stopped_{false};
    std::mutex mutex_;
    std::vector<sent_request> sent_;
    std::thread loop_;
};

} // namespace review
