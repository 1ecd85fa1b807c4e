#include "peer_messages.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <cmath>
#include <memory>

namespace peridotshelf::gateway {
namespace {

using apache::thrift::protocol::TCompactProtocolT;
using apache::thrift::transport::TMemoryBuffer;
using scheduling::ActiveRequest;

constexpr double kThousandthsPerUnit = 1000.0;
/// Bounds the effect of a wrong report.
constexpr int64_t kMaxColdMs = int64_t{10} * 60 * 1000;
/// Stands for the age of a statement that the engine never made; 10 years.
constexpr int64_t kNeverStatedMs = int64_t{10} * 365 * 24 * 3600 * 1000;

/// Longer spans of a report are taken for this one: the clock's arithmetic
/// would overflow.
constexpr int64_t kMaxSpanMs = kNeverStatedMs;

std::chrono::milliseconds ReadSpan(int64_t millis) {
  return std::chrono::milliseconds(std::clamp<int64_t>(millis, 0, kMaxSpanMs));
}

int32_t MillisUntil(TimePoint now, TimePoint at) {
  return static_cast<int32_t>(std::max<int64_t>(0, ToMilliseconds(at - now)));
}

}  // namespace

std::string Encode(const wire::EntryLoad& load) {
  auto buffer = std::make_shared<TMemoryBuffer>();
  TCompactProtocolT<TMemoryBuffer> protocol(buffer);
  load.write(&protocol);
  return buffer->getBufferAsString();
}

Result<wire::EntryLoad> Decode(std::string_view bytes) {
  try {
    std::string copy(bytes);
    auto buffer =
        std::make_shared<TMemoryBuffer>(reinterpret_cast<uint8_t*>(copy.data()),
                                        static_cast<uint32_t>(copy.size()));
    TCompactProtocolT<TMemoryBuffer> protocol(
        buffer, static_cast<int32_t>(kMaxDatagramBytes),
        static_cast<int32_t>(kMaxDatagramBytes));
    wire::EntryLoad load;
    load.read(&protocol);
    return load;
  } catch (const std::exception& error) {
    return Fail(ErrorCode::kProtocol, error.what());
  }
}

wire::EngineWork ToWire(const ActiveRequest& request, TimePoint now) {
  wire::EngineWork out;
  out.id = static_cast<int64_t>(request.id);
  out.reading = request.is_prefilling;
  out.is_part = request.is_prefill_shard;
  out.is_late = request.missed_objective;
  out.memory_tokens = request.memory_tokens;
  out.read_left_ms = MillisUntil(now, request.prefill_end);
  if (request.first_event_at) {
    out.__set_first_event_left_ms(
        static_cast<int32_t>(ToMilliseconds(*request.first_event_at - now)));
  }
  out.read_ms = static_cast<int32_t>(std::lround(request.prefill_ms));
  out.end_left_ms = MillisUntil(now, request.end);
  out.max_pause_ms = static_cast<int32_t>(request.max_pause_ms);
  out.patience_ms = static_cast<int32_t>(request.caller_timeout_ms);
  out.value_thousandths =
      static_cast<int32_t>(request.value * kThousandthsPerUnit);
  return out;
}

ActiveRequest FromWire(const wire::EngineWork& in, TimePoint now) {
  ActiveRequest request;
  request.id = static_cast<uint64_t>(in.id);
  request.is_prefilling = in.reading;
  request.is_prefill_shard = in.is_part;
  request.missed_objective = in.is_late;
  request.memory_tokens = std::max<int64_t>(in.memory_tokens, 0);
  request.prefill_end = now + std::chrono::milliseconds(in.read_left_ms);
  request.prefill_ms = std::max(in.read_ms, 0);
  if (in.__isset.first_event_left_ms) {
    request.first_event_at =
        now + std::chrono::milliseconds(in.first_event_left_ms);
  }
  request.end = now + std::chrono::milliseconds(in.end_left_ms);
  request.max_pause_ms = in.max_pause_ms;
  request.caller_timeout_ms = in.patience_ms;
  request.value = in.value_thousandths / kThousandthsPerUnit;
  return request;
}

wire::EngineLimit ToWire(const std::string& engine,
                         const scheduling::RateLimitReport& report,
                         TimePoint now) {
  wire::EngineLimit out;
  out.engine = engine;
  if (report.per_second) {
    out.__set_per_second_thousandths(
        std::llround(*report.per_second * kThousandthsPerUnit));
  }
  out.stated_age_ms = report.stated_at == TimePoint{}
                          ? kNeverStatedMs
                          : ToMilliseconds(now - report.stated_at);
  out.sent = report.sent;
  out.recently_sent = report.recently_sent;
  out.demand_thousandths =
      std::llround(report.demand_per_second * kThousandthsPerUnit);
  return out;
}

scheduling::RateLimitReport FromWire(const wire::EngineLimit& in,
                                     TimePoint now) {
  scheduling::RateLimitReport report;
  if (in.__isset.per_second_thousandths) {
    report.per_second =
        static_cast<double>(in.per_second_thousandths) / kThousandthsPerUnit;
  }
  if (in.stated_age_ms < kNeverStatedMs) {
    report.stated_at = now - ReadSpan(in.stated_age_ms);
  }
  report.sent = in.sent;
  report.recently_sent = std::max<int64_t>(in.recently_sent, 0);
  report.demand_per_second =
      static_cast<double>(in.demand_thousandths) / kThousandthsPerUnit;
  return report;
}

void AddToWire(const discovery::ColdBelief& belief, TimePoint now,
               wire::EngineLimit& out) {
  out.__set_cold_left_ms(ToMilliseconds(belief.until - now));
  out.__set_cold_age_ms(ToMilliseconds(now - belief.known_at));
}

std::optional<discovery::ColdBelief> ReadColdBelief(const wire::EngineLimit& in,
                                                    TimePoint now) {
  if (!in.__isset.cold_left_ms) return std::nullopt;
  const auto bounded = [](int64_t millis) {
    return std::chrono::milliseconds(
        std::clamp<int64_t>(millis, 0, kMaxColdMs));
  };
  return discovery::ColdBelief{now + bounded(in.cold_left_ms),
                               now - bounded(in.cold_age_ms),
                               discovery::ColdSource::kPeer};
}

wire::CrashSuspect ToWire(const quarantine::SuspectRecord& record,
                          TimePoint now) {
  wire::CrashSuspect out;
  out.id = static_cast<int64_t>(record.id);
  out.service_hash = static_cast<int64_t>(record.service);
  out.depth = record.depth;
  out.is_whole_request = record.kind == quarantine::SuspectKind::kRequest;
  out.others_completed = record.has_others_completed;
  for (const quarantine::CrashSighting& sighting : record.sightings) {
    wire::CrashSighting& added = out.sightings.emplace_back();
    added.engine = static_cast<int64_t>(sighting.engine);
    added.request = static_cast<int64_t>(sighting.request);
    added.sent_age_ms = ToMilliseconds(now - sighting.sent_at);
    added.crash_age_ms = ToMilliseconds(now - sighting.crashed_at);
  }
  if (record.completed_at) {
    out.__set_completed_age_ms(ToMilliseconds(now - *record.completed_at));
  }
  if (record.quarantine) {
    out.__set_quarantine_level(record.quarantine->level);
    out.quarantine_age_ms = ToMilliseconds(now - record.quarantine->since);
    out.quarantine_left_ms = ToMilliseconds(record.quarantine->until - now);
  }
  return out;
}

quarantine::SuspectRecord FromWire(const wire::CrashSuspect& in,
                                   TimePoint now) {
  const auto ago = [now](int64_t millis) { return now - ReadSpan(millis); };
  quarantine::SuspectRecord record;
  record.id = static_cast<quarantine::SuspectId>(in.id);
  record.service = static_cast<uint64_t>(in.service_hash);
  record.depth = in.depth;
  record.kind = in.is_whole_request ? quarantine::SuspectKind::kRequest
                                    : quarantine::SuspectKind::kPromptPart;
  record.has_others_completed = in.others_completed;
  for (const wire::CrashSighting& sighting : in.sightings) {
    record.sightings.push_back({static_cast<uint64_t>(sighting.engine),
                                static_cast<uint64_t>(sighting.request),
                                ago(sighting.sent_age_ms),
                                ago(sighting.crash_age_ms)});
  }
  if (in.__isset.completed_age_ms) {
    record.completed_at = ago(in.completed_age_ms);
  }
  if (in.__isset.quarantine_level) {
    record.quarantine = {
        in.quarantine_level, ago(in.quarantine_age_ms),
        now + std::chrono::milliseconds(
                  std::clamp(in.quarantine_left_ms, -kMaxSpanMs, kMaxSpanMs))};
  }
  return record;
}

void WriteEvacuations(const discovery::EvacuationReport& report,
                      wire::EntryLoad& load) {
  load.__set_operator_epoch(report.position.epoch);
  load.__set_operator_offset(report.position.offset);
  for (const discovery::ReportedEvacuation& reported : report.evacuations) {
    wire::EvacuatedDomain& added = load.evacuations.emplace_back();
    added.domain = reported.domain.value();
    // 0 means that there is a record, so a hold is never rounded down to it.
    if (reported.hold_left > Duration::zero()) {
      added.hold_left_ms =
          std::max<int64_t>(1, ToMilliseconds(reported.hold_left));
    }
  }
}

std::optional<discovery::EvacuationReport> ReadEvacuations(
    const wire::EntryLoad& load) {
  if (!load.__isset.operator_epoch || !load.__isset.operator_offset) {
    return std::nullopt;
  }
  // Longer than any hold, and short enough for the clock's arithmetic.
  constexpr int64_t kMaxHoldMilliseconds = 3'600'000;
  discovery::EvacuationReport report;
  report.position = {load.operator_epoch, load.operator_offset};
  for (const wire::EvacuatedDomain& domain : load.evacuations) {
    report.evacuations.push_back(
        {FailureDomain(domain.domain),
         std::chrono::milliseconds(std::clamp<int64_t>(domain.hold_left_ms, 0,
                                                       kMaxHoldMilliseconds))});
  }
  return report;
}

RecordsProgress ReadProgress(const wire::EntryLoad& load, TimePoint now) {
  RecordsProgress progress;
  progress.configuration_version = load.config_version;
  progress.engines_digest = load.engines_digest;
  progress.engines_position = {load.engines_epoch, load.engines_offset};
  progress.departed_engines = load.departed_engines;
  const auto before_now = [now](int64_t millis) {
    return now - ReadSpan(millis);
  };
  if (load.__isset.operator_read) {
    const wire::TopicRead& read = load.operator_read;
    progress.operator_read = {{read.epoch, read.offset},
                              before_now(read.age_ms)};
  }
  if (load.__isset.engines_age_ms && load.__isset.engines_available_ms) {
    progress.registry_reads = {before_now(load.engines_available_ms),
                               before_now(load.engines_age_ms)};
  }
  return progress;
}

}  // namespace peridotshelf::gateway
