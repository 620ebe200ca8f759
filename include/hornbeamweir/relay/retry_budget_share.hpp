#pragma once

#include <hornbeamweir/core/time.hpp>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace hornbeamweir
{

/// \brief Retry budget of a service, shared by all entries.
struct retry_limits
{
    /// Retries allowed per request within the window.
    double ratio = 0.2;
    duration window = std::chrono::seconds{10};
    /// Retries allowed within the window in addition.
    double allowance = 10;

    [[nodiscard]] friend bool
    operator==(retry_limits const&, retry_limits const&) = default;
};

/// \brief The part of a retry budget from which a retry is paid.
enum class retry_source
{
    /// What recent requests of this entry have earned.
    requests,
    /// This entry's part of the allowance.
    allowance
};

/// \brief This entry's share of the retry budget of a service, computed without
/// communication between entries.
/// \remarks Sans-I/O. The budget bounds the retries of all entries that arrive
/// at replicas within any window. A retry is reserved when the attempt before
/// it has failed, and paid when it is sent. Each request earns a part of a
/// retry, which must be spent soon: if callers move to another entry, or a
/// process is replaced, both may spend within one window what was earned in
/// two. The allowance is divided by the number of entries; a process has no
/// part of it until the retries of one that it replaces, which it can't know,
/// are out of the window.
class retry_budget_share
{
public:
    /// \param started_at When this process started.
    retry_budget_share(
        retry_limits const& limits, time_point started_at) noexcept
        : limits_{limits}
        , started_at_{started_at}
    {
    }

    /// \brief Changes the limits; what was spent under the former ones counts.
    void set_limits(retry_limits const& limits) noexcept { limits_ = limits; }

    void on_request(time_point now);

    /// \brief Reserves a retry; on_sent or release must follow.
    /// \param entries Number of entries that share the budget.
    /// \returns What the retry is paid from; empty, without a reservation, if
    /// the budget is exhausted.
    [[nodiscard]] std::optional<retry_source>
    try_reserve(std::size_t entries, time_point now);
    /// \brief Charges a reserved retry that is sent now.
    void on_sent(retry_source source, time_point now);
    /// \brief Ends the reservation of a retry that is not sent.
    void release(retry_source source) noexcept;
    /// \brief Takes back the charge of a retry that can't have arrived.
    void on_not_received(retry_source source, time_point sent_at);

    /// \returns The retries that recent requests have earned and that are not
    /// spent yet.
    [[nodiscard]] double earned(time_point now);
    /// \returns The retries that were paid from the allowance, or are reserved
    /// there.
    [[nodiscard]] std::size_t allowance_used(time_point now);

private:
    struct bucket
    {
        time_point start{};
        double retries = 0;
    };

    void expire(time_point now);
    [[nodiscard]] double allowance(std::size_t entries, time_point now) const;
    /// \returns Retries that one request earns.
    [[nodiscard]] double earned_per_request() const;

    retry_limits limits_;
    time_point started_at_;
    std::deque<bucket> earned_;
    /// Times at which retries were sent that the allowance paid.
    std::deque<time_point> sent_;
    std::size_t reserved_ = 0;
};

} // namespace hornbeamweir
