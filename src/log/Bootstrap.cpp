#include "hemlockvane/log/Bootstrap.h"

namespace hemlockvane {

auto chooseBootstrap(const BootstrapView& view) -> BootstrapSource
{
    const auto isTailKept = !hasFallenBehind(view.m_snapshotEndOffset, view.m_oldestOffset);
    if (view.m_logReachable && view.m_snapshotUsable && isTailKept)
        return BootstrapSource::LogSnapshot;
    if (view.m_logReachable && view.m_oldestOffset == 0)
        return BootstrapSource::WholeLog;
    return view.m_peerAvailable ? BootstrapSource::Peer : BootstrapSource::Wait;
}

auto hasFallenBehind(Offset nextOffset, Offset oldestOffset) -> bool { return nextOffset < oldestOffset; }

} // namespace hemlockvane
