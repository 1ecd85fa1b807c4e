/// Encoding of the datagrams that entries exchange.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/base/error.h"
#include "peridotshelf/discovery/cold_engines.h"
#include "peridotshelf/gateway/peer_exchange.h"
#include "peridotshelf/quarantine/suspect_record.h"
#include "peridotshelf/scheduling/active_request_table.h"
#include "peridotshelf/scheduling/engine_rate_limits.h"
#include "wire/gen-cpp/peridotshelf_types.h"

namespace peridotshelf::gateway {

inline constexpr size_t kMaxDatagramBytes = 60000;

std::string Encode(const wire::EntryLoad& load);
/// Returns kProtocol if `bytes` are no datagram of an entry.
Result<wire::EntryLoad> Decode(std::string_view bytes);

/// Returns whether `key` can be the key of a registered engine. Reports on
/// others are ignored, since entries of an older version may send them.
bool IsEngineKey(std::string_view key);
/// Returns the address in the text "IP:PORT" that an entry announced, or
/// nullopt if no process can have it.
std::optional<PeerAddress> ParsePeerAddress(std::string_view text);

/// Times are sent as durations from `now`, since entries' clocks differ.
wire::EngineWork ToWire(const scheduling::ActiveRequest& request,
                        TimePoint now);
scheduling::ActiveRequest FromWire(const wire::EngineWork& in, TimePoint now);
wire::EngineLimit ToWire(const std::string& engine,
                         const scheduling::RateLimitReport& report,
                         TimePoint now);
scheduling::RateLimitReport FromWire(const wire::EngineLimit& in,
                                     TimePoint now);
void AddToWire(const discovery::ColdBelief& belief, TimePoint now,
               wire::EngineLimit& out);
/// Returns nullopt if the report says nothing of a cold time.
std::optional<discovery::ColdBelief> ReadColdBelief(const wire::EngineLimit& in,
                                                    TimePoint now);
wire::CrashSuspect ToWire(const quarantine::SuspectRecord& record,
                          TimePoint now);
quarantine::SuspectRecord FromWire(const wire::CrashSuspect& in, TimePoint now);
/// Adds `report` to a datagram.
void WriteEvacuations(const discovery::EvacuationReport& report,
                      wire::EntryLoad& load);
/// Returns nullopt if the datagram has no evacuations, as those of entries that
/// do not know of evacuations.
std::optional<discovery::EvacuationReport> ReadEvacuations(
    const wire::EntryLoad& load);
RecordsProgress ReadProgress(const wire::EntryLoad& load, TimePoint now);

}  // namespace peridotshelf::gateway
