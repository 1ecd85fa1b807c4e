#include "peridotshelf/gateway/messages.h"

#include <algorithm>

#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(Feed_ArbitraryChunks_YieldsSameEvents);
  CPPUNIT_TEST(ParseEventNumber_WithAndWithoutId_ReturnsNumberOrNullopt);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Feed_ArbitraryChunks_YieldsSameEvents() {
    testing::CheckProperty("any cuts", [](const std::vector<uint8_t>& cuts) {
      const std::string all =
          MakeEvent(0) + MakeEvent(1) + "id: 2\r\ndata: y\r\n\r\n";
      EventSplitter splitter;
      std::string joined;
      size_t events = 0;
      std::string_view remaining = all;
      const auto feed = [&](size_t length) {
        for (const std::string& event :
             splitter.Feed(remaining.substr(0, length))) {
          joined += event;
          ++events;
        }
        remaining.remove_prefix(length);
      };
      for (const uint8_t cut : cuts)
        feed(std::min<size_t>(remaining.size(), cut));
      feed(remaining.size());
      RC_ASSERT(events == 3u);
      RC_ASSERT(joined == all);
      RC_ASSERT(!splitter.HasIncompleteEvent());
    });
  }
  void ParseEventNumber_WithAndWithoutId_ReturnsNumberOrNullopt() {
    CPPUNIT_ASSERT_EQUAL(int64_t{12},
                         ParseEventNumber("data: x\nid: 12\n\n").value());
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, ParseEventNumber("id:3\r\n\r\n").value());
    CPPUNIT_ASSERT(!ParseEventNumber("data: x\n\n"));
    for (const char* id : {"x", "3x", "x3", "", "-3", "+3", "3.0", "3 4",
                           "3\nid: 4", "99999999999999999999"}) {
      CPPUNIT_ASSERT(
          !ParseEventNumber("id: " + std::string(id) + "\ndata: x\n\n"));
    }
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace
}  // namespace peridotshelf::gateway
