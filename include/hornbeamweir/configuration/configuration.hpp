#pragma once

#include <hornbeamweir/configuration/configuration_part.hpp>
#include <hornbeamweir/configuration/manifest.hpp>

#include <memory>
#include <vector>

namespace hornbeamweir
{

/// \brief One immutable revision of the configuration.
/// \remarks Unchanged parts are shared between revisions.
class configuration
{
public:
    /// \brief The empty configuration of revision 0.
    configuration();

    /// \param parts Parts by their index; null for those that the process does
    /// not hold.
    configuration(
        configuration_head head,
        std::vector<std::shared_ptr<configuration_part const>> parts);

    [[nodiscard]] configuration_head const& head() const noexcept
    {
        return head_;
    }
    [[nodiscard]] std::uint64_t revision() const noexcept
    {
        return head_.revision;
    }

    /// \brief Finds an object by its id.
    /// \returns The object, owned by this revision, or nullptr if it does not
    /// exist or its part is not held.
    [[nodiscard]] model_group const* find(model_group_id const& id) const;
    [[nodiscard]] customer const* find(customer_id const& id) const;
    [[nodiscard]] backend_server const* find(backend_server_id const& id) const;
    [[nodiscard]] placement_rule const* find(placement_rule_id const& id) const;
    [[nodiscard]] data_centre const* find(data_centre_id const& id) const;

    /// \brief Whether a data centre was taken out of service.
    [[nodiscard]] bool is_evacuated(data_centre_id const& id) const;

    /// \brief Calls visit with each part that this process holds.
    template <typename Visit>
    void for_each_part(Visit const& visit) const
    {
        for (std::shared_ptr<configuration_part const> const& part : parts_)
        {
            if (part)
                visit(*part);
        }
    }

    /// \brief Copies the objects of all held parts into one part.
    [[nodiscard]] configuration_part objects() const;

private:
    [[nodiscard]] configuration_part const*
    find_part(std::string_view id) const noexcept;

    configuration_head head_;
    std::vector<std::shared_ptr<configuration_part const>> parts_;
};

/// \brief Content-addressed blobs: encoded manifests and parts by their hashes.
using content_map = std::map<std::string, std::string>;

/// \brief An encoded revision: its head, its manifest and all its parts.
struct encoded_configuration
{
    configuration_head head;
    content_map contents;
};

/// \brief Distributes objects over parts and encodes the parts and their
/// manifest.
[[nodiscard]] encoded_configuration encode_configuration(
    configuration_part const& objects,
    std::uint64_t revision,
    std::string const& note_id);

} // namespace hornbeamweir
