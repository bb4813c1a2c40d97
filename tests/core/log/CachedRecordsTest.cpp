#include "hemlockvane/log.h"

#include "hemlockvane/records.pb.h"

#include <cppunit/extensions/HelperMacros.h>

namespace hemlockvane {

class CachedRecordsTest : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(CachedRecordsTest);
    CPPUNIT_TEST(fillCachedTail_cachedOffset_givesRecordsFromThere);
    CPPUNIT_TEST(fillCachedTail_outsideCache_isRefused);
    CPPUNIT_TEST(fillCachedTail_manyBytes_fillsAtMostTheBound);
    CPPUNIT_TEST(cacheRecord_beyondBound_dropsOldest);
    CPPUNIT_TEST(cacheRecord_gap_emptiesCacheFirst);
    CPPUNIT_TEST_SUITE_END();

    RecordCache m_cache;
    wire::LogBatch m_batch;

public:
    auto setUp() -> void override
    {
        m_cache = {};
        m_cache.m_maximumBytes = 40;
        m_batch.Clear();
        for (Offset offset = 7; offset < 11; ++offset)
            cacheRecord(m_cache, offset, std::string(10, static_cast<char>('a' + offset)));
    }

    auto fillCachedTail_cachedOffset_givesRecordsFromThere() -> void
    {
        CPPUNIT_ASSERT(fillCachedTail(m_cache, 9, 1000, m_batch));
        CPPUNIT_ASSERT_EQUAL(Offset(9), m_batch.first_offset());
        CPPUNIT_ASSERT_EQUAL(Offset(11), m_batch.end_offset());
        CPPUNIT_ASSERT_EQUAL(2, m_batch.records_size());
        CPPUNIT_ASSERT_EQUAL(std::string(10, 'a' + 9), m_batch.records(0));
    }

    auto fillCachedTail_outsideCache_isRefused() -> void
    {
        CPPUNIT_ASSERT(!fillCachedTail(m_cache, 6, 1000, m_batch));
        CPPUNIT_ASSERT(!fillCachedTail(m_cache, 11, 1000, m_batch));
        CPPUNIT_ASSERT(!fillCachedTail({}, 0, 1000, m_batch));
    }

    auto fillCachedTail_manyBytes_fillsAtMostTheBound() -> void
    {
        CPPUNIT_ASSERT(fillCachedTail(m_cache, 7, 15, m_batch));
        CPPUNIT_ASSERT_EQUAL(2, m_batch.records_size());
        m_batch.Clear();
        CPPUNIT_ASSERT(fillCachedTail(m_cache, 7, 1, m_batch));
        CPPUNIT_ASSERT_EQUAL(1, m_batch.records_size());
    }

    auto cacheRecord_beyondBound_dropsOldest() -> void
    {
        cacheRecord(m_cache, 11, "x");
        CPPUNIT_ASSERT_EQUAL(Offset(8), m_cache.m_firstOffset);
        CPPUNIT_ASSERT_EQUAL(std::size_t(31), m_cache.m_bytes);
    }

    auto cacheRecord_gap_emptiesCacheFirst() -> void
    {
        cacheRecord(m_cache, 50, "x");
        CPPUNIT_ASSERT_EQUAL(Offset(50), m_cache.m_firstOffset);
        CPPUNIT_ASSERT_EQUAL(std::size_t(1), m_cache.m_records.size());
        CPPUNIT_ASSERT(!fillCachedTail(m_cache, 9, 1000, m_batch));
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(CachedRecordsTest);

} // namespace hemlockvane
