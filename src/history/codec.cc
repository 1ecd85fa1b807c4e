#include "peridotshelf/history/codec.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace nlohmann {

template <>
struct adl_serializer<std::chrono::nanoseconds> {
  static void to_json(json& out, std::chrono::nanoseconds value) {
    out = value.count();
  }
  static void from_json(const json& in, std::chrono::nanoseconds& value) {
    value = std::chrono::nanoseconds(in.get<int64_t>());
  }
};

}  // namespace nlohmann

namespace peridotshelf {

template <class Tag>
void to_json(nlohmann::json& out, const Id<Tag>& id) {
  out = id.value();
}
template <class Tag>
void from_json(const nlohmann::json& in, Id<Tag>& id) {
  id = Id<Tag>(in.get<std::string>());
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(AttemptId, request, number)

void to_json(nlohmann::json& out, const ErrorCode& code) {
  out = ToString(code);
}
void from_json(const nlohmann::json& in, ErrorCode& code) {
  const auto parsed = ParseErrorCode(in.get<std::string>());
  if (!parsed) {
    throw nlohmann::json::other_error::create(501, "unknown error code", &in);
  }
  code = *parsed;
}

}  // namespace peridotshelf

namespace peridotshelf::history {

template <class E>
struct EnumName {
  E value;
  std::string_view name;
};

constexpr std::array kRequestSizes = {
    EnumName<RequestSize>{RequestSize::kShort, "short"},
    EnumName<RequestSize>{RequestSize::kLong, "long"},
};
constexpr std::array kReservationStates = {
    EnumName<ReservationState>{ReservationState::kQueued, "queued"},
    EnumName<ReservationState>{ReservationState::kGranted, "granted"},
    EnumName<ReservationState>{ReservationState::kReleased, "released"},
};
constexpr std::array kExecutionOutcomes = {
    EnumName<ExecutionOutcome>{ExecutionOutcome::kCompleted, "completed"},
    EnumName<ExecutionOutcome>{ExecutionOutcome::kCancelled, "cancelled"},
    EnumName<ExecutionOutcome>{ExecutionOutcome::kFailed, "failed"},
};

template <class E, size_t N>
void WriteEnum(const std::array<EnumName<E>, N>& names, nlohmann::json& out,
               E value) {
  for (const auto& entry : names) {
    if (entry.value == value) out = entry.name;
  }
}

template <class E, size_t N>
E ReadEnum(const std::array<EnumName<E>, N>& names, const nlohmann::json& in) {
  const auto text = in.get<std::string>();
  for (const auto& entry : names) {
    if (entry.name == text) return entry.value;
  }
  throw nlohmann::json::other_error::create(501, "unknown enumerator " + text,
                                            &in);
}

void to_json(nlohmann::json& out, const RequestSize& value) {
  WriteEnum(kRequestSizes, out, value);
}
void from_json(const nlohmann::json& in, RequestSize& value) {
  value = ReadEnum(kRequestSizes, in);
}
void to_json(nlohmann::json& out, const ReservationState& value) {
  WriteEnum(kReservationStates, out, value);
}
void from_json(const nlohmann::json& in, ReservationState& value) {
  value = ReadEnum(kReservationStates, in);
}
void to_json(nlohmann::json& out, const ExecutionOutcome& value) {
  WriteEnum(kExecutionOutcomes, out, value);
}
void from_json(const nlohmann::json& in, ExecutionOutcome& value) {
  value = ReadEnum(kExecutionOutcomes, in);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Invocation, call, entry, size, budget,
                                   unrepeatable, idempotency_key, expected_text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Admission, call, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Reservation, attempt, backend, state,
                                   memory_tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExecutionBegin, attempt, backend,
                                   idempotency_key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ExecutionEnd, attempt, backend, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChunkProduced, attempt, backend, offset,
                                   text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChunkReceived, call, offset, text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Answer, call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Refusal, call, code, not_run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CallerConnectionLost, call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HangUp, call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(GivenUp, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ChangeAccepted, version, preset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ControlInForce, version, preset)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MemoryHeld, backend, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeaveMark, backend)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PlannedStop, process, backends)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProcessStarted, process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProcessEnded, process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProcessKilled, process, backends)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProcessFrozen, process, backends)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ProcessThawed, process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LogAvailability, available)

namespace {

constexpr size_t kKinds = std::variant_size_v<EventBody>;

/// Names of the alternatives of EventBody, in the same order.
constexpr std::array<std::string_view, kKinds> kKindNames = {
    "invocation",      "admission",
    "reservation",     "execution_begin",
    "execution_end",   "chunk_produced",
    "chunk_received",  "answer",
    "refusal",         "caller_connection_lost",
    "hang_up",         "given_up",
    "change_accepted", "control_in_force",
    "memory_held",     "leave_mark",
    "planned_stop",    "process_started",
    "process_ended",   "process_killed",
    "process_frozen",  "process_thawed",
    "log_availability"};

template <size_t kKind>
EventBody ReadBody(const nlohmann::json& in) {
  return in.get<std::variant_alternative_t<kKind, EventBody>>();
}

template <size_t... kIndexes>
EventBody ReadBodyOfKind(size_t kind, const nlohmann::json& in,
                         std::index_sequence<kIndexes...>) {
  constexpr std::array kReaders = {&ReadBody<kIndexes>...};
  return kReaders[kind](in);
}

size_t FindKind(const nlohmann::json& in) {
  const auto name = in.at("kind").get<std::string>();
  for (size_t kind = 0; kind < kKinds; ++kind) {
    if (kKindNames[kind] == name) return kind;
  }
  throw nlohmann::json::other_error::create(501, "unknown event kind " + name,
                                            &in);
}

}  // namespace

std::string FormatEvent(const HistoryEvent& event) {
  nlohmann::json line;
  std::visit([&](const auto& body) { line = body; }, event.body);
  line["kind"] = kKindNames[event.body.index()];
  line["time"] = event.time.time_since_epoch().count();
  line["by"] = event.process;
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Result<HistoryEvent> ParseEvent(std::string_view line) {
  try {
    const auto in = nlohmann::json::parse(line);
    HistoryEvent event;
    event.time = TimePoint(in.at("time").get<Duration>());
    event.process = in.at("by").get<ProcessId>();
    event.body =
        ReadBodyOfKind(FindKind(in), in, std::make_index_sequence<kKinds>());
    return event;
  } catch (const nlohmann::json::exception& error) {
    return Fail(ErrorCode::kInvalidField, error.what());
  }
}

}  // namespace peridotshelf::history
