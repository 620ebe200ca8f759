#include <hornbeamweir/entry/decision_history.hpp>

namespace hornbeamweir
{

decision_history::decision_history(std::size_t capacity) noexcept
    : capacity_{capacity}
{
}

void decision_history::add(request_id id, std::string line)
{
    records_.push_back({std::move(id), std::move(line)});
    if (records_.size() > capacity_)
        records_.pop_front();
}

std::vector<std::string> decision_history::find(request_id const& id) const
{
    std::vector<std::string> lines;
    for (record const& entry : records_)
    {
        if (entry.id == id)
            lines.push_back(entry.line);
    }
    return lines;
}

} // namespace hornbeamweir
