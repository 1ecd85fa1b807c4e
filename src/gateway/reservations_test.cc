#include "reservations.h"

#include <atomic>
#include <future>

#include "gateway_fixture.h"
#include "peridotshelf/testing/raw_server.h"

namespace peridotshelf::gateway {
namespace {

using testing::RawConnection;
using testing::RawServer;

class ReservationsTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(ReservationsTest);
  CPPUNIT_TEST(Reserve_EngineRepeatsAnAnswer_RefusalIsNotTakenForAGrant);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a late copy of a grant that is taken for the answer to the
  // next order on the connection: the prompt would be sent without its memory.
  void Reserve_EngineRepeatsAnAnswer_RefusalIsNotTakenForAGrant() {
    const std::string granted = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    std::atomic<int> orders = 0;
    const RawServer engine([&](RawConnection& connection) {
      std::string copy;
      while (!connection.ReadRequest().empty()) {
        const std::string answer =
            orders++ == 0
                ? granted
                : "HTTP/1.1 409 Conflict\r\nContent-Length: 0\r\n\r\n";
        if (!connection.Write(copy + answer)) return;
        copy = answer;
      }
    });
    io::IoThreads threads(1);
    http::Client client;
    const MessageCodec codec = TestCodec();
    Reservations reservations(threads, client, codec, seconds(60),
                              [](const std::string&, const AnswerHead&) {});
    const std::vector<std::string> addresses = {engine.Address()};
    const auto reserve = [&](const std::string& id) {
      std::promise<size_t> refused;
      threads.Post([&] {
        reservations.Reserve(id, addresses, 1, [&](const auto& refusing) {
          refused.set_value(refusing.size());
        });
      });
      return refused.get_future().get();
    };
    CPPUNIT_ASSERT_EQUAL(size_t{0}, reserve("first"));
    CPPUNIT_ASSERT_EQUAL(size_t{1}, reserve("second"));
    threads.Stop();
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(ReservationsTest);

}  // namespace
}  // namespace peridotshelf::gateway
