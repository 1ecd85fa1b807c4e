/// Records and documents for tests.
#pragma once

#include <string>

#include "peridotshelf/control/log_state.h"
#include "peridotshelf/control/record.h"

namespace peridotshelf::control {

/// Returns a valid document with the presets "ordinary" and "peak".
inline std::string MakeDocument(const std::string& engine = "e1") {
  return R"({"engines":[{"id":")" + engine +
         R"(","host":"h1","url":"http://127.0.0.1:1","model":"m",)"
         R"("memory_tokens":1000,"slots":4}],"services":[{"name":"s",)"
         R"("model":"m","engines":[")" +
         engine +
         R"("],"teams":[{"id":"t","share":2}]}],"presets":[)"
         R"({"name":"ordinary"},{"name":"peak","short_reserve":0.5}],)"
         R"("initial_preset":"ordinary"})";
}

inline std::string MakeChange(RecordKind kind, const std::string& change_id,
                              ControlVersion base, const std::string& body) {
  RecordHeader header;
  header.kind = kind;
  header.change_id = change_id;
  header.base_version = base;
  header.operator_name = "tester";
  return WriteRecord(header, body);
}

inline std::string MakeConfigChange(const std::string& change_id,
                                    ControlVersion base,
                                    const std::string& engine = "e1") {
  return MakeChange(RecordKind::kConfig, change_id, base, MakeDocument(engine));
}

inline std::string MakePresetChange(const std::string& change_id,
                                    ControlVersion base,
                                    const std::string& name) {
  return MakeChange(RecordKind::kPreset, change_id, base,
                    R"({"name":")" + name + R"("})");
}

inline std::string MakeDrain(const std::string& change_id,
                             const std::string& host) {
  return MakeChange(RecordKind::kDrain, change_id, 0,
                    R"({"host":")" + host + R"("})");
}

inline std::string MakeTestSnapshot(const LogState& state) {
  return MakeChange(RecordKind::kSnapshot, "snapshot", 0, WriteSnapshot(state));
}

}  // namespace peridotshelf::control
