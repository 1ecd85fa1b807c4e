#include "limited_fleet.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::scheduling {
namespace {

class SparseLimitsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(SparseLimitsTest);
  CPPUNIT_TEST(TryAdmit_SparseCallsInLargeFleet_UseTheLimit);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a limit that is left unused since each request comes to an
  // entry whose demand its peers do not know yet.
  void TryAdmit_SparseCallsInLargeFleet_UseTheLimit() {
    for (const size_t entries : {100, 390}) {
      for (const double limit : {1.0, 5.0}) {
        CheckFleet(entries, limit, Demand::kSparse, /*seed=*/1);
      }
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(SparseLimitsTest);

}  // namespace
}  // namespace peridotshelf::scheduling
