/// Frames to bytes and back: four bytes of length (big-endian), then a `Frame`
/// in Thrift's compact protocol.
#pragma once

#include <cstddef>
#include <span>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::wire {

/// Both ends of a connection must speak the same version.
inline constexpr int32_t kProtocolVersion = 1;
/// Bytes of the length that precedes each frame.
inline constexpr size_t kLengthBytes = 4;
/// A larger frame is refused and its connection dropped.
inline constexpr size_t kMaxFrameBytes = size_t{1} << 20;
/// Payloads are cut into parts of this size so that heartbeats pass between.
inline constexpr size_t kPayloadPartBytes = size_t{128} << 10;

/// The frame with its length in front.
std::string Encode(const Frame& frame);

/// The length that `header` announces, or kProtocol if it is over the limit.
Result<size_t> DecodeLength(
    std::span<const unsigned char, kLengthBytes> header);

/// The frame in `body`, or kProtocol.
Result<Frame> Decode(std::span<const unsigned char> body);

/// `id` as it is sent.
Attempt ToWire(const AttemptId& id);
/// `attempt` as the program uses it.
AttemptId FromWire(const Attempt& attempt);

}  // namespace peridotshelf::wire
