#include "peridotshelf/control/log_state.h"

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "control/json_fields.h"
#include "control/record_json.h"

namespace peridotshelf::control {
namespace {

using detail::FindPreset;
using detail::JsonFields;
using detail::kOffsets;
using detail::ParseBounded;
using detail::Presence;
using nlohmann::json;

constexpr std::array<std::pair<RecordOutcome, std::string_view>, 8> kOutcomes =
    {{
        {RecordOutcome::kAccepted, "accepted"},
        {RecordOutcome::kStaleBaseVersion, "lost_to_version"},
        {RecordOutcome::kInvalid, "invalid"},
        {RecordOutcome::kUnknownVersion, "unknown_version"},
        {RecordOutcome::kRecordTooLarge, "oversize"},
        {RecordOutcome::kMalformed, "torn"},
        {RecordOutcome::kDuplicate, "duplicate"},
        {RecordOutcome::kNotConfigurationChange, "not_a_change"},
    }};

/// A record whose JSON could be read.
struct ParsedRecord {
  RecordHeader header;
  json value;
};

bool IsChange(RecordKind kind) {
  return kind == RecordKind::kConfig || kind == RecordKind::kPreset ||
         kind == RecordKind::kDrain || kind == RecordKind::kUndrain;
}

bool NeedsBase(RecordKind kind) {
  return kind == RecordKind::kConfig || kind == RecordKind::kPreset;
}

/// Whether `text` may be a change id or host: such names stand in snapshots,
/// whose size is bounded because they need no escapes.
bool IsPlainName(std::string_view text) {
  return text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return c > ' ' && c < 0x7F && c != '"' && c != '\\';
         });
}

/// A name that is printable ASCII and not too long; "" after noting a fault.
std::string ReadPlainName(JsonFields& fields, const std::string& name) {
  std::string text = fields.Text(name);
  if (IsPlainName(text)) return text;
  fields.AddFault(fields.PathOf(name),
                  "must be printable ASCII without quotes, at most " +
                      std::to_string(kMaxNameBytes) + " bytes");
  return {};
}

/// Reads the header's fields into `result`, with faults.
void ReadHeader(const json& value, RecordResult& result) {
  JsonFields fields(value, "", result.faults);
  RecordHeader& header = result.header;
  header.change_id = ReadPlainName(fields, "change_id");
  header.operator_name = fields.Text("operator", Presence::kOptional);
  if (header.operator_name.size() > kMaxNameBytes) {
    fields.AddFault("/operator", "is too long");
  }
  if (const json* time = fields.Find("time", Presence::kOptional)) {
    if (time->is_string()) header.time = time->get<std::string>();
  }
  header.base_version = fields.Integer(
      "base_version",
      NeedsBase(header.kind) ? Presence::kRequired : Presence::kOptional, 0,
      kOffsets);
  const json* body = fields.Find("body", Presence::kRequired);
  if (body != nullptr && !body->is_object()) {
    fields.AddFault("/body", "must be an object");
  }
}

/// Puts the document in force if it is valid.
void ApplyConfig(LogState& state, const json& body,
                 ConfigurationErrors& faults) {
  auto document = std::make_shared<const std::string>(body.dump());
  ConfigurationResult read = ReadConfiguration(*document);
  if (!read) {
    for (const ConfigurationError& fault : read.error()) {
      faults.push_back({"/body" + fault.path, fault.message});
    }
    return;
  }
  ControlState& control = state.control;
  if (!control.preset.empty() && !FindPreset(**read, control.preset)) {
    faults.push_back(
        {"/body/presets", "lacks the preset in force: " + control.preset});
    return;
  }
  if (control.preset.empty()) control.preset = (*read)->initial_preset;
  control.configuration = std::move(*read);
  state.document = std::move(document);
}

void ApplyPreset(LogState& state, const json& body,
                 ConfigurationErrors& faults) {
  JsonFields fields(body, "/body", faults);
  const std::string name = fields.Text("name");
  fields.RejectUnknown();
  if (!faults.empty()) return;
  ControlState& control = state.control;
  if (!control.configuration || !FindPreset(*control.configuration, name)) {
    fields.AddFault("/body/name", "names a preset that is not configured");
    return;
  }
  control.preset = name;
}

