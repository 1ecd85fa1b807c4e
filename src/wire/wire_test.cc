#include <string>
#include <vector>

#include "peridotshelf/testing/test.h"
#include "peridotshelf/wire/codec.h"

namespace peridotshelf::wire {
namespace {

std::span<const unsigned char> ToBytes(const std::string& text) {
  return {reinterpret_cast<const unsigned char*>(text.data()), text.size()};
}

class CodecTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(CodecTest);
  CPPUNIT_TEST(Chunk_Encoded_DecodesToSameFrame);
  CPPUNIT_TEST(Decode_AnyBytes_FailsAsProtocolErrorOrSucceeds);
  CPPUNIT_TEST(Length_OverLimit_IsRefused);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Chunk_Encoded_DecodesToSameFrame() {
    testing::CheckProperty(
        "chunk", [](const std::string& request, int32_t number, int64_t offset,
                    const std::string& data) {
          Frame frame;
          Chunk chunk;
          chunk.attempt = ToWire({RequestId(request), number});
          chunk.offset = offset;
          chunk.data = data;
          frame.__set_chunk(chunk);
          const std::string bytes = Encode(frame);
          const Result<Frame> decoded =
              Decode(ToBytes(bytes).subspan(kLengthBytes));
          RC_ASSERT(decoded.has_value());
          RC_ASSERT(*decoded == frame);
        });
  }
  void Decode_AnyBytes_FailsAsProtocolErrorOrSucceeds() {
    testing::CheckProperty(
        "garbage", [](const std::vector<unsigned char>& bytes) {
          const Result<Frame> decoded = Decode(bytes);
          if (!decoded) RC_ASSERT(decoded.error().code == ErrorCode::kProtocol);
        });
  }
  void Length_OverLimit_IsRefused() {
    const unsigned char huge[kLengthBytes] = {0x7F, 0, 0, 0};
    CPPUNIT_ASSERT(!DecodeLength(huge).has_value());
    const unsigned char small[kLengthBytes] = {0, 0, 1, 0};
    CPPUNIT_ASSERT(DecodeLength(small).value() == 256);
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(CodecTest);

}  // namespace
}  // namespace peridotshelf::wire
