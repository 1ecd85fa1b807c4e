/// Encoding of frames: a length of four bytes (big-endian), followed by a
/// `Frame` in Thrift's compact protocol.
#pragma once

#include <cstddef>
#include <span>
#include <string>

#include "peridotshelf/base/error.h"
#include "peridotshelf/base/ids.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::wire {

/// Both ends of a connection must use the same version.
inline constexpr int32_t kProtocolVersion = 1;
/// Size of the length prefix of each frame.
inline constexpr size_t kLengthBytes = 4;
/// Maximum size of a frame without its length prefix; a larger frame is refused
/// and its connection dropped.
inline constexpr size_t kMaxFrameBytes = size_t{1} << 20;
/// Payloads are split into parts of this size, so that heartbeats can be sent
/// in between.
inline constexpr size_t kPayloadPartBytes = size_t{128} << 10;

/// Returns the encoded frame with its length prefix.
std::string Encode(const Frame& frame);

/// Returns the frame length in `header`. Fails with kProtocol if it is 0 or
/// over the limit.
Result<size_t> DecodeLength(
    std::span<const unsigned char, kLengthBytes> header);

/// Decodes the frame in `body`. Fails with kProtocol if it is malformed.
Result<Frame> Decode(std::span<const unsigned char> body);

Attempt ToWire(const AttemptId& id);
AttemptId FromWire(const Attempt& attempt);

}  // namespace peridotshelf::wire
