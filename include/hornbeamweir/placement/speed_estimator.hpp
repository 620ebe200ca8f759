#pragma once

#include <array>
#include <cstddef>
#include <span>
#include <vector>

namespace hornbeamweir
{

/// \brief Estimates the speed of each rank by a median filter with a dead band.
class speed_estimator
{
public:
    explicit speed_estimator(std::size_t ranks = 0);

    /// \brief Updates the estimates with the reported speeds.
    /// \param speeds Relative speed of each rank; 1 is nominal. Ignored if the
    /// size is wrong or a value is not positive.
    /// \returns Whether the estimated speed of a rank has changed.
    bool update(std::span<double const> speeds);

    [[nodiscard]] std::vector<double> const& speeds() const noexcept;

private:
    static constexpr std::size_t window = 3;

    std::vector<double> speeds_;
    std::vector<std::array<double, window>> recent_;
    std::size_t next_ = 0;
};

} // namespace hornbeamweir
