#include "peridotshelf/wire/codec.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>

namespace peridotshelf::wire {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;

}  // namespace

std::string Encode(const Frame& frame) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  frame.write(&protocol);
  uint8_t* data = nullptr;
  uint32_t size = 0;
  buffer->getBuffer(&data, &size);
  std::string out;
  out.reserve(kLengthBytes + size);
  for (int shift = 24; shift >= 0; shift -= 8) {
    out.push_back(static_cast<char>((size >> shift) & 0xFF));
  }
  out.append(reinterpret_cast<const char*>(data), size);
  return out;
}

Result<size_t> DecodeLength(
    std::span<const unsigned char, kLengthBytes> header) {
  size_t length = 0;
  for (unsigned char byte : header) length = (length << 8) | byte;
  if (length == 0 || length > kMaxFrameBytes) {
    return Fail(ErrorCode::kProtocol,
                "invalid frame length of " + std::to_string(length) + " bytes");
  }
  return length;
}

Result<Frame> Decode(std::span<const unsigned char> body) {
  try {
    auto buffer = std::make_shared<TMemoryBuffer>(
        const_cast<uint8_t*>(body.data()), static_cast<uint32_t>(body.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, static_cast<int32_t>(kMaxFrameBytes),
        static_cast<int32_t>(kMaxFrameBytes));
    Frame frame;
    frame.read(&protocol);
    return frame;
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kProtocol, error.what());
  }
}

Attempt ToWire(const AttemptId& id) {
  Attempt attempt;
  attempt.request = id.request.value();
  attempt.number = id.number;
  return attempt;
}

AttemptId FromWire(const Attempt& attempt) {
  return {RequestId(attempt.request), attempt.number};
}

}  // namespace peridotshelf::wire
