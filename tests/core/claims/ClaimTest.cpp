#include "core/claims/ClaimWorld.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class ClaimTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(ClaimTest);
    CPPUNIT_TEST(requestKey_wrongForms_areRefused);
    CPPUNIT_TEST(requestKey_upperCase_isTheSameKey);
    CPPUNIT_TEST(claim_retryThroughAnotherEntry_getsTheSameAnswer);
    CPPUNIT_TEST(claim_anotherBody_isConflict);
    CPPUNIT_TEST(claim_retryWhileRunning_waitsForTheAnswer);
    CPPUNIT_TEST(claim_certainlyNotRun_isGrantedToNextRequest);
    CPPUNIT_TEST(claim_futureKey_isRefusedAsNotRun);
    CPPUNIT_TEST(claim_expiredKey_isUnknown);
    CPPUNIT_TEST(claim_largeAnswer_isReportedAsLost);
    CPPUNIT_TEST(claim_answersFull_oldestAnswerIsLost);
    CPPUNIT_TEST(claim_noRoom_isRefusedAsNotRun);
    CPPUNIT_TEST(claim_cancelledBeforeGrant_isNeverDispatched);
    CPPUNIT_TEST(holder_notVouched_neverAnswersNotRun);
    CPPUNIT_TEST(dispatcher_notVouched_doesNotUseItsGrant);
    CPPUNIT_TEST(dispatcher_holderSilent_neverAnswersNotRun);
    CPPUNIT_TEST(dispatcher_holderSilentForLong_staysBounded);
    CPPUNIT_TEST(dispatcher_crashed_leavesUnknown);
    CPPUNIT_TEST(takeover_holderCrashed_keepsTheAnswer);
    CPPUNIT_TEST(takeover_zonesLostInTurn_keepsTheAnswer);
    CPPUNIT_TEST(takeover_twoZonesLostAtOnce_isUnknown);
    CPPUNIT_TEST(takeover_grantUnderOldEpoch_isRefused);
    CPPUNIT_TEST(takeover_removedPairResumes_doesNotDispatch);
    CPPUNIT_TEST(mirror_olderGrantArrivingLate_doesNotReplaceTheNewer);
    CPPUNIT_TEST_SUITE_END();

    static constexpr Duration retry = std::chrono::milliseconds(50);

