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
/// \remarks The rate of each customer is limited by a token bucket.
class admission_controller
{
public:
    /// \brief Admits or rejects a request.
    /// \param settings The customer and its limits over all entries.
    /// \param share Fraction of the limits that this entry may use.
    /// \param equal_share Fraction that this entry would have if the limits
    /// were divided equally; the burst is not reduced below it.
    /// \returns An error with concurrency_limited or rate_limited, and the time
    /// after which to retry.
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
    struct customer_state
    {
        /// Content of the token bucket at updated_at.
        double tokens = 0;
        time_point updated_at{};
        std::uint32_t in_flight = 0;
        /// Whether the token bucket was filled for the first request.
        bool initialized = false;
        /// Exponential moving average over the customer's requests.
        duration mean_service_time = std::chrono::seconds{1};
        retry_after_schedule retry_schedule;
    };

    std::map<customer_id, customer_state> customers_;
};

} // namespace hornbeamweir
