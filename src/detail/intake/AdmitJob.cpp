#include "hemlockvane/detail/intake/AdmitJob.h"

#include "hemlockvane/detail/coordinator/JobMemoryView.h"
#include "hemlockvane/detail/intake/JobAdmission.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace {

constexpr std::size_t partOfInstance = 64; // Of what is left, until the owner's next record.

} // namespace

auto admitJob(JobAdmission& admission, const JobMemoryView& left, std::uint64_t renewal, const std::string& workspace,
    std::size_t bytes) -> bool
{
    if (admission.m_renewal != renewal)
        admission = { renewal, 0, {} };
    const auto remaining = left.m_left - std::min(left.m_left, admission.m_total);
    const auto known = left.m_byWorkspace.find(workspace);
    const auto used = (known == left.m_byWorkspace.end() ? 0 : known->second) + admission.m_byWorkspace[workspace];
    const auto isWithinPart = admission.m_total == 0 || admission.m_total + bytes <= left.m_left / partOfInstance;
    if (used + bytes > remaining || !isWithinPart)
        return false;
    admission.m_total += bytes;
    admission.m_byWorkspace[workspace] += bytes;
    return true;
}

} // namespace hemlockvane::detail
