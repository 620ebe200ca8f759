#pragma once

#include <hornbeamweir/platform/platform.hpp>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace standin
{

using hornbeamweir::duration;
using hornbeamweir::stored_value;
using hornbeamweir::time_point;

/// \brief Key-value store with revisions and leases, modelled on etcd.
class key_value_store
{
public:
    struct change
    {
        std::string key;
        /// Empty if the key was deleted.
        std::optional<stored_value> value;
        std::int64_t revision = 0;
    };

    [[nodiscard]] std::map<std::string, stored_value>
    range(std::string const& key, std::string const& end) const;

    /// \brief Applies all writes if all conditions hold.
    [[nodiscard]] bool apply(hornbeamweir::transaction const& request);

    [[nodiscard]] std::int64_t grant(duration time_to_live, time_point now);

    /// \brief Renews a lease.
    /// \returns Its time to live; 0 if it has expired.
    [[nodiscard]] duration renew(std::int64_t lease, time_point now);

    /// \brief Deletes the keys of expired leases.
    void expire(time_point now);

    [[nodiscard]] std::int64_t revision() const noexcept { return revision_; }

    /// \brief Returns the changes at or after a revision.
    [[nodiscard]] std::vector<change> since(std::int64_t revision) const;

private:
    struct lease
    {
        duration time_to_live{};
        time_point expires_at{};
    };

    void put(std::string const& key, std::string const& value, std::int64_t id);
    void erase(std::string const& key);

    std::int64_t revision_ = 1;
    std::int64_t next_lease_ = 1000;
    std::map<std::string, stored_value> values_;
    std::map<std::string, std::int64_t> lease_of_;
    std::map<std::int64_t, lease> leases_;
    std::vector<change> changes_;
};

} // namespace standin
