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

constexpr std::array<std::pair<RecordOutcome, std::string_view>, 8>
    kOutcomeNames = {{
        {RecordOutcome::kAccepted, "accepted"},
        {RecordOutcome::kStaleBaseVersion, "lost_to_version"},
        {RecordOutcome::kInvalid, "invalid"},
        {RecordOutcome::kUnknownVersion, "unknown_version"},
        {RecordOutcome::kRecordTooLarge, "oversize"},
        {RecordOutcome::kMalformed, "torn"},
        {RecordOutcome::kDuplicate, "duplicate"},
        {RecordOutcome::kNotConfigurationChange, "not_a_change"},
    }};

/// A record that is valid JSON.
struct ParsedRecord {
  RecordHeader header;
  json value;
};

bool IsControlChange(RecordKind kind) {
  return kind == RecordKind::kConfig || kind == RecordKind::kPreset ||
         kind == RecordKind::kDrain || kind == RecordKind::kUndrain;
}

bool RequiresBaseVersion(RecordKind kind) {
  return kind == RecordKind::kConfig || kind == RecordKind::kPreset;
}

/// Whether `text` is allowed as a change id or host name. Snapshots contain
/// these names, and characters that need escapes would break their size limit.
bool IsPlainName(std::string_view text) {
  return text.size() <= kMaxNameBytes &&
         std::all_of(text.begin(), text.end(), [](char c) {
           return c > ' ' && c < 0x7F && c != '"' && c != '\\';
         });
}

/// Reads a name that is printable ASCII and not too long. Adds an error and
/// returns "" otherwise.
std::string ReadPlainName(JsonFields& fields, const std::string& name) {
  std::string text = fields.ReadString(name);
  if (IsPlainName(text)) return text;
  fields.AddError(fields.GetFieldPath(name),
                  "must be printable ASCII without quotes, at most " +
                      std::to_string(kMaxNameBytes) + " bytes");
  return {};
}

/// Reads the header fields and their errors into `result`.
void ReadHeader(const json& value, RecordResult& result) {
  JsonFields fields(value, "", result.errors);
  RecordHeader& header = result.header;
  header.change_id = ReadPlainName(fields, "change_id");
  header.operator_name = fields.ReadString("operator", Presence::kOptional);
  if (header.operator_name.size() > kMaxNameBytes) {
    fields.AddError("/operator", "is too long");
  }
  if (const json* time = fields.Find("time", Presence::kOptional)) {
    if (time->is_string()) header.time = time->get<std::string>();
  }
  header.base_version =
      fields.ReadInteger("base_version",
                         RequiresBaseVersion(header.kind) ? Presence::kRequired
                                                          : Presence::kOptional,
                         0, kOffsets);
  const json* body = fields.Find("body", Presence::kRequired);
  if (body != nullptr && !body->is_object()) {
    fields.AddError("/body", "must be an object");
  }
}

/// Makes the document the active configuration if it is valid.
void ApplyConfig(LogState& state, const json& body,
                 ConfigurationErrors& errors) {
  auto document = std::make_shared<const std::string>(body.dump());
  ConfigurationResult read = ReadConfiguration(*document);
  if (!read) {
    for (const ConfigurationError& error : read.error()) {
      errors.push_back({"/body" + error.path, error.message});
    }
    return;
  }
  ControlState& control = state.control;
  if (!control.preset.empty() && !FindPreset(**read, control.preset)) {
    errors.push_back({"/body/presets",
                      "does not contain the active preset: " + control.preset});
    return;
  }
  if (control.preset.empty()) control.preset = (*read)->initial_preset;
  control.configuration = std::move(*read);
  state.document = std::move(document);
}

void ApplyPreset(LogState& state, const json& body,
                 ConfigurationErrors& errors) {
  JsonFields fields(body, "/body", errors);
  const std::string name = fields.ReadString("name");
  fields.RejectUnknownFields();
  if (!errors.empty()) return;
  ControlState& control = state.control;
  if (!control.configuration || !FindPreset(*control.configuration, name)) {
    fields.AddError("/body/name", "is not the name of a configured preset");
    return;
  }
  control.preset = name;
}

void ApplyDrain(LogState& state, RecordKind kind, const json& body,
                ConfigurationErrors& errors) {
  JsonFields fields(body, "/body", errors);
  const std::string name = ReadPlainName(fields, "host");
  fields.RejectUnknownFields();
  if (!errors.empty()) return;
  std::set<HostId>& draining = state.control.draining;
  const HostId host(name);
  if (kind == RecordKind::kUndrain) {
    if (draining.erase(host) == 0) {
      fields.AddError("/body/host", "is not draining");
    }
    return;
  }
  if (draining.size() >= kMaxDrainingHosts && !draining.contains(host)) {
    fields.AddError("/body/host", "too many hosts are draining");
    return;
  }
  draining.insert(host);
}

