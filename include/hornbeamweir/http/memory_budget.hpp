#pragma once

#include <cstddef>
#include <cstdint>
#include <memory>

namespace hornbeamweir
{

/// \brief Counts the bytes that a process holds for its peers, against a limit.
/// \remarks Not thread-safe.
class memory_budget
{
public:
    /// Holdings above this size may use only a part of the limit, so that
    /// ordinary requests find room beside large ones.
    static constexpr std::size_t large_holding = std::size_t{64} * 1024;

    /// \param limit Maximum number of bytes.
    explicit memory_budget(std::size_t limit) noexcept
        : limit_{limit}
    {
    }

    /// \brief Whether a holding of some size can become larger.
    [[nodiscard]] bool
    fits(std::size_t held, std::size_t wanted) const noexcept;
    /// \brief Whether so much is held that no peer should be served ahead of
    /// what it reads.
    [[nodiscard]] bool is_tight() const noexcept { return used_ > limit_ / 2; }

    void replace(std::size_t before, std::size_t after) noexcept;

    [[nodiscard]] std::size_t used() const noexcept { return used_; }
    [[nodiscard]] std::size_t limit() const noexcept { return limit_; }

private:
    std::size_t limit_;
    std::size_t used_ = 0;
};

/// \brief The bytes that one connection holds, counted in a budget as long as
/// the object lives.
class memory_charge
{
public:
    /// \param budget Null for no limit.
    explicit memory_charge(std::shared_ptr<memory_budget> budget) noexcept
        : budget_{std::move(budget)}
    {
    }
    memory_charge(memory_charge const&) = delete;
    memory_charge& operator=(memory_charge const&) = delete;
    ~memory_charge() { set(0); }

    /// \brief Sets the number of bytes, even beyond the limit.
    void set(std::size_t bytes) noexcept;
    /// \brief Sets the number of bytes, if the limit permits it.
    /// \returns Whether it does; always true for a smaller number.
    [[nodiscard]] bool try_set(std::size_t bytes) noexcept;

    [[nodiscard]] std::size_t bytes() const noexcept { return bytes_; }

private:
    std::shared_ptr<memory_budget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace hornbeamweir
