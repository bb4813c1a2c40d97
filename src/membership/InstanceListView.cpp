#include "hemlockvane/membership/InstanceListView.h"

namespace hemlockvane {

auto isListed(const InstanceListView& view, std::string_view instance) -> bool
{
    const auto found = view.m_instances.find(instance);
    return found != view.m_instances.end() && found->second != ListedStatus::Failed;
}

auto isListedLive(const InstanceListView& view, std::string_view instance) -> bool
{
    const auto found = view.m_instances.find(instance);
    return found != view.m_instances.end() && found->second == ListedStatus::Live;
}

} // namespace hemlockvane
