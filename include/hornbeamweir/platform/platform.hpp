#pragma once

#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/platform/store_position.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief A value with the revisions at which it was created and last written.
struct stored_value
{
    std::string value;
    std::int64_t create_revision = 0;
    std::int64_t modify_revision = 0;

    [[nodiscard]] friend bool
    operator==(stored_value const&, stored_value const&) = default;
};

/// \brief Keys with their values, and the store's revision at the time of the
/// read.
struct range_reply
{
    std::map<std::string, stored_value> values;
    std::int64_t revision = 0;
    /// Era of the revisions; see store_position.
    std::uint64_t era = 0;

    [[nodiscard]] store_position position() const noexcept
    {
        return {era, revision};
    }
    [[nodiscard]] friend bool
    operator==(range_reply const&, range_reply const&) = default;
};

/// \brief Condition of a transaction: the revision at which a key was last
/// written; 0 means that the key is absent.
struct key_condition
{
    std::string key;
    std::int64_t modify_revision = 0;

    [[nodiscard]] friend bool
    operator==(key_condition const&, key_condition const&) = default;
};

/// \brief Write of a key; std::nullopt as the value deletes the key.
struct key_write
{
    std::string key;
    std::optional<std::string> value;
    /// Lease whose expiry deletes the key; 0 for none.
    std::int64_t lease = 0;

    [[nodiscard]] friend bool
    operator==(key_write const&, key_write const&) = default;
};

/// \brief Writes that are applied atomically if all conditions hold.
struct transaction
{
    std::vector<key_condition> conditions;
    std::vector<key_write> writes;
    /// Keys that are read if any condition does not hold.
    std::vector<std::string> reads_on_failure;

    [[nodiscard]] friend bool
    operator==(transaction const&, transaction const&) = default;
};

struct transaction_reply
{
    bool succeeded = false;
    std::int64_t revision = 0;
    /// Values of reads_on_failure.
    std::map<std::string, stored_value> values;
    /// Era of the revisions; see store_position.
    std::uint64_t era = 0;

    [[nodiscard]] friend bool
    operator==(transaction_reply const&, transaction_reply const&) = default;
};

struct watch_event
{
    std::string key;
    /// std::nullopt if the key was deleted or its lease expired.
    std::optional<stored_value> value;

    [[nodiscard]] friend bool
    operator==(watch_event const&, watch_event const&) = default;
};

/// \brief Owns a watch; its destruction ends the watch.
class watch_handle
{
public:
    watch_handle() = default;
    watch_handle(watch_handle const&) = delete;
    watch_handle& operator=(watch_handle const&) = delete;
    virtual ~watch_handle() = default;
};

/// \brief Interface to the platform's key-value service.
/// \remarks Handlers are called asynchronously, never inside the call.
/// platform_unavailable means that nothing was written;
/// platform_outcome_unknown means that a write may have taken effect.
class platform
{
public:
    template <typename T>
    using handler = std::function<void(result<T>)>;

    platform() = default;
    platform(platform const&) = delete;
    platform& operator=(platform const&) = delete;
    virtual ~platform() = default;

    /// \returns The newest era that the service has stated in a reply; 0 if it
    /// states none. See store_position.
    [[nodiscard]] virtual std::uint64_t era() const noexcept { return 0; }

    /// \brief Reads all keys with a prefix.
    virtual void read_prefix(std::string prefix, handler<range_reply> done) = 0;

    /// \brief Reads all keys with a prefix as they are now or were some seconds
    /// ago, which costs the service less where it makes a difference.
    virtual void
    read_prefix_recent(std::string prefix, handler<range_reply> done)
    {
        read_prefix(std::move(prefix), std::move(done));
    }

    /// \brief Reads one key; the reply has no value if it is absent.
    virtual void read(std::string key, handler<range_reply> done) = 0;

    /// \brief Commits a transaction; a failed condition is not an error, but a
    /// reply that did not succeed.
    virtual void
    commit(transaction request, handler<transaction_reply> done) = 0;

    /// \brief Grants a lease; the handler receives its id.
    virtual void
    grant_lease(duration time_to_live, handler<std::int64_t> done) = 0;

    /// \brief Renews a lease; the handler receives its remaining time.
    /// \remarks platform_refused means that the lease has expired.
    virtual void keep_alive(std::int64_t lease, handler<duration> done) = 0;

    /// \brief Watches all keys with a prefix.
    /// \param from First revision whose changes are reported.
    /// \param changed Receives the events of one revision or more.
    /// \param ended Called once when the watch fails; it is not restarted.
    [[nodiscard]] virtual std::unique_ptr<watch_handle> watch_prefix(
        std::string prefix,
        std::int64_t from,
        std::function<void(std::vector<watch_event>)> changed,
        std::function<void(error)> ended) = 0;
};

} // namespace hornbeamweir
