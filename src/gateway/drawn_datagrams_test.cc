// Drawn datagrams of peers at a gateway's exchange, with all that it shares.
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <limits>

#include "gateway_fixture.h"
#include "peer_messages.h"
#include "peridotshelf/events/guard.h"
#include "peridotshelf/testing/drawn_inputs.h"

namespace peridotshelf::gateway {
namespace {

using testing::DrawBytes;

template <class Integer>
Integer DrawInteger() {
  constexpr Integer kMin = std::numeric_limits<Integer>::min();
  constexpr Integer kMax = std::numeric_limits<Integer>::max();
  return *rc::gen::weightedOneOf<Integer>(
      {{3, rc::gen::inRange<Integer>(-10, 100'000)},
       {1, rc::gen::elementOf(std::vector<Integer>{kMin, kMax, kMax / 1000,
                                                   kMin / 1000, -1})}});
}

int64_t DrawSpan() { return DrawInteger<int64_t>(); }

int32_t DrawInt() { return DrawInteger<int32_t>(); }

std::string DrawName() {
  return *rc::gen::weightedOneOf<std::string>(
      {{4, rc::gen::element<std::string>("engine-0@0", "engine-1@0", "zone-0",
                                         "127.0.0.1:1")},
       {1, DrawBytes()}});
}

bool DrawFlag() { return *rc::gen::arbitrary<bool>(); }

template <class T, class Draw>
std::vector<T> DrawList(Draw draw) {
  constexpr int kMaxItems = 4;
  std::vector<T> items;
  const int count = *rc::gen::inRange(0, kMaxItems);
  items.reserve(static_cast<size_t>(count));
  for (int i = 0; i < count; ++i) items.push_back(draw());
  return items;
}

wire::EngineWork DrawWork() {
  wire::EngineWork work;
  work.id = DrawSpan();
  work.reading = DrawFlag();
  work.is_part = DrawFlag();
  work.is_late = DrawFlag();
  work.memory_tokens = DrawSpan();
  work.read_left_ms = DrawInt();
  work.end_left_ms = DrawInt();
  work.max_pause_ms = DrawInt();
  work.value_thousandths = DrawInt();
  work.patience_ms = DrawInt();
  work.read_ms = DrawInt();
  if (DrawFlag()) work.__set_first_event_left_ms(DrawInt());
  return work;
}

wire::EngineWorks DrawWorks() {
  wire::EngineWorks works;
  works.engine = DrawName();
  works.works = DrawList<wire::EngineWork>(&DrawWork);
  return works;
}

wire::EngineLimit DrawLimit() {
  wire::EngineLimit limit;
  limit.engine = DrawName();
  if (DrawFlag()) limit.__set_per_second_thousandths(DrawSpan());
  limit.stated_age_ms = DrawSpan();
  limit.sent = DrawSpan();
  limit.recently_sent = DrawSpan();
  limit.demand_thousandths = DrawSpan();
  if (DrawFlag()) limit.__set_cold_left_ms(DrawSpan());
  if (DrawFlag()) limit.__set_cold_age_ms(DrawSpan());
  return limit;
}

wire::CrashSuspect DrawSuspect() {
  wire::CrashSuspect suspect;
  suspect.id = DrawSpan();
  suspect.service_hash = DrawSpan();
  suspect.depth = DrawInt();
  suspect.sightings = DrawList<wire::CrashSighting>([] {
    wire::CrashSighting sighting;
    sighting.engine = DrawSpan();
    sighting.request = DrawSpan();
    sighting.sent_age_ms = DrawSpan();
    sighting.crash_age_ms = DrawSpan();
    return sighting;
  });
  if (DrawFlag()) suspect.__set_completed_age_ms(DrawSpan());
  suspect.others_completed = DrawFlag();
  if (DrawFlag()) suspect.__set_quarantine_level(DrawInt());
  suspect.quarantine_age_ms = DrawSpan();
  suspect.quarantine_left_ms = DrawSpan();
  suspect.is_whole_request = DrawFlag();
  return suspect;
}

wire::EntryLoad DrawLoad(int64_t sequence) {
  wire::EntryLoad load;
  load.process_id = DrawFlag() ? std::string("peer") : *DrawBytes();
  load.sequence = sequence;
  load.complete = DrawFlag();
  load.engines = DrawList<wire::EngineWorks>(&DrawWorks);
  load.config_version = DrawSpan();
  load.wants_reply = DrawFlag();
  load.engines_digest = DrawSpan();
  load.engines_offset = DrawSpan();
  load.engines_epoch = DrawSpan();
  if (DrawFlag()) load.__set_engines_age_ms(DrawSpan());
  if (DrawFlag()) load.__set_engines_available_ms(DrawSpan());
  load.limits = DrawList<wire::EngineLimit>(&DrawLimit);
  load.suspects = DrawList<wire::CrashSuspect>(&DrawSuspect);
  load.leaving_engines = DrawList<std::string>(&DrawName);
  load.departed_engines = DrawList<std::string>(&DrawName);
  if (DrawFlag()) load.__set_operator_epoch(DrawSpan());
  if (DrawFlag()) load.__set_operator_offset(DrawSpan());
  load.evacuations = DrawList<wire::EvacuatedDomain>([] {
    wire::EvacuatedDomain domain;
    domain.domain = DrawName();
    domain.hold_left_ms = DrawSpan();
    return domain;
  });
  if (DrawFlag()) {
    wire::TopicRead read;
    read.epoch = DrawSpan();
    read.offset = DrawSpan();
    read.age_ms = DrawSpan();
    load.__set_operator_read(read);
  }
  return load;
}

/// Sends datagrams from one address, and reads none of the answers.
class Sender {
 public:
  explicit Sender(uint16_t port) : m_socket(socket(AF_INET, SOCK_DGRAM, 0)) {
    m_to.sin_family = AF_INET;
    m_to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    m_to.sin_port = htons(port);
  }
  ~Sender() { close(m_socket); }
  Sender(const Sender&) = delete;
  Sender& operator=(const Sender&) = delete;
  void Send(const std::string& bytes) {
    sendto(m_socket, bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&m_to), sizeof(m_to));
  }

 private:
  int m_socket;
  sockaddr_in m_to{};
};

class DrawnDatagramsTest : public GatewayFixture {
  CPPUNIT_TEST_SUITE(DrawnDatagramsTest);
  CPPUNIT_TEST(HandleDatagram_AnyBytes_CallsGoOn);
  CPPUNIT_TEST_SUITE_END();

 public:
  // Guards against a datagram that ends a gateway, or makes it deaf to others.
  void HandleDatagram_AnyBytes_CallsGoOn() {
    AddEngine(&RespondOk);
    Configure();
    ShareEvacuations();
    const uint64_t exceptions = events::CountExceptions();
    Sender sender(m_peer_port);
    int64_t sequence = 0;
    testing::CheckProperty("any datagram", [&] {
      const std::string sound = Encode(DrawLoad(++sequence));
      const std::string drawn = *testing::DrawChanged(sound);
      sender.Send(drawn.substr(0, kMaxDatagramBytes));
      WaitForLoop();
      RC_ASSERT(events::CountExceptions() == exceptions);
      constexpr int kDatagramsPerCall = 20;
      if (sequence % kDatagramsPerCall != 0) return;
      // What peers say of engines' load, limits and departures keeps calls
      // from engines, so only a final answer is asked for.
      RC_ASSERT(Call("/call/x", {{"Left", "300"}}).status != 0);
    });
    Sender other(m_peer_port);
    const size_t before = CountEntries();
    wire::EntryLoad load;
    load.process_id = "another";
    load.sequence = 1;
    other.Send(Encode(load));
    const TimePoint deadline = SteadyClock().Now() + seconds(2);
    while (CountEntries() == before && SteadyClock().Now() < deadline) {
      std::this_thread::sleep_for(milliseconds(5));
    }
    CPPUNIT_ASSERT_EQUAL(before + 1, CountEntries());
  }

 private:
  /// The first pass lets the loop read what was sent.
  void WaitForLoop() {
    for (int i = 0; i < 2; ++i) RunOnLoop([] {});
  }
  void ShareEvacuations() {
    RunOnLoop([this] {
      m_peers->ShareEvacuations(
          std::make_shared<discovery::Evacuations>(seconds(5)),
          [](const discovery::Evacuations::Changes&) {});
    });
  }
  size_t CountEntries() {
    size_t count = 0;
    RunOnLoop([&] { count = m_peers->CountLiveEntries(); });
    return count;
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(DrawnDatagramsTest);

}  // namespace
}  // namespace peridotshelf::gateway
