#pragma once

#include <hornbeamweir/admission/retry_after_schedule.hpp>
#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/core/time.hpp>

#include <map>
#include <optional>

namespace hornbeamweir
{

/// \brief Why a request is rejected, and when the caller should retry.
struct admission_refusal
{
    result_code code = result_code::rate_limited;
    /// Time after which a retry is likely to be admitted.
    duration retry_after{};

    [[nodiscard]] friend bool
    operator==(admission_refusal const&, admission_refusal const&) = default;
};

/// \brief Enforces the rate and concurrency limits of customers at this entry.
/// \remarks Rates are limited by a token bucket for each customer.
class admission_controller
{
public:
    /// \brief Admits or rejects a request.
    /// \param settings The customer and its limits over all entries.
    /// \param share Fraction of the limits that this entry may use.
    /// \param equal_share Fraction that this entry would have if all entries
    /// had the same demand; the burst is not reduced below it.
    /// \remarks An admitted request counts as in flight until release().
    [[nodiscard]] tl::expected<void, admission_refusal> admit(
        customer const& settings,
        double share,
        double equal_share,
        time_point now);

    /// \brief Ends an admitted request, whether or not it was served.
    /// \param service_time Time that the request took, if it was answered.
    void release(customer_id const& id, std::optional<duration> service_time);

private:
    struct bucket
    {
        double tokens = 0;
        time_point updated{};
        std::uint32_t in_flight = 0;
        /// Whether the bucket was filled for the first request.
        bool initialized = false;
        /// Exponential moving average over the customer's requests.
        duration mean_service_time = std::chrono::seconds{1};
        retry_after_schedule retries;
    };

    std::map<customer_id, bucket> buckets_;
};

} // namespace hornbeamweir
