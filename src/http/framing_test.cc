#include "peridotshelf/http/framing.h"

#include "peridotshelf/testing/test.h"

namespace peridotshelf::http {
namespace {

class FramingTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FramingTest);
  CPPUNIT_TEST(FindBodyEnd_OneLength_IsLength);
  CPPUNIT_TEST(FindBodyEnd_LastCodingIsChunked_IsChunked);
  CPPUNIT_TEST(FindBodyEnd_NoFramingOrAnotherCoding_IsConnection);
  CPPUNIT_TEST(FindBodyEnd_ContradictingOrUnreadableHeaders_IsInvalid);
  CPPUNIT_TEST_SUITE_END();

 public:
  void FindBodyEnd_OneLength_IsLength() {
    CPPUNIT_ASSERT(Find({{"content-length", "0"}}) == BodyEnd::kLength);
    CPPUNIT_ASSERT(Find({{"Content-Length", " 40 "}}) == BodyEnd::kLength);
    CPPUNIT_ASSERT(Find({{"Content-Length", "4, 4"}}) == BodyEnd::kLength);
  }
  void FindBodyEnd_LastCodingIsChunked_IsChunked() {
    CPPUNIT_ASSERT(Find({{"Transfer-Encoding", "Chunked"}}) ==
                   BodyEnd::kChunked);
    CPPUNIT_ASSERT(Find({{"Transfer-Encoding", "gzip, chunked"},
                         {"Content-Length", "4"}}) == BodyEnd::kChunked);
  }
  // Guards against a body that is taken as framed by a header that frames
  // nothing.
  void FindBodyEnd_NoFramingOrAnotherCoding_IsConnection() {
    CPPUNIT_ASSERT(Find({}) == BodyEnd::kConnection);
    for (const char* coding : {"", "identity", "gzip", "chunked, identity"}) {
      CPPUNIT_ASSERT(Find({{"Transfer-Encoding", coding}}) ==
                     BodyEnd::kConnection);
    }
  }
  void FindBodyEnd_ContradictingOrUnreadableHeaders_IsInvalid() {
    for (const char* length :
         {"", "x", "-1", "+4", "4x", "4, 40", "4,", "99999999999999999999"}) {
      CPPUNIT_ASSERT_MESSAGE(
          length, Find({{"Content-Length", length}}) == BodyEnd::kInvalid);
    }
    CPPUNIT_ASSERT(Find({{"Content-Length", "40"}, {"Content-Length", "4"}}) ==
                   BodyEnd::kInvalid);
    CPPUNIT_ASSERT(Find({{"Transfer-Encoding", "identity"},
                         {"Content-Length", "40"}}) == BodyEnd::kInvalid);
  }

 private:
  static BodyEnd Find(const std::vector<Header>& headers) {
    return FindBodyEnd(headers);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FramingTest);

}  // namespace
}  // namespace peridotshelf::http
