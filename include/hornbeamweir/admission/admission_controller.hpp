#pragma once

#include <hornbeamweir/admission/return_schedule.hpp>
#include <hornbeamweir/configuration/objects.hpp>
#include <hornbeamweir/core/error.hpp>
#include <hornbeamweir/core/time.hpp>

#include <map>
#include <optional>

namespace hornbeamweir
{

/// \brief A refusal, with the time after which a retry makes sense.
struct admission_refusal
{
    result_code code = result_code::rate_limited;
    duration retry_after{};

    [[nodiscard]] friend bool
    operator==(admission_refusal const&, admission_refusal const&) = default;
};

/// \brief Holds customers to their rate and concurrency at this entry.
class admission_controller
{
public:
    /// \brief Admits a request, or tells when to come back.
    /// \param share Part of the customer's limits that this entry may use.
    /// \param even_share Part that it would have without demand elsewhere;
    /// bounds the burst from below.
    [[nodiscard]] tl::expected<void, admission_refusal>
    admit(customer const& who, double share, double even_share, time_point now);

    /// \brief Notes that an admitted request has ended, or was refused later.
    /// \param served Time that it took, if it was answered.
    void release(customer_id const& who, std::optional<duration> served);

private:
    struct bucket
    {
        double tokens = 0;
        time_point updated{};
        std::uint32_t in_flight = 0;
        bool started = false;
        /// Smoothed time that the customer's requests take.
        duration usual_time = std::chrono::seconds{1};
        return_schedule returns;
    };

    std::map<customer_id, bucket> buckets_;
};

} // namespace hornbeamweir
