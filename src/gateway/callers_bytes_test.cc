#include <algorithm>
#include <cctype>

#include "gateway_fixture.h"

namespace peridotshelf::gateway {
namespace {

class CallersBytesTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(CallersBytesTest);
  CPPUNIT_TEST(Stream_RequestIdIsNotUtf8_ReservationIdsAreLettersAndDigits);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a gateway that ends since an order's JSON holds a caller's
  // bytes, and against a list of helpers that a comma of the caller splits.
  void Stream_RequestIdIsNotUtf8_ReservationIdsAreLettersAndDigits() {
    for (int i = 0; i < 3; ++i) AddEngine(&StreamOneEvent, "models");
    Configure();
    const auto served = Call("/model/x", {{"Id",
                                           "r\xE9"
                                           "f,1/2\""},
                                          {"Tokens", "15000"}});
    CPPUNIT_ASSERT_EQUAL(200, served.status);
    size_t reservations = 0;
    for (const auto& engine : m_engines) {
      std::scoped_lock lock(engine->mutex);
      for (const auto& [id, tokens] : engine->reserved) {
        ++reservations;
        CPPUNIT_ASSERT(std::all_of(id.begin(), id.end(), [](unsigned char c) {
          return c == '-' || (c < 0x80 && std::isalnum(c) != 0);
        }));
      }
    }
    CPPUNIT_ASSERT(reservations >= 1);
  }

 private:
  static void StreamOneEvent(const ServerRequest& request,
                             const ResponderPtr& responder) {
    responder->BeginStream(200, SignedHeaders(request));
    responder->Write(MakeEvent(0));
    responder->EndStream();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CallersBytesTest);

}  // namespace
}  // namespace peridotshelf::gateway
