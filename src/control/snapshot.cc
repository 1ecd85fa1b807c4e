// Reads and writes snapshots of the log state as JSON.
#include <nlohmann/json.hpp>
#include <utility>

#include "control/json_fields.h"
#include "control/record_json.h"
#include "peridotshelf/control/log_state.h"

namespace peridotshelf::control {
namespace {

using detail::FindPreset;
using detail::JsonFields;
using detail::kOffsets;
using detail::ParseBounded;
using detail::Presence;
using nlohmann::json;

/// Reads the scalar fields and the draining hosts of a snapshot.
void ReadSnapshotFields(JsonFields& fields, LogState& state) {
  ControlState& control = state.control;
  state.applied_offset =
      fields.ReadInteger("folded_offset", Presence::kRequired, 0, kOffsets);
  state.rejected_count =
      fields.ReadInteger("rejected_count", Presence::kRequired, 0, kOffsets);
  control.version = fields.ReadInteger("version", Presence::kRequired, 0,
                                       {0, state.applied_offset});
  control.settings_version = fields.ReadInteger(
      "settings_version", Presence::kRequired, 0, {0, control.version});
  control.preset = fields.ReadString("preset", Presence::kOptional);
  for (const std::string& host : fields.ReadStrings("draining")) {
    control.draining.emplace(host);
  }
}

void ReadRecent(JsonFields& fields, LogState& state) {
  size_t index = 0;
  for (const json* element : fields.ReadArray("recent", Presence::kRequired)) {
    const std::string path =
        fields.GetFieldPath("recent") + "/" + std::to_string(index++);
    JsonFields change(*element, path, fields.errors());
    RememberedChange remembered;
    remembered.change_id = change.ReadString("change_id");
    remembered.offset =
        change.ReadInteger("offset", Presence::kRequired, 0, kOffsets);
    const auto outcome = ParseRecordOutcome(change.ReadString("outcome"));
    if (!outcome) change.AddError(path + "/outcome", "is not a known outcome");
    remembered.outcome = outcome.value_or(RecordOutcome::kInvalid);
    state.recent_changes.push_back(std::move(remembered));
  }
}

void ReadDocument(JsonFields& fields, LogState& state) {
  const json* document = fields.Find("configuration", Presence::kOptional);
  if (document == nullptr) return;
  auto text = std::make_shared<const std::string>(document->dump());
  ConfigurationResult read = ReadConfiguration(*text);
  if (!read) {
    fields.AddError("/configuration", "is not valid");
    return;
  }
  if (!FindPreset(**read, state.control.preset)) {
    fields.AddError("/preset", "is not configured");
  }
  state.control.configuration = std::move(*read);
  state.document = std::move(text);
}

Result<LogState> ReadSnapshotValue(const json& body) {
  ConfigurationErrors errors;
  JsonFields fields(body, "", errors);
  LogState state;
  ReadSnapshotFields(fields, state);
  ReadRecent(fields, state);
  ReadDocument(fields, state);
  fields.RejectUnknownFields();
  if (errors.empty()) return state;
  return Fail(ErrorCode::kBadConfiguration,
              "snapshot" + errors.front().path + " " + errors.front().message);
}

}  // namespace

tl::expected<LogState, ConfigurationErrors> MakeInitialState(
    std::string_view document, int64_t applied_offset) {
  ConfigurationResult read = ReadConfiguration(document);
  if (!read) return tl::unexpected(std::move(read.error()));
  LogState state;
  state.applied_offset = applied_offset;
  state.control.version = applied_offset;
  state.control.settings_version = applied_offset;
  state.control.preset = (*read)->initial_preset;
  state.control.configuration = std::move(*read);
  state.document =
      std::make_shared<const std::string>(json::parse(document).dump());
  return state;
}

std::string WriteSnapshot(const LogState& state) {
  const ControlState& control = state.control;
  json body = {{"folded_offset", state.applied_offset},
               {"rejected_count", state.rejected_count},
               {"version", control.version},
               {"settings_version", control.settings_version}};
  if (!control.preset.empty()) body["preset"] = control.preset;
  json draining = json::array();
  for (const HostId& host : control.draining) draining.push_back(host.value());
  body["draining"] = std::move(draining);
  json recent = json::array();
  for (const RememberedChange& change : state.recent_changes) {
    recent.push_back({{"change_id", change.change_id},
                      {"offset", change.offset},
                      {"outcome", ToString(change.outcome)}});
  }
  body["recent"] = std::move(recent);
  if (state.document) body["configuration"] = json::parse(*state.document);
  return body.dump();
}

Result<LogState> ReadSnapshot(std::string_view body) {
  const json value = ParseBounded(body);
  if (!value.is_object()) return Fail(ErrorCode::kProtocol, "snapshot");
  return ReadSnapshotValue(value);
}

Result<LogState> ReadSnapshotRecord(const platform::LogRecord& record) {
  if (record.payload.size() > kMaxRecordBytes) {
    return Fail(ErrorCode::kProtocol, "snapshot too large");
  }
  const json value = ParseBounded(record.payload);
  const bool is_snapshot = value.is_object() && value.contains("body") &&
                           value.value("v", json()) == kRecordVersion &&
                           value.value("kind", json()) == "snapshot";
  if (!is_snapshot) return Fail(ErrorCode::kProtocol, "not a snapshot");
  Result<LogState> state = ReadSnapshotValue(value.at("body"));
  if (state && state->applied_offset >= record.offset) {
    return Fail(ErrorCode::kProtocol, "snapshot covers its own offset");
  }
  return state;
}

}  // namespace peridotshelf::control
