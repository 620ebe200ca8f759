#pragma once

#include "http.hpp"

#include <boost/json/object.hpp>

#include <chrono>
#include <condition_variable>

namespace review
{

/// \brief Stand-in for the platform's metadata store, with the calls that the
/// users' pages describe. It loses nothing and answers at once.
class store
{
public:
    store();

    [[nodiscard]] std::string address() const { return server_.address(); }

    /// \brief Writes a value as the operator or a replica does.
    void put(std::string const& key, std::string const& value);
    void remove(std::string const& key);
    /// \brief Goes down: open calls and new ones end without an answer.
    void go_away();
    /// \brief Comes back from a copy. What was written since is gone, leases
    /// too; revisions go back, and are given out again.
    /// \param age Of the copy, at the time of the call.
    /// \returns By how much the revision went back.
    std::int64_t come_back(std::chrono::milliseconds age);
    /// \brief Whether it can be reached.
    [[nodiscard]] bool is_up();
    /// \returns Empty if there is no such key.
    [[nodiscard]] std::string value_of(std::string const& key);

private:
    using clock = std::chrono::steady_clock;

    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct change
    {
        std::int64_t revision = 0;
        std::string key;
        std::optional<item> now;
        clock::time_point at;
    };
    struct lease
    {
        clock::time_point ends;
        std::chrono::milliseconds time_to_live{};
        clock::time_point granted;
    };
    struct reply
    {
        /// 0 if the connection ends without an answer.
        unsigned status = 0;
        boost::json::object body;
    };

    [[nodiscard]] std::int64_t era();
    [[nodiscard]] reply on_call(message const& request);
    [[nodiscard]] reply range(std::string const& target) const;
    [[nodiscard]] reply
    watch(std::string const& target, std::unique_lock<std::mutex>& lock);
    [[nodiscard]] reply commit(std::string const& body);
    [[nodiscard]] reply keep(std::int64_t id);
    void write(
        std::string const& key,
        std::optional<std::string> const& value,
        std::int64_t lease);
    void expire();
    static boost::json::object to_json(std::string const& key, item const& it);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<std::string, item> items_;
    std::vector<change> history_;
    std::map<std::int64_t, lease> leases_;
    std::int64_t revision_ = 1;
    std::int64_t last_lease_ = 0;
    bool away_ = false;
    /// Rises by one each time that the store comes back from a copy.
    std::int64_t era_ = 1;
    server server_;
};

} // namespace review
