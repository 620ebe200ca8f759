#include <hornbeamweir/membership/vm_list.hpp>

namespace hornbeamweir
{

bool vm_list::replace_if_newer(vm_list newer)
{
    if (newer.revision_ <= revision_)
        return false;
    *this = std::move(newer);
    return true;
}

wire::vm_notice to_wire(vm_list const& list)
{
    wire::vm_notice notice;
    notice.set_revision(list.revision());
    for (vm_id const& it : list.leaving())
        notice.add_leaving(it.str());
    return notice;
}

vm_list from_wire(wire::vm_notice const& notice)
{
    std::set<vm_id> leaving;
    for (std::string const& it : notice.leaving())
        leaving.emplace(it);
    return {notice.revision(), std::move(leaving)};
}

} // namespace hornbeamweir
