#include "hemlockvane/detail/platform/ListedInstance.h"

#include <algorithm>

namespace hemlockvane::detail {

auto findWorker(std::span<const ListedInstance> listed, std::string_view id) -> const ListedInstance*
{
    const auto found = std::find_if(listed.begin(), listed.end(),
        [&](const auto& instance) { return instance.m_kind == "worker" && instance.m_id == id; });
    return found == listed.end() ? nullptr : &*found;
}

} // namespace hemlockvane::detail
