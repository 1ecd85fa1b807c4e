#include "peridotshelf/control/record.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

namespace peridotshelf::control {
namespace {

constexpr std::array<std::pair<RecordKind, std::string_view>, 7> kKindNames = {{
    {RecordKind::kConfig, "config"},
    {RecordKind::kPreset, "preset"},
    {RecordKind::kDrain, "drain"},
    {RecordKind::kUndrain, "undrain"},
    {RecordKind::kSnapshot, "snapshot"},
    {RecordKind::kPlan, "plan"},
    {RecordKind::kAudit, "audit"},
}};

}  // namespace

std::string_view ToString(RecordKind kind) {
  for (const auto& [value, name] : kKindNames) {
    if (value == kind) return name;
  }
  return "unknown";
}

std::optional<RecordKind> ParseRecordKind(std::string_view name) {
  for (const auto& [value, kind_name] : kKindNames) {
    if (kind_name == name) return value;
  }
  return std::nullopt;
}

std::string WriteRecord(const RecordHeader& header,
                        std::string_view body_json) {
  const nlohmann::json envelope = {
      {"v", kRecordVersion},
      {"kind", ToString(header.kind)},
      {"change_id", header.change_id},
      {"base_version", header.base_version},
      {"operator", header.operator_name},
      {"time", header.time},
  };
  // The body is inserted as unparsed text, so that an operator's document
  // reaches ApplyRecord as written and its errors are reported there.
  std::string text =
      envelope.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  text.pop_back();
  text += ",\"body\":";
  text += body_json.empty() ? "{}" : body_json;
  text += "}";
  return text;
}

}  // namespace peridotshelf::control
