#include "hemlockvane/keys.h"
#include "hemlockvane/membership.h"

#include "hemlockvane/records.pb.h"

#include <cppunit/extensions/HelperMacros.h>

#include <array>

namespace hemlockvane {

class CheckKeyTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CheckKeyTest);
    CPPUNIT_TEST(checkKey_keysTeam_isAccepted);
    CPPUNIT_TEST(checkKey_otherTeam_isRefusedUnlessQueueIsOpen);
    CPPUNIT_TEST(checkKey_noKey_isAcceptedOnOpenQueueOnly);
    CPPUNIT_TEST(checkKey_unknownKey_isRefusedEverywhere);
    CPPUNIT_TEST(checkKey_withdrawnOrPending_isRefusedEverywhere);
    CPPUNIT_TEST(checkKey_notVouched_isRefused);
    CPPUNIT_TEST(withdrawal_merged_isForwardedOnceAndNeverReverted);
    CPPUNIT_TEST(withdrawal_logReachableAgain_isAppendedUntilRecorded);
    CPPUNIT_TEST(withdrawal_progress_countsMembersInForce);
    CPPUNIT_TEST(withdrawal_recorded_isClearedWhenAllFolded);
    CPPUNIT_TEST(withdrawal_unknownKey_isNotFound);
    CPPUNIT_TEST_SUITE_END();

public:
    auto setUp() -> void override
    {
        m_keys.m_keys["k1"] = KeyRecord { m_hash, "tailors", "ana", "", false };
        m_keys.m_idByHash[m_hash] = "k1";
        for (const auto* name : { "e0", "e1", "e2" })
            m_membership.m_entries[name].m_zone = "z1";
        m_operation.set_id("op1");
        m_operation.mutable_withdraw_key()->set_key_id("k1");
    }

    auto checkKey_keysTeam_isAccepted() -> void
    {
        CPPUNIT_ASSERT_EQUAL(std::string("tailors"), *check(m_hash, "tailors", false));
        CPPUNIT_ASSERT_EQUAL(std::string("tailors"), *check(m_hash, "", false));
    }

    auto checkKey_otherTeam_isRefusedUnlessQueueIsOpen() -> void
    {
        CPPUNIT_ASSERT(!check(m_hash, "riders", false));
        CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::WrongTeam);
        CPPUNIT_ASSERT_EQUAL(std::string("riders"), *check(m_hash, "riders", true));
    }

    auto checkKey_noKey_isAcceptedOnOpenQueueOnly() -> void
    {
        CPPUNIT_ASSERT(!check("", "tailors", false));
        CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::UnknownKey);
        CPPUNIT_ASSERT(check("", "", true));
    }

    auto checkKey_unknownKey_isRefusedEverywhere() -> void
    {
        for (const auto open : { false, true }) {
            CPPUNIT_ASSERT(!check(std::string(32, 'x'), "", open));
            CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::UnknownKey);
            CPPUNIT_ASSERT(!check("h", "", open));
        }
    }

    auto checkKey_withdrawnOrPending_isRefusedEverywhere() -> void
    {
        CPPUNIT_ASSERT(withdrawNow(m_pending, m_keys, m_operation, "e0", m_reason));
        CPPUNIT_ASSERT(!check(m_hash, "", true));
        CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::WithdrawnKey);
        m_pending = {};
        m_keys.m_keys["k1"].m_withdrawn = true;
        CPPUNIT_ASSERT(!check(m_hash, "", false));
        CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::WithdrawnKey);
    }

    auto checkKey_notVouched_isRefused() -> void
    {
        m_vouched = false;
        CPPUNIT_ASSERT(!check(m_hash, "", false));
        CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::NotVouched);
    }

    auto withdrawal_merged_isForwardedOnceAndNeverReverted() -> void
    {
        const std::array operations { static_cast<const wire::Operation*>(&m_operation) };
        CPPUNIT_ASSERT(mergeWithdrawals(m_pending, m_keys, operations, "e0", "e1"));
        CPPUNIT_ASSERT(!mergeWithdrawals(m_pending, m_keys, operations, "e0", "e2"));
        CPPUNIT_ASSERT(!mergeWithdrawals(m_pending, m_keys, {}, "e0", "e1"));
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, pendingOperations(m_pending).size());
        CPPUNIT_ASSERT_EQUAL(std::string("op1"), pendingOperations(m_pending).front().id());
    }

    auto withdrawal_logReachableAgain_isAppendedUntilRecorded() -> void
    {
        CPPUNIT_ASSERT(withdrawNow(m_pending, m_keys, m_operation, "e0", m_reason));
        const auto retry = std::chrono::seconds(1);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, appendsDue(m_pending, Instant {}, retry).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, appendsDue(m_pending, Instant {}, retry).size());
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, appendsDue(m_pending, Instant { retry }, retry).size());
        markRecorded(m_pending, "k1", 7);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 0 }, appendsDue(m_pending, Instant { retry * 5 }, retry).size());
        CPPUNIT_ASSERT(pendingOperations(m_pending).empty());
        CPPUNIT_ASSERT(!check(m_hash, "", false));
    }

    auto withdrawal_progress_countsMembersInForce() -> void
    {
        CPPUNIT_ASSERT(withdrawNow(m_pending, m_keys, m_operation, "e0", m_reason));
        const std::array operations { static_cast<const wire::Operation*>(&m_operation) };
        CPPUNIT_ASSERT(!mergeWithdrawals(m_pending, m_keys, operations, "e0", "e1"));
        const auto before = withdrawalProgress(m_pending, m_membership, {}, "k1");
        CPPUNIT_ASSERT(!before.m_recorded);
        CPPUNIT_ASSERT_EQUAL(std::size_t { 2 }, before.m_inForce.size());
        markRecorded(m_pending, "k1", 7);
        const auto after = withdrawalProgress(m_pending, m_membership, { { "e2", 8 } }, "k1");
        CPPUNIT_ASSERT(after.m_recorded && after.m_waiting.empty());
    }

    auto withdrawal_recorded_isClearedWhenAllFolded() -> void
    {
        CPPUNIT_ASSERT(withdrawNow(m_pending, m_keys, m_operation, "e0", m_reason));
        markRecorded(m_pending, "k1", 7);
        m_membership.m_entries["e2"].m_removedAt = 5;
        clearFolded(m_pending, m_membership, { { "e0", 8 }, { "e1", 7 } });
        CPPUNIT_ASSERT_EQUAL(std::size_t { 1 }, m_pending.m_withdrawals.size());
        clearFolded(m_pending, m_membership, { { "e0", 8 }, { "e1", 8 } });
        CPPUNIT_ASSERT(m_pending.m_withdrawals.empty());
    }

    auto withdrawal_unknownKey_isNotFound() -> void
    {
        m_operation.mutable_withdraw_key()->set_key_id("k2");
        CPPUNIT_ASSERT(!withdrawNow(m_pending, m_keys, m_operation, "e0", m_reason));
        CPPUNIT_ASSERT(m_reason.m_kind == ErrorKind::NotFound);
    }

private:
    std::string m_hash = std::string(32, 'h');
    KeyState m_keys;
    PendingWithdrawals m_pending;
    MembershipState m_membership;
    wire::Operation m_operation;
    FailureReason m_reason;
    bool m_vouched = true;

    auto check(const std::string& hash, std::string_view team, bool open) -> std::optional<std::string>
    {
        return checkKey(m_keys, m_pending, KeyCheckRequest { hash, team, open, m_vouched }, m_reason);
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CheckKeyTest);

} // namespace hemlockvane