void ApplyDrain(LogState& state, RecordKind kind, const json& body,
                ConfigurationErrors& faults) {
  JsonFields fields(body, "/body", faults);
  const std::string name = ReadPlainName(fields, "host");
  fields.RejectUnknown();
  if (!faults.empty()) return;
  std::set<HostId>& draining = state.control.draining;
  const HostId host(name);
  if (kind == RecordKind::kUndrain) {
    if (draining.erase(host) == 0) {
      fields.AddFault("/body/host", "is not draining");
    }
    return;
  }
  if (draining.size() >= kMaxDraining && !draining.contains(host)) {
    fields.AddFault("/body/host", "too many hosts are draining");
    return;
  }
  draining.insert(host);
}

void ApplyBody(LogState& state, const json& value, RecordResult& result) {
  const json& body = value.at("body");
  switch (result.header.kind) {
    case RecordKind::kConfig:
      return ApplyConfig(state, body, result.faults);
    case RecordKind::kPreset:
      return ApplyPreset(state, body, result.faults);
    default:
      return ApplyDrain(state, result.header.kind, body, result.faults);
  }
}

const RememberedChange* FindRemembered(const LogState& state,
                                       const std::string& change_id) {
  const auto it = std::find_if(state.recent.begin(), state.recent.end(),
                               [&](const RememberedChange& change) {
                                 return change.change_id == change_id;
                               });
  return it == state.recent.end() ? nullptr : &*it;
}

/// Judges a change that is not a repetition.
RecordOutcome JudgeNew(LogState& state, const json& value,
                       RecordResult& result) {
  const RecordHeader& header = result.header;
  ControlState& control = state.control;
  if (NeedsBase(header.kind)) {
    if (header.base_version > control.version) {
      result.faults.push_back(
          {"/base_version", "is newer than the version in force"});
      return RecordOutcome::kInvalid;
    }
    if (header.base_version < control.settings_version) {
      return RecordOutcome::kStaleBaseVersion;
    }
  }
  ApplyBody(state, value, result);
  if (!result.faults.empty()) return RecordOutcome::kInvalid;
  control.version = result.offset;
  if (NeedsBase(header.kind)) control.settings_version = result.offset;
  return RecordOutcome::kAccepted;
}

/// Judges a change whose header is valid, and remembers it.
RecordOutcome JudgeChange(LogState& state, const json& value,
                          RecordResult& result) {
  const std::string& change_id = result.header.change_id;
  if (const RememberedChange* first = FindRemembered(state, change_id)) {
    result.first_offset = first->offset;
    result.first_outcome = first->outcome;
    return RecordOutcome::kDuplicate;
  }
  const RecordOutcome outcome = JudgeNew(state, value, result);
  state.recent.push_back({change_id, result.offset, outcome});
  if (state.recent.size() > kRememberedChanges) state.recent.pop_front();
  return outcome;
}

RecordOutcome Judge(LogState& state, const std::string& payload,
                    RecordResult& result) {
  if (payload.size() > kMaxRecordBytes) return RecordOutcome::kRecordTooLarge;
  const json value = ParseBounded(payload);
  if (!value.is_object()) return RecordOutcome::kMalformed;
  const auto version = value.find("v");
  if (version == value.end() || *version != kRecordVersion) {
    return RecordOutcome::kUnknownVersion;
  }
  const auto kind = value.find("kind");
  const std::optional<RecordKind> known =
      kind != value.end() && kind->is_string()
          ? ParseRecordKind(kind->get_ref<const std::string&>())
          : std::nullopt;
  if (!known) return RecordOutcome::kUnknownVersion;
  result.header.kind = *known;
  if (IsChange(*known) && payload.size() > kMaxChangeBytes) {
    return RecordOutcome::kRecordTooLarge;
  }
  ReadHeader(value, result);
  if (!IsChange(*known)) return RecordOutcome::kNotConfigurationChange;
  if (!result.faults.empty()) return RecordOutcome::kInvalid;
  return JudgeChange(state, value, result);
}

}  // namespace

std::string_view ToString(RecordOutcome outcome) {
  for (const auto& [value, name] : kOutcomes) {
    if (value == outcome) return name;
  }
  return "unknown";
}

std::optional<RecordOutcome> ParseRecordOutcome(std::string_view name) {
  for (const auto& [value, outcome_name] : kOutcomes) {
    if (outcome_name == name) return value;
  }
  return std::nullopt;
}

RecordResult ApplyRecord(LogState& state, const platform::LogRecord& record) {
  RecordResult result;
  result.offset = record.offset;
  result.outcome = Judge(state, record.payload, result);
  result.version = state.control.version;
  state.applied_offset = record.offset;
  if (result.outcome != RecordOutcome::kAccepted &&
      result.outcome != RecordOutcome::kNotConfigurationChange) {
    ++state.rejected_count;
  }
  return result;
}

}  // namespace peridotshelf::control