void ApplyBody(LogState& state, const json& value, RecordResult& result) {
  const json& body = value.at("body");
  switch (result.header.kind) {
    case RecordKind::kConfig:
      return ApplyConfig(state, body, result.errors);
    case RecordKind::kPreset:
      return ApplyPreset(state, body, result.errors);
    default:
      return ApplyDrain(state, result.header.kind, body, result.errors);
  }
}

const RememberedChange* FindRememberedChange(const LogState& state,
                                             const std::string& change_id) {
  const auto it =
      std::find_if(state.recent_changes.begin(), state.recent_changes.end(),
                   [&](const RememberedChange& change) {
                     return change.change_id == change_id;
                   });
  return it == state.recent_changes.end() ? nullptr : &*it;
}

/// Applies a change that is not a duplicate.
RecordOutcome ApplyNewChange(LogState& state, const json& value,
                             RecordResult& result) {
  const RecordHeader& header = result.header;
  ControlState& control = state.control;
  if (RequiresBaseVersion(header.kind)) {
    if (header.base_version > control.version) {
      result.errors.push_back(
          {"/base_version", "is newer than the active version"});
      return RecordOutcome::kInvalid;
    }
    if (header.base_version < control.settings_version) {
      return RecordOutcome::kStaleBaseVersion;
    }
  }
  ApplyBody(state, value, result);
  if (!result.errors.empty()) return RecordOutcome::kInvalid;
  control.version = result.offset;
  if (RequiresBaseVersion(header.kind))
    control.settings_version = result.offset;
  return RecordOutcome::kAccepted;
}

/// Applies a change with a valid header, and stores its id and outcome.
RecordOutcome ApplyChange(LogState& state, const json& value,
                          RecordResult& result) {
  const std::string& change_id = result.header.change_id;
  if (const RememberedChange* first = FindRememberedChange(state, change_id)) {
    result.first_offset = first->offset;
    result.first_outcome = first->outcome;
    return RecordOutcome::kDuplicate;
  }
  const RecordOutcome outcome = ApplyNewChange(state, value, result);
  state.recent_changes.push_back({change_id, result.offset, outcome});
  if (state.recent_changes.size() > kMaxRememberedChanges)
    state.recent_changes.pop_front();
  return outcome;
}

RecordOutcome ApplyPayload(LogState& state, const std::string& payload,
                           RecordResult& result) {
  if (payload.size() > kMaxRecordBytes) return RecordOutcome::kRecordTooLarge;
  const json value = ParseBounded(payload);
  if (!value.is_object()) return RecordOutcome::kMalformed;
  const auto version = value.find("v");
  if (version == value.end() || *version != kRecordVersion) {
    return RecordOutcome::kUnknownVersion;
  }
  const auto kind_field = value.find("kind");
  const std::optional<RecordKind> kind =
      kind_field != value.end() && kind_field->is_string()
          ? ParseRecordKind(kind_field->get_ref<const std::string&>())
          : std::nullopt;
  if (!kind) return RecordOutcome::kUnknownVersion;
  result.header.kind = *kind;
  if (IsControlChange(*kind) && payload.size() > kMaxChangeBytes) {
    return RecordOutcome::kRecordTooLarge;
  }
  ReadHeader(value, result);
  if (!IsControlChange(*kind)) return RecordOutcome::kNotConfigurationChange;
  if (!result.errors.empty()) return RecordOutcome::kInvalid;
  return ApplyChange(state, value, result);
}

}  // namespace

std::string_view ToString(RecordOutcome outcome) {
  for (const auto& [value, name] : kOutcomeNames) {
    if (value == outcome) return name;
  }
  return "unknown";
}

std::optional<RecordOutcome> ParseRecordOutcome(std::string_view name) {
  for (const auto& [value, outcome_name] : kOutcomeNames) {
    if (outcome_name == name) return value;
  }
  return std::nullopt;
}

RecordResult ApplyRecord(LogState& state, const platform::LogRecord& record) {
  RecordResult result;
  result.offset = record.offset;
  result.outcome = ApplyPayload(state, record.payload, result);
  result.version = state.control.version;
  state.applied_offset = record.offset;
  if (result.outcome != RecordOutcome::kAccepted &&
      result.outcome != RecordOutcome::kNotConfigurationChange) {
    ++state.rejected_count;
  }
  return result;
}

}  // namespace peridotshelf::control
