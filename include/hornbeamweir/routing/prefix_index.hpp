#pragma once

#include <hornbeamweir/routing/routing_policy.hpp>

#include <list>
#include <unordered_map>

namespace hornbeamweir
{

/// \brief LRU index of the backend servers that recently served a prompt's
/// prefix.
/// \remarks Only a hint: a backend server may have evicted the prefix from its
/// cache since.
class prefix_index
{
public:
    /// \param capacity Maximum number of prefixes.
    explicit prefix_index(std::size_t capacity) noexcept;

    /// \brief Records that a backend server has a prefix cached.
    /// \param prefix 0 (unknown) is ignored.
    void on_served(std::uint64_t prefix, backend_server_id const& id);
    void on_event(cache_event const& event);

    /// \brief Returns the backend servers that may have a prefix cached, the
    /// most recent first.
    [[nodiscard]] std::vector<backend_server_id> const&
    holders(std::uint64_t prefix) const;

    [[nodiscard]] std::size_t size() const noexcept { return records_.size(); }

private:
    struct record
    {
        std::uint64_t prefix = 0;
        std::vector<backend_server_id> holders;
    };

    std::size_t capacity_;
    /// The most recently used prefix first.
    std::list<record> records_;
    std::unordered_map<std::uint64_t, std::list<record>::iterator> index_;
};

/// \brief Returns the index of the preferred candidate for a prefix, which is
/// the same on every entry.
/// \param candidates Must not be empty.
/// \remarks Rendezvous hashing: entries agree without communication, and when
/// a candidate is added or removed, only its own prefixes move.
[[nodiscard]] std::size_t preferred_candidate(
    std::uint64_t prefix, std::span<routing_candidate const> candidates);

} // namespace hornbeamweir
