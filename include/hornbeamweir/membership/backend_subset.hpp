#pragma once

#include <hornbeamweir/configuration/configuration.hpp>

#include <set>
#include <span>
#include <vector>

namespace hornbeamweir
{

/// \brief Size of the subset of backend servers to which an entry connects.
struct subset_settings
{
    /// Minimum number of entries that connect to each backend server.
    std::size_t entries_per_server = 3;
    /// Minimum number of backend servers of each target (a model or service) to
    /// which an entry connects.
    std::size_t min_servers_per_target = 4;
    /// Up to this number of backend servers, every entry connects to all.
    std::size_t full_coverage_limit = 128;
};

/// \brief Selects the backend servers to which one entry connects.
/// \remarks Rendezvous hashing in both directions: each backend server is
/// assigned to the entries with the highest weights for it. If this gives an
/// entry too few backend servers of a target, it adds those with the highest
/// weights for itself. All entries compute the same assignment without
/// exchanging messages.
class backend_subset
{
public:
    /// \param self Name of this entry.
    /// \param entries Names of all entries; may include this one.
    backend_subset(
        subset_settings settings,
        process_name const& self,
        std::span<process_name const> entries);

    /// \brief Selects from all backend servers of a configuration.
    /// \returns All of them up to full_coverage_limit, or else the selection of
    /// each target; it includes enough backend servers outside evacuated data
    /// centres.
    [[nodiscard]] std::set<backend_server_id>
    select(configuration const& current) const;

    /// \brief Selects from the backend servers of one target.
    /// \param servers All backend servers of the target; full_coverage_limit
    /// does not apply.
    [[nodiscard]] std::vector<backend_server_id>
    select_from(std::vector<backend_server_id> const& servers) const;

private:
    [[nodiscard]] bool is_among_heaviest_entries(std::uint64_t server) const;

    subset_settings settings_;
    std::uint64_t self_;
    std::vector<std::uint64_t> others_;
};

/// \brief Selects the entries that an entry pings.
/// \returns All other entries if there are few, or else those at distances
/// 1, 2, 4... on a ring ordered by hash.
/// \remarks An update reaches all entries in a number of hops that is
/// logarithmic in the number of entries.
[[nodiscard]] std::vector<process_name>
neighbours(process_name const& self, std::span<process_name const> entries);

/// \brief Whether an entry watches the platform's VM list.
/// \remarks The number of watchers is fixed, so that the load on the platform
/// does not grow with the number of entries.
[[nodiscard]] bool watches_vm_list(
    process_name const& self, std::span<process_name const> entries);

} // namespace hornbeamweir
