#pragma once

#include <hornbeamweir/core/identifier.hpp>
#include <hornbeamweir/core/time.hpp>

#include <admission.pb.h>
#include <map>
#include <vector>

namespace hornbeamweir
{

/// \brief A message to another entry.
struct outgoing_share_message
{
    process_name to;
    wire::admission_message message;
};

/// \brief Divides the customers' limits between entries by their demand.
/// \remarks Sans-I/O. Each customer's limits have one owner, an entry chosen by
/// rendezvous hashing over the reachable entries. Entries report their demand
/// to the owner, which grants them shares. The owner divides the part of the
/// limit that belongs to the entries it can reach; each unreachable entry is
/// assumed to use its equal share. Without a valid grant, an entry uses its
/// part of the reserved fraction, or its equal share if it can reach no other
/// entry.
class share_exchange
{
public:
    static constexpr duration report_interval = std::chrono::milliseconds{500};
    /// Minimum time between two reports if there is a new customer.
    static constexpr duration urgent_interval = std::chrono::milliseconds{50};
    /// Timeout of an entry's last contact, and lifetime of a grant.
    static constexpr duration validity = std::chrono::milliseconds{1500};
    /// Fraction of each limit that is always divided equally, so that an entry
    /// without reported demand can admit requests.
    static constexpr double reserved_fraction = 0.2;

    /// \param entries All entries, this one included.
    share_exchange(process_name self, std::vector<process_name> entries);

    /// \brief Counts a request as demand of its customer.
    void on_request(customer_id const& id, time_point now);

    /// \brief Records that an entry is reachable.
    void on_entry_alive(process_name const& from, time_point now);

    /// \brief Processes a message of another entry.
    /// \returns The replies to send.
    [[nodiscard]] std::vector<outgoing_share_message> on_message(
        process_name const& from,
        wire::admission_message const& message,
        time_point now);

    /// \brief Reports the demand to the owners when a report is due.
    /// \returns The messages to send.
    [[nodiscard]] std::vector<outgoing_share_message> on_tick(time_point now);

    /// \brief Returns the fraction of a customer's limits that this entry may
    /// use now.
    [[nodiscard]] double share(customer_id const& id, time_point now) const;

    /// \brief Returns the fraction of a limit that each entry would have if it
    /// were divided equally.
    [[nodiscard]] double equal_share() const noexcept;

private:
    struct demand
    {
        /// Smoothed, in requests per second.
        double rate = 0;
        /// Requests since interval_start.
        std::uint64_t arrivals = 0;
        time_point interval_start{};
    };

    struct granted_share
    {
        double fraction = 0;
        time_point received_at{};
    };

    struct reported_demand
    {
        /// In requests per second.
        double rate = 0;
        time_point received_at{};
    };

    [[nodiscard]] bool
    reachable(process_name const& entry, time_point now) const;
    [[nodiscard]] std::size_t count_reachable(time_point now) const;
    /// Returns the entry that owns the limits of a customer.
    [[nodiscard]] process_name
    owner_of(customer_id const& id, time_point now) const;
    /// Records the demand that an entry reports, and returns the grant for it.
    [[nodiscard]] wire::admission_message make_grant(
        process_name const& from,
        wire::demand_report const& report,
        time_point now);
    /// Returns the fraction of a customer's limits that an entry is granted.
    [[nodiscard]] double fraction_of(
        process_name const& entry, customer_id const& id, time_point now) const;
    void apply(wire::share_grant const& grant, time_point now);
    void update_rates(time_point now);
    void remove_expired(time_point now);

    process_name self_;
    std::vector<process_name> entries_;
    std::map<process_name, time_point> last_contact_;
    std::map<customer_id, demand> demands_;
    std::map<customer_id, granted_share> grants_;
    /// For customers whose limits this entry owns: the demand at each entry.
    std::map<customer_id, std::map<process_name, reported_demand>>
        reported_demands_;
    time_point last_report_{};
    /// Whether there is a customer that was not reported yet.
    bool urgent_ = false;
};

} // namespace hornbeamweir
