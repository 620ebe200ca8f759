#pragma once

#include <hornbeamweir/core/identifier.hpp>

#include <deque>
#include <string>
#include <vector>

namespace hornbeamweir
{

/// \brief Bounded log of the most recent decisions, which explains how a
/// request was routed and ended.
class decision_history
{
public:
    /// \param capacity Maximum number of lines; the oldest are evicted first.
    explicit decision_history(std::size_t capacity) noexcept;

    void add(request_id id, std::string line);

    /// \returns The request's lines that are still kept, oldest first.
    [[nodiscard]] std::vector<std::string> find(request_id const& id) const;

private:
    struct record
    {
        request_id id;
        std::string line;
    };

    std::size_t capacity_;
    std::deque<record> records_;
};

} // namespace hornbeamweir
