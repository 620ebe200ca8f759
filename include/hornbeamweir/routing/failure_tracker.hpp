#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <map>

namespace hornbeamweir
{

/// \brief Scores backend servers by their recent failures.
/// \remarks Scores decay over time, so that a backend server that no longer
/// receives requests is eventually tried again.
class failure_tracker
{
public:
    void on_succeeded(backend_server_id const& id, time_point now);
    void on_failed(backend_server_id const& id, time_point now);

    /// \brief Returns a score between 0 (no recent failures) and 1.
    [[nodiscard]] double
    score_of(backend_server_id const& id, time_point now) const;

    /// \brief Returns the probability with which a backend server is accepted
    /// into a sample of candidates.
    /// \remarks Never 0, so that the recovery of a backend server is detected.
    [[nodiscard]] double
    sampling_probability(backend_server_id const& id, time_point now) const;

private:
    struct record
    {
        /// Score at the time of the last update.
        double score = 0;
        time_point updated_at;
    };

    std::map<backend_server_id, record> records_;
};

} // namespace hornbeamweir
