#pragma once

#include <hornbeamweir/relay/relay_core.hpp>

#include <deque>
#include <map>
#include <memory>
#include <vector>

namespace test
{

/// \brief Entries in virtual time that relay streams to a lock-step group,
/// which fails as a whole and forms again.
/// \remarks Counts what arrives at the replicas. A failed group stalls first,
/// then breaks its streams and rejects requests until it is open again.
class retry_simulation
{
public:
    struct options
    {
        std::size_t entries = 5;
        std::size_t replicas = 16;
        double requests_per_second = 76;
        hornbeamweir::retry_limits limits{0.2, std::chrono::seconds{10}, 92};
        std::uint64_t seed = 1;
    };

    /// \brief Retries that arrived within one window, and how many may.
    struct window
    {
        hornbeamweir::time_point start{};
        std::size_t retries = 0;
        double allowed = 0;
        [[nodiscard]] double excess() const noexcept
        {
            return static_cast<double>(retries) - allowed;
        }
    };

    explicit retry_simulation(options const& chosen);

    /// \brief Lets the group stall for 1.5 s and reject requests after that.
    /// \param down Time until it is open again.
    void fail_group(hornbeamweir::duration down);
    /// \brief Restarts an entry, which forgets everything.
    void restart(std::size_t entry);
    /// \brief Cuts an entry off from the others, or connects it again.
    void set_cut(std::size_t entry, bool cut) { cut_[entry] = cut; }
    /// \brief Sets the part of the callers that use an entry, relative to the
    /// weights of the others.
    void set_weight(std::size_t entry, double weight)
    {
        weights_[entry] = weight;
    }
    /// \brief Advances the time in steps of 10 ms.
    void run(hornbeamweir::duration time);

    /// \returns The window with the most retries over what is allowed.
    [[nodiscard]] window worst_window() const;
    [[nodiscard]] std::size_t retries() const noexcept
    {
        return retries_.size();
    }

private:
    struct attempt_state
    {
        std::size_t entry = 0;
        hornbeamweir::exchange_id exchange = 0;
        std::uint32_t attempt = 0;
        hornbeamweir::backend_server_id target;
        hornbeamweir::time_point began{};
        std::uint64_t next_event = 1;
        bool has_begun = false;
    };

    [[nodiscard]] std::unique_ptr<hornbeamweir::relay::relay_core>
    make_entry(std::size_t number);
    void step();
    void send_requests();
    void advance_group();
    void advance(attempt_state it);
    void end_stall();
    void reject(attempt_state const& it);
    void exchange_reports();
    void apply(std::size_t entry, hornbeamweir::relay::actions const& decided);
    void on_arrival(attempt_state const& it);
    [[nodiscard]] std::size_t
    requests_within(hornbeamweir::time_point start) const;

    options options_;
    hornbeamweir::null_event_log log_;
    hornbeamweir::metrics_registry metrics_;
    hornbeamweir::random_source random_;
    hornbeamweir::route_configuration configuration_;
    std::map<hornbeamweir::backend_server_id, hornbeamweir::replica> replicas_;
    std::vector<std::unique_ptr<hornbeamweir::relay::relay_core>> entries_;
    std::vector<double> weights_;
    std::vector<bool> cut_;
    std::vector<attempt_state> attempts_;
    std::map<hornbeamweir::exchange_id, std::uint32_t> arrivals_;
    std::vector<hornbeamweir::time_point> requests_;
    std::vector<hornbeamweir::time_point> retries_;
    hornbeamweir::time_point now_{std::chrono::seconds{100}};
    hornbeamweir::time_point stalled_until_{};
    hornbeamweir::time_point closed_until_{};
    hornbeamweir::time_point reported_at_{};
    hornbeamweir::exchange_id last_exchange_ = 0;
    double due_requests_ = 0;
};

} // namespace test
