#include "hemlockvane/log/OperationWindow.h"

namespace hemlockvane {

auto findResult(const OperationWindow& window, std::string_view id) -> const OperationResult*
{
    const auto found = window.m_results.find(std::string(id));
    return found == window.m_results.end() ? nullptr : &found->second;
}

auto addResult(OperationWindow& window, OperationResult result) -> void
{
    window.m_order.push_back(result.m_id);
    auto id = result.m_id;
    window.m_results.insert_or_assign(std::move(id), std::move(result));
    if (window.m_order.size() <= operationWindowSize)
        return;
    window.m_results.erase(window.m_order.front());
    window.m_order.pop_front();
}

} // namespace hemlockvane
