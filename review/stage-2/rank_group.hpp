#pragma once

#include "stage.hpp"

#include <random>

namespace stage
{

/// \brief Stand-in of a lock-step group of ranks, as PROTOCOL.md describes it:
/// forward passes, orders that change the expert map, and their conditions.
class rank_group
{
public:
    static constexpr std::size_t ranks = 4;
    static constexpr std::size_t experts = 12;
    static constexpr std::size_t places = 6;
    static constexpr std::size_t spare = 3;
    /// Shortest pass of the site's engines: 4 steps of 4.55 ms.
    static constexpr milliseconds pass_time{20};

    /// \brief How the ranks answer orders.
    struct disruption
    {
        /// Part of the orders that get no answer and are carried out 2 to 12 s
        /// later.
        double late_share = 0;
        /// Whether the rank that holds passes sends a second copy of each
        /// answer to an order, late, where the next response is expected.
        bool sends_extra_answers = false;
    };

    /// \param name Name of the group and of its service.
    rank_group(
        std::string name,
        std::vector<std::string> const& ips,
        record& log,
        unsigned seed);

    [[nodiscard]] std::string const& name() const noexcept { return name_; }

    [[nodiscard]] std::string const& address(std::size_t rank) const
    {
        return servers_[rank]->address();
    }
    /// \returns The entry of a rank in the store.
    [[nodiscard]] std::string registration(std::size_t rank) const;
    /// \returns The engine of the service, for the configuration.
    [[nodiscard]] static boost::json::object engine();

    void set_disruption(disruption next);
    /// \brief Other experts are in demand from now on.
    void shift_demand();
    /// \brief Begins the next pass, unless a rank holds it.
    void begin_pass();
    /// \returns The number of passes that began while two ranks had different
    /// maps.
    [[nodiscard]] std::size_t mixed_passes();
    [[nodiscard]] std::size_t switches();
    /// \brief Writes how much the ranks have answered.
    void write_totals();

private:
    /// Experts by rank; the group has one set.
    using expert_map = std::vector<std::vector<int>>;

    struct arming
    {
        std::int64_t version = 0;
        std::int64_t step = 0;
    };

    struct rank_state
    {
        std::int64_t map_version = 0;
        std::int64_t prepared_version = 0;
        std::int64_t newest_version = 0;
        std::map<std::int64_t, expert_map> maps;
        std::optional<std::int64_t> copying;
        time_point copied_at{};
        std::optional<arming> armed;
        std::optional<std::int64_t> held;
        std::int64_t orders = 0;
        std::int64_t fence = 0;
        std::vector<std::int64_t> counts = std::vector<std::int64_t>(experts);
        std::size_t answers = 0;
        std::size_t extra_answers = 0;
    };

    using order_handler =
        int (rank_group::*)(rank_state&, boost::json::object const&);

    void serve(std::size_t rank, connection& caller);
    [[nodiscard]] boost::json::object
    answer(std::size_t rank, std::string const& target);
    [[nodiscard]] boost::json::object report(std::size_t rank) const;
    /// \returns Empty if the order gets no answer.
    [[nodiscard]] std::optional<int>
    receive(std::size_t rank, boost::json::object const& order);
    [[nodiscard]] int
    execute(std::size_t rank, boost::json::object const& order);
    int prepare(rank_state& it, boost::json::object const& order);
    int arm(rank_state& it, boost::json::object const& order);
    int disarm(rank_state& it, boost::json::object const& order);
    int hold(rank_state& it, boost::json::object const& order);
    int release(rank_state& it, boost::json::object const& order);
    void count_choices();
    void check_maps();

    struct late_order
    {
        time_point at{};
        std::size_t rank = 0;
        boost::json::object order;
    };

    void note(std::string const& text) { log_.line(name_ + ", " + text); }

    std::string name_;
    record& log_;
    std::mutex mutex_;
    std::mt19937 random_;
    std::int64_t born_;
    std::vector<rank_state> states_;
    disruption disruption_;
    std::optional<std::size_t> holding_rank_;
    std::vector<late_order> late_;
    std::int64_t step_ = 0;
    std::size_t hot_ = 0;
    std::size_t mixed_ = 0;
    std::size_t switches_ = 0;
    std::size_t unanswered_ = 0;
    std::vector<std::unique_ptr<server>> servers_;
};

} // namespace stage
