#pragma once

#include <hornbeamweir/http/http_exchange.hpp>

#include <cstdint>
#include <list>
#include <memory>
#include <string>
#include <vector>

namespace standin
{

/// \brief A generation in progress.
struct generation
{
    std::shared_ptr<hornbeamweir::http_exchange> exchange;
    std::string model;
    std::uint32_t next_token = 0;
    std::uint32_t max_tokens = 16;
    bool streamed = false;
    bool closed = false;
};

/// \brief Ranks that advance in lock step; each step produces one token for
/// every generation on every rank.
class lock_step_group
{
public:
    explicit lock_step_group(std::uint32_t ranks);

    void add(std::uint32_t rank, std::shared_ptr<generation> item);

    /// \brief Advances all ranks by one step.
    void step();

    [[nodiscard]] std::size_t in_flight(std::uint32_t rank) const;
    [[nodiscard]] std::size_t in_flight() const;
    [[nodiscard]] std::uint64_t steps() const noexcept { return steps_; }

private:
    void advance(generation& item);

    std::vector<std::list<std::shared_ptr<generation>>> ranks_;
    std::uint64_t steps_ = 0;
};

} // namespace standin
