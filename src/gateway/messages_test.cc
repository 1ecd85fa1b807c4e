#include "peridotshelf/gateway/messages.h"

#include <algorithm>

#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class EventSplitterTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(EventSplitterTest);
  CPPUNIT_TEST(Feed_AnyCuts_YieldsTheSameEvents);
  CPPUNIT_TEST(EventNumber_WithAndWithoutId_IsItsNumberOrNothing);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Feed_AnyCuts_YieldsTheSameEvents() {
    testing::CheckProperty("any cuts", [](const std::vector<uint8_t>& cuts) {
      const std::string all = Event(0) + Event(1) + "id: 2\r\ndata: y\r\n\r\n";
      EventSplitter splitter;
      std::string joined;
      size_t events = 0;
      std::string_view rest = all;
      const auto feed = [&](size_t length) {
        for (const std::string& event : splitter.Feed(rest.substr(0, length))) {
          joined += event;
          ++events;
        }
        rest.remove_prefix(length);
      };
      for (const uint8_t cut : cuts) feed(std::min<size_t>(rest.size(), cut));
      feed(rest.size());
      RC_ASSERT(events == 3u);
      RC_ASSERT(joined == all);
      RC_ASSERT(!splitter.HasRest());
    });
  }
  void EventNumber_WithAndWithoutId_IsItsNumberOrNothing() {
    CPPUNIT_ASSERT_EQUAL(int64_t{12},
                         EventNumber("data: x\nid: 12\n\n").value());
    CPPUNIT_ASSERT_EQUAL(int64_t{3}, EventNumber("id:3\r\n\r\n").value());
    CPPUNIT_ASSERT(!EventNumber("data: x\n\n"));
    CPPUNIT_ASSERT(!EventNumber("id: x\n\n"));
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(EventSplitterTest);

}  // namespace
}  // namespace peridotshelf::gateway
