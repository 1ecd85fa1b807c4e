// Snapshots of the folded state, as JSON.
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

/// Reads the parts of a snapshot that are not the document.
void ReadSnapshotFields(JsonFields& fields, LogState& state) {
  ControlState& control = state.control;
  state.applied_offset =
      fields.Integer("folded_offset", Presence::kRequired, 0, kOffsets);
  state.rejected_count =
      fields.Integer("rejected_count", Presence::kRequired, 0, kOffsets);
  control.version = fields.Integer("version", Presence::kRequired, 0,
                                   {0, state.applied_offset});
  control.settings_version = fields.Integer(
      "settings_version", Presence::kRequired, 0, {0, control.version});
  control.preset = fields.Text("preset", Presence::kOptional);
  for (const std::string& host : fields.Texts("draining")) {
    control.draining.emplace(host);
  }
}

void ReadRecent(JsonFields& fields, LogState& state) {
  size_t index = 0;
  for (const json* element : fields.Elements("recent", Presence::kRequired)) {
    const std::string path =
        fields.PathOf("recent") + "/" + std::to_string(index++);
    JsonFields change(*element, path, fields.faults());
    RememberedChange remembered;
    remembered.change_id = change.Text("change_id");
    remembered.offset =
        change.Integer("offset", Presence::kRequired, 0, kOffsets);
    const auto outcome = ParseRecordOutcome(change.Text("outcome"));
    if (!outcome) change.AddFault(path + "/outcome", "is not known");
    remembered.outcome = outcome.value_or(RecordOutcome::kInvalid);
    state.recent.push_back(std::move(remembered));
  }
}

void ReadDocument(JsonFields& fields, LogState& state) {
  const json* document = fields.Find("configuration", Presence::kOptional);
  if (document == nullptr) return;
  auto text = std::make_shared<const std::string>(document->dump());
  ConfigurationResult read = ReadConfiguration(*text);
  if (!read) {
    fields.AddFault("/configuration", "is not valid");
    return;
  }
  if (!FindPreset(**read, state.control.preset)) {
    fields.AddFault("/preset", "is not configured");
  }
  state.control.configuration = std::move(*read);
  state.document = std::move(text);
}

Result<LogState> ReadSnapshotValue(const json& body) {
  ConfigurationErrors faults;
  JsonFields fields(body, "", faults);
  LogState state;
  ReadSnapshotFields(fields, state);
  ReadRecent(fields, state);
  ReadDocument(fields, state);
  fields.RejectUnknown();
  if (faults.empty()) return state;
  return Fail(ErrorCode::kBadConfiguration,
              "snapshot" + faults.front().path + " " + faults.front().message);
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
  for (const RememberedChange& change : state.recent) {
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
