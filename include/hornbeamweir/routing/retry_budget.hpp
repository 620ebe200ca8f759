#pragma once

namespace hornbeamweir
{

/// \brief Token bucket that limits retries to a fraction of the requests.
class retry_budget
{
public:
    /// \brief Adds the fraction of a token that a new request earns.
    void on_request() noexcept;

    /// \brief Returns whether there is a token left for a retry.
    [[nodiscard]] bool available() const noexcept { return tokens_ >= 1; }

    /// \brief Consumes one token for a retry.
    void take() noexcept;

private:
    static constexpr double tokens_per_request = 0.15;
    static constexpr double capacity = 10;

    double tokens_ = capacity;
};

} // namespace hornbeamweir
