#pragma once

#include <hornbeamweir/core/time.hpp>
#include <hornbeamweir/idempotency/claim.hpp>
#include <hornbeamweir/platform/platform.hpp>

#include <deque>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace hornbeamweir
{

/// \brief Commits a transaction on the platform; answered by on_commit().
struct ledger_commit
{
    /// Identifies the commit in on_commit().
    std::uint64_t token = 0;
    transaction request;
};

/// \brief Requests a lease from the platform; answered by on_lease().
struct ledger_lease
{
    duration time_to_live{};
};

/// \brief Reports the outcome of a claim.
struct ledger_decision
{
    request_id id;
    /// Hash of the customer and the idempotency key.
    std::string claim;
    claim_outcome outcome;
};

using ledger_action =
    std::variant<ledger_commit, ledger_lease, ledger_decision>;
using ledger_actions = std::vector<ledger_action>;

/// \brief Limits on the platform calls of one ledger.
struct ledger_limits
{
    /// Minimum time between two commits.
    duration commit_interval = std::chrono::milliseconds{20};
    /// Maximum number of commits awaiting a reply.
    std::size_t max_in_flight = 4;
    /// Maximum number of claims and releases in one commit. Each is an
    /// operation of the transaction, and etcd accepts 128 by default.
    std::size_t max_operations = 64;
    /// Maximum number of times that a claim is committed again to find out
    /// whether a commit with a lost reply took effect.
    unsigned max_read_backs = 1;
    /// Pause between calls while the platform is failing.
    duration backoff = std::chrono::milliseconds{200};
    /// Minimum time for which a claim is kept.
    duration retention = std::chrono::hours{2};
    /// Age at which a lease is due for replacement; a lease is used for new
    /// claims up to twice this age.
    duration lease_renewal_age = std::chrono::minutes{1};

    [[nodiscard]] friend bool
    operator==(ledger_limits const&, ledger_limits const&) = default;
};

/// \brief Returns the limits for one entry.
/// \param entries Number of entries, which together stay within the commit rate
/// that is planned for claims on the platform.
[[nodiscard]] ledger_limits make_ledger_limits(std::size_t entries) noexcept;

/// \brief Makes claims durable before execution, with a compare-and-swap for
/// each key and many keys in one transaction.
/// \remarks Sans-I/O: the caller performs the returned actions. Claims expire
/// with their platform lease.
class claim_ledger
{
public:
    explicit claim_ledger(ledger_limits limits = {}) noexcept;

    /// \brief Starts a claim; its ledger_decision is returned by this or a
    /// later call.
    [[nodiscard]] ledger_actions begin(claim_request request, time_point now);

    /// \brief Deletes a claim that has not been and will not be executed.
    [[nodiscard]] ledger_actions
    release(std::string const& claim, std::uint64_t fence, time_point now);

    /// \brief Handles the reply to a ledger_commit.
    /// \param reply The error platform_unavailable means that the commit had no
    /// effect; after any other error it may have taken effect.
    [[nodiscard]] ledger_actions on_commit(
        std::uint64_t token,
        result<transaction_reply> const& reply,
        time_point now);

    /// \brief Handles the reply to a ledger_lease.
    /// \param lease Id of the lease; 0 counts as an error.
    [[nodiscard]] ledger_actions
    on_lease(result<std::int64_t> const& lease, time_point now);

    /// \brief Starts the platform calls that are due; to be called at least
    /// once in each commit_interval.
    [[nodiscard]] ledger_actions on_tick(time_point now);

    /// \brief Number of claims and releases that are not yet complete.
    [[nodiscard]] std::size_t pending() const noexcept;

private:
    /// A claim, or the release of one if it has no request.
    struct operation
    {
        std::string claim;
        std::int64_t expected_revision = 0;
        std::optional<claim_request> request;
        /// Whether an earlier commit may have taken effect.
        bool may_be_committed = false;
        /// Number of failed commits and failed lease requests so far.
        unsigned failed_calls = 0;
    };
    using batch = std::vector<operation>;

    [[nodiscard]] bool failing() const noexcept;
    void flush(ledger_actions& out, time_point now);
    void probe_platform(ledger_actions& out, time_point now);
    void request_lease(ledger_actions& out, time_point now);
    [[nodiscard]] bool lease_usable(time_point now) const noexcept;
    [[nodiscard]] batch take_batch();
    [[nodiscard]] transaction make_transaction(batch const& operations) const;
    void apply_reply(
        ledger_actions& out, operation op, transaction_reply const& reply);
    void on_failed(
        ledger_actions& out,
        batch operations,
        bool may_have_written,
        time_point now);
    void reject_queued(ledger_actions& out);
    void requeue(operation op);

    ledger_limits limits_;
    std::uint64_t next_token_ = 1;
    std::deque<operation> queue_;
    std::map<std::uint64_t, batch> in_flight_;
    time_point next_commit_{};
    /// Sum of the weights of failed calls since the platform's last reply.
    unsigned failure_weight_ = 0;
    std::int64_t lease_id_ = 0;
    time_point lease_started_at_{};
    bool lease_requested_ = false;
    time_point lease_requested_at_{};
};

} // namespace hornbeamweir
