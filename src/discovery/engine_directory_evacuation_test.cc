#include "peridotshelf/discovery/engine_directory.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::discovery {
namespace {

constexpr TimePoint kNow{std::chrono::hours(1)};

class EngineDirectoryEvacuationTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EngineDirectoryEvacuationTest);
  CPPUNIT_TEST(FindReadyEngines_EvacuatedDomain_IsExcludedUntilItEnds);
  CPPUNIT_TEST(FindReadyEngines_EngineRegistersInEvacuatedDomain_IsExcluded);
  CPPUNIT_TEST(IsReady_EvacuatedDomain_IsTrue);
  CPPUNIT_TEST(IsServiceEvacuated_EachState_NeedsReadyEngines);
  CPPUNIT_TEST(ComputeDigest_EvacuatedDomain_IsTheSame);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindReadyEngines_EvacuatedDomain_IsExcludedUntilItEnds() {
    m_directory.Update(MakeEngineIn("a", kZone));
    m_directory.Update(MakeEngineIn("b", kOtherZone));
    m_directory.SetEvacuatedDomains({&kZone, 1});
    const auto ready = m_directory.FindReadyEngines("s");
    CPPUNIT_ASSERT_EQUAL(size_t{1}, ready.size());
    CPPUNIT_ASSERT_EQUAL(std::string("b"), ready[0]->id);
    const FailureDomain unknown("unknown");
    m_directory.SetEvacuatedDomains({&unknown, 1});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_directory.FindReadyEngines("s").size());
    m_directory.SetEvacuatedDomains({});
    CPPUNIT_ASSERT_EQUAL(size_t{2}, m_directory.FindReadyEngines("s").size());
  }
  void FindReadyEngines_EngineRegistersInEvacuatedDomain_IsExcluded() {
    m_directory.SetEvacuatedDomains({&kZone, 1});
    m_directory.Update(MakeEngineIn("a", kZone));
    CPPUNIT_ASSERT(m_directory.FindReadyEngines("s").empty());
  }
  // Guards against crashes that are not noticed, and answers that are taken for
  // broken, because their engine seems to leave.
  void IsReady_EvacuatedDomain_IsTrue() {
    const EngineRecord engine = MakeEngineIn("a", kZone);
    m_directory.Update(engine);
    m_directory.SetEvacuatedDomains({&kZone, 1});
    CPPUNIT_ASSERT(m_directory.IsReady(engine.Key()));
    CPPUNIT_ASSERT(m_directory.IsEvacuated(engine.Key()));
    m_directory.NoteToldLeaving(engine.Key(), kNow);
    CPPUNIT_ASSERT(!m_directory.IsReady(engine.Key()));
  }
  void IsServiceEvacuated_EachState_NeedsReadyEngines() {
    m_directory.SetEvacuatedDomains({&kZone, 1});
    CPPUNIT_ASSERT(!m_directory.IsServiceEvacuated("s"));
    m_directory.Update(MakeEngineIn("a", kZone));
    CPPUNIT_ASSERT(m_directory.IsServiceEvacuated("s"));
    CPPUNIT_ASSERT(!m_directory.IsServiceEvacuated("t"));
    m_directory.Update(MakeEngineIn("b", kOtherZone));
    CPPUNIT_ASSERT(!m_directory.IsServiceEvacuated("s"));
    m_directory.Update(MakeEngineIn("b", kOtherZone, EngineState::kLeaving));
    CPPUNIT_ASSERT(m_directory.IsServiceEvacuated("s"));
    m_directory.Update(MakeEngineIn("a", kZone, EngineState::kLeaving));
    CPPUNIT_ASSERT(!m_directory.IsServiceEvacuated("s"));
  }
  // Guards against entries that read the registrations again and again while
  // their evacuations differ.
  void ComputeDigest_EvacuatedDomain_IsTheSame() {
    m_directory.Update(MakeEngineIn("a", kZone));
    const int64_t before = m_directory.ComputeDigest();
    m_directory.SetEvacuatedDomains({&kZone, 1});
    CPPUNIT_ASSERT_EQUAL(before, m_directory.ComputeDigest());
  }

 private:
  static EngineRecord MakeEngineIn(const std::string& id,
                                   const FailureDomain& domain,
                                   EngineState state = EngineState::kReady) {
    EngineRecord engine;
    engine.id = id;
    engine.service = "s";
    engine.failure_domain = domain;
    engine.state = state;
    return engine;
  }

  inline static const FailureDomain kZone{"zone"};
  inline static const FailureDomain kOtherZone{"other"};
  EngineDirectory m_directory{{}};
};
CPPUNIT_TEST_SUITE_REGISTRATION(EngineDirectoryEvacuationTest);

}  // namespace
}  // namespace peridotshelf::discovery