public:
    auto requestKey_wrongForms_areRefused() -> void
    {
        FailureReason reason;
        for (const auto* text : { "", "01890a5d-ac96-774b-bcce-b302099a805", "01890a5d-ac96-474b-bcce-b302099a8057",
                 "01890a5d-ac96-774b-ccce-b302099a8057", "01890a5d+ac96-774b-bcce-b302099a8057",
                 "01890a5g-ac96-774b-bcce-b302099a8057" }) {
            CPPUNIT_ASSERT(!parseRequestKey(text, reason));
            CPPUNIT_ASSERT(reason.m_kind == ErrorKind::BadRequest);
        }
    }

    auto requestKey_upperCase_isTheSameKey() -> void
    {
        FailureReason reason;
        const auto key = parseRequestKey("01890A5D-AC96-774B-BCCE-B302099A8057", reason);
        CPPUNIT_ASSERT(key);
        CPPUNIT_ASSERT_EQUAL(std::string("01890a5d-ac96-774b-bcce-b302099a8057"), key->m_text);
        CPPUNIT_ASSERT_EQUAL(WallMillis { 0x01890a5dac96 }, key->m_stampedAt);
    }

    auto claim_retryThroughAnotherEntry_getsTheSameAnswer() -> void
    {
        auto world = runThrough(1);
        const auto again = request(world, 2);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(1, world.m_executed);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), replyTo(world, again)->m_answer);
        CPPUNIT_ASSERT(replyTo(world, again)->m_error == ErrorKind::None);
    }

    auto claim_anotherBody_isConflict() -> void
    {
        auto world = runThrough(1);
        const auto other = request(world, 2, 2);
        deliverAll(world);
        CPPUNIT_ASSERT(replyTo(world, other)->m_error == ErrorKind::Conflict);
    }

    auto claim_retryWhileRunning_waitsForTheAnswer() -> void
    {
        auto world = makeClaimWorld(m_zones);
        request(world, 1);
        deliverAll(world);
        const auto again = request(world, 2);
        deliverAll(world);
        CPPUNIT_ASSERT(replyTo(world, again) == nullptr);
        finish(world, 0, ClaimResult::Answered);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), replyTo(world, again)->m_answer);
        CPPUNIT_ASSERT_EQUAL(1, world.m_executed);
    }

    auto claim_certainlyNotRun_isGrantedToNextRequest() -> void
    {
        auto world = makeClaimWorld(m_zones);
        request(world, 1);
        deliverAll(world);
        request(world, 2);
        deliverAll(world);
        finish(world, 0, ClaimResult::NotRun);
        deliverAll(world);
        passTime(world, retry);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.m_running.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, world.m_running.front().first);
    }

    auto claim_futureKey_isRefusedAsNotRun() -> void
    {
        auto world = makeClaimWorld(m_zones);
        world.m_key = makeRequestKey(world.m_time.m_wall + 6000, 1);
        const auto ticket = request(world, 1);
        deliverAll(world);
        CPPUNIT_ASSERT(replyTo(world, ticket)->m_error == ErrorKind::BadRequest);
        CPPUNIT_ASSERT(replyTo(world, ticket)->m_notRun);
    }

    auto claim_expiredKey_isUnknown() -> void
    {
        auto world = runThrough(1);
        passTime(world, world.m_nodes[0].m_state.m_settings.m_window + std::chrono::seconds(2));
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.m_nodes[0].m_state.m_recordCount);
        const auto again = request(world, 2);
        deliverAll(world);
        CPPUNIT_ASSERT(replyTo(world, again)->m_error == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(!replyTo(world, again)->m_notRun);
    }

    auto claim_largeAnswer_isReportedAsLost() -> void
    {
        auto world = makeClaimWorld(m_zones);
        request(world, 1);
        deliverAll(world);
        finish(world, 0, ClaimResult::Answered, std::string(70'000, 'a'));
        deliverAll(world);
        const auto again = request(world, 2);
        deliverAll(world);
        CPPUNIT_ASSERT(replyTo(world, again)->m_error == ErrorKind::AnswerLost);
        CPPUNIT_ASSERT_EQUAL(1, world.m_executed);
    }

    auto claim_answersFull_oldestAnswerIsLost() -> void
    {
        auto world = makeClaimWorld(m_zones);
        for (auto& node : world.m_nodes)
            node.m_state.m_settings.m_maximumAnswerTotal = 10;
        const auto old = makeRequestKey(world.m_time.m_wall, 1);
        for (const WallMillis later : { 0, 1 }) {
            world.m_key = makeRequestKey(world.m_time.m_wall + later, 1);
            request(world, 1);
            deliverAll(world);
            finish(world, 0, ClaimResult::Answered);
            deliverAll(world);
        }
        const auto newer = request(world, 2);
        world.m_key = old;
        const auto older = request(world, 2);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), replyTo(world, newer)->m_answer);
        CPPUNIT_ASSERT(replyTo(world, older)->m_error == ErrorKind::AnswerLost);
        CPPUNIT_ASSERT_EQUAL(2, world.m_executed);
    }

    auto claim_noRoom_isRefusedAsNotRun() -> void
    {
        auto world = makeClaimWorld(m_zones);
        world.m_nodes[0].m_state.m_settings.m_maximumRecords = 1;
        request(world, 1);
        deliverAll(world);
        world.m_key = makeRequestKey(world.m_time.m_wall, 2);
        const auto second = request(world, 1);
        deliverAll(world);
        CPPUNIT_ASSERT(replyTo(world, second)->m_error == ErrorKind::QueueFull);
        CPPUNIT_ASSERT(replyTo(world, second)->m_notRun);
    }

    auto claim_cancelledBeforeGrant_isNeverDispatched() -> void
    {
        auto world = makeClaimWorld(m_zones);
        const auto ticket = request(world, 1);
        auto& node = world.m_nodes[1];
        const ClaimView view { node.m_membership, node.m_foldedEnd, true };
        for (const auto& action : onClaimCancelled(node.m_state, view, ticket, world.m_time))
            world.m_messages.push_back(std::get<SendToPeer>(action));
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(0, world.m_executed);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.m_nodes[0].m_state.m_recordCount);
    }

    auto holder_notVouched_neverAnswersNotRun() -> void
    {
        auto world = makeClaimWorld(m_zones);
        world.m_nodes[0].m_vouched = false;
        const auto ticket = request(world, 1);
        deliverAll(world);
        CPPUNIT_ASSERT(replyTo(world, ticket)->m_error == ErrorKind::NotVouched);
        CPPUNIT_ASSERT(!replyTo(world, ticket)->m_notRun);
    }

    auto dispatcher_notVouched_doesNotUseItsGrant() -> void
    {
        auto world = makeClaimWorld(m_zones);
        world.m_nodes[1].m_vouched = false;
        const auto ticket = request(world, 1);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(0, world.m_executed);
        CPPUNIT_ASSERT(replyTo(world, ticket)->m_error == ErrorKind::NotVouched);
        CPPUNIT_ASSERT(!replyTo(world, ticket)->m_notRun);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, world.m_nodes[0].m_state.m_recordCount);
    }

    auto dispatcher_holderSilent_neverAnswersNotRun() -> void
    {
        auto world = makeClaimWorld(m_zones);
        const auto ticket = request(world, 1);
        world.m_messages.clear();
        passTime(world, std::chrono::hours(1));
        CPPUNIT_ASSERT(replyTo(world, ticket)->m_error == ErrorKind::DeadlinePassed);
        CPPUNIT_ASSERT(!replyTo(world, ticket)->m_notRun);
    }

    auto dispatcher_holderSilentForLong_staysBounded() -> void
    {
        auto world = makeClaimWorld(m_zones);
        auto& state = world.m_nodes[1].m_state;
        state.m_settings.m_maximumTickets = 3;
        state.m_settings.m_maximumOutcomes = 2;
        std::uint64_t last = 0;
        for (int i = 0; i < 4; ++i)
            last = request(world, 1);
        CPPUNIT_ASSERT(replyTo(world, last)->m_error == ErrorKind::QueueFull);
        CPPUNIT_ASSERT(!replyTo(world, last)->m_notRun);
        world.m_messages.clear();
        passTime(world, std::chrono::hours(1));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, state.m_tickets.size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, state.m_unconfirmedOutcomes.size());
    }

    auto dispatcher_crashed_leavesUnknown() -> void
    {
        auto world = makeClaimWorld(m_zones);
        request(world, 1);
        deliverAll(world);
        world.m_nodes[1].m_crashed = true;
        append(world, { ClaimWorldRecord::Kind::Remove, nodeName(1), "" });
        foldLog(world, 0);
        foldLog(world, 2);
        const auto again = request(world, 2);
        deliverAll(world);
        CPPUNIT_ASSERT(replyTo(world, again)->m_error == ErrorKind::OutcomeUnknown);
    }

    auto takeover_holderCrashed_keepsTheAnswer() -> void
    {
        auto world = runThrough(0); // Holder and dispatcher; only its mirror has the answer.
        takeOver(world, 0, 2);
        const auto again = request(world, 1);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(1, world.m_executed);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), replyTo(world, again)->m_answer);
    }

    auto takeover_zonesLostInTurn_keepsTheAnswer() -> void
    {
        auto world = makeClaimWorld({ "z1", "z2", "z2", "z3", "z3" });
        request(world, 1);
        deliverAll(world);
        finish(world, 0, ClaimResult::Answered);
        deliverAll(world);
        takeOver(world, 0, 2); // Recorded in z2 only until it is mirrored again.
        takeOver(world, 1, 2);
        takeOver(world, 2, 3);
        const auto again = request(world, 4);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(1, world.m_executed);
        CPPUNIT_ASSERT_EQUAL(std::string("answer"), replyTo(world, again)->m_answer);
    }

    auto takeover_twoZonesLostAtOnce_isUnknown() -> void
    {
        auto world = runThrough(1);
        world.m_nodes[1].m_crashed = true;
        append(world, { ClaimWorldRecord::Kind::Remove, nodeName(1), "" });
        takeOver(world, 0, 2);
        const auto again = request(world, 2);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(1, world.m_executed);
        CPPUNIT_ASSERT(replyTo(world, again)->m_error == ErrorKind::OutcomeUnknown);
        CPPUNIT_ASSERT(!replyTo(world, again)->m_notRun);
    }

    auto takeover_grantUnderOldEpoch_isRefused() -> void
    {
        auto world = makeClaimWorld(m_zones);
        request(world, 1);
        deliver(world, 0); // The holder's grant is in transit.
        const auto late = world.m_messages;
        world.m_messages.clear();
        takeOver(world, 0, 2);
        CPPUNIT_ASSERT_EQUAL(1, world.m_executed); // Requested again and granted by the new holder.
        world.m_messages = late;
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(1, world.m_executed);
    }

    // The holder and a dispatcher are removed together and resume after the takeover. Only their expired vouch keeps
    // them from dispatching a request.
    auto takeover_removedPairResumes_doesNotDispatch() -> void
    {
        for (const auto vouched : { false, true }) {
            auto world = makeClaimWorld(m_zones);
            world.m_nodes[1].m_crashed = true;
            append(world, { ClaimWorldRecord::Kind::Remove, nodeName(1), "" });
            takeOver(world, 0, 2);
            passTime(world, std::chrono::seconds(30));
            world.m_key = makeRequestKey(world.m_time.m_wall, 2);
            for (const std::size_t node : { 0, 1 }) {
                world.m_nodes[node].m_crashed = false;
                world.m_nodes[node].m_vouched = vouched;
            }
            request(world, 2);
            request(world, 1);
            deliverAll(world);
            CPPUNIT_ASSERT_EQUAL(vouched ? 2 : 1, world.m_executed);
        }
    }

    auto mirror_olderGrantArrivingLate_doesNotReplaceTheNewer() -> void
    {
        auto world = makeClaimWorld({ "z1", "z2" });
        request(world, 0);
        const auto old = world.m_messages.front();
        deliverAll(world);
        finish(world, 0, ClaimResult::NotRun);
        request(world, 0);
        deliverAll(world);
        finish(world, 0, ClaimResult::Answered);
        world.m_messages.push_back(old);
        deliverAll(world);
        const auto& copy = world.m_nodes[1].m_state.m_slots[0].m_records.begin()->second;
        CPPUNIT_ASSERT(copy.m_status == ClaimStatus::Done);
        CPPUNIT_ASSERT_EQUAL(std::uint64_t { 2 }, copy.m_grant.m_serial);
    }

private:
    const std::vector<std::string> m_zones { "z1", "z2", "z3" };

    auto runThrough(std::size_t dispatcher) -> ClaimWorld
    {
        auto world = makeClaimWorld(m_zones);
        request(world, dispatcher);
        deliverAll(world);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, world.m_running.size());
        finish(world, 0, ClaimResult::Answered);
        deliverAll(world);
        return world;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ClaimTest);

} // namespace hemlockvane
