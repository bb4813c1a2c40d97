#include "hemlockvane/detail/peers/EnvelopeEpoch.h"

#include "hemlockvane/peers.pb.h"

#include <algorithm>

namespace hemlockvane::detail {

namespace {

template <typename Messages> auto newestOf(const Messages& messages) -> Offset
{
    Offset newest = 0;
    for (const auto& message : messages)
        newest = std::max<Offset>(newest, message.fence().epoch());
    return newest;
}

} // namespace

auto newestEpoch(const wire::Envelope& envelope) -> Offset
{
    switch (envelope.message_case()) {
    case wire::Envelope::kClaimRequest:
        return envelope.claim_request().fence().epoch();
    case wire::Envelope::kClaimAnswer:
        return envelope.claim_answer().fence().epoch();
    case wire::Envelope::kClaimOutcome:
        return envelope.claim_outcome().fence().epoch();
    case wire::Envelope::kClaimMirror:
        return envelope.claim_mirror().fence().epoch();
    case wire::Envelope::kClaimReportRequest:
        return envelope.claim_report_request().fence().epoch();
    case wire::Envelope::kClaimReport:
        return envelope.claim_report().fence().epoch();
    case wire::Envelope::kEscrowReportRequest:
        return envelope.escrow_report_request().fence().epoch();
    case wire::Envelope::kEscrowReport:
        return envelope.escrow_report().fence().epoch();
    case wire::Envelope::kEscrowDemands:
        return newestOf(envelope.escrow_demands().demands());
    case wire::Envelope::kEscrowGrants:
        return newestOf(envelope.escrow_grants().grants());
    default:
        return 0;
    }
}

} // namespace hemlockvane::detail
