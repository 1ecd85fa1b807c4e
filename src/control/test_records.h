/// Records and documents that the tests of this library share.
#pragma once

#include <string>

#include "peridotshelf/control/log_state.h"
#include "peridotshelf/control/record.h"

namespace peridotshelf::control {

/// A valid document with the presets "ordinary" and "peak".
inline std::string Document(const std::string& engine = "e1") {
  return R"({"engines":[{"id":")" + engine +
         R"(","host":"h1","url":"http://127.0.0.1:1","model":"m",)"
         R"("memory_tokens":1000,"slots":4}],"services":[{"name":"s",)"
         R"("model":"m","engines":[")" +
         engine +
         R"("],"teams":[{"id":"t","share":2}]}],"presets":[)"
         R"({"name":"ordinary"},{"name":"peak","short_reserve":0.5}],)"
         R"("initial_preset":"ordinary"})";
}

inline std::string Change(RecordKind kind, const std::string& change_id,
                          ControlVersion base, const std::string& body) {
  RecordHeader header;
  header.kind = kind;
  header.change_id = change_id;
  header.base_version = base;
  header.operator_name = "tester";
  return WriteRecord(header, body);
}

inline std::string Config(const std::string& change_id, ControlVersion base,
                          const std::string& engine = "e1") {
  return Change(RecordKind::kConfig, change_id, base, Document(engine));
}

inline std::string PresetChange(const std::string& change_id,
                                ControlVersion base, const std::string& name) {
  return Change(RecordKind::kPreset, change_id, base,
                R"({"name":")" + name + R"("})");
}

inline std::string Drain(const std::string& change_id,
                         const std::string& host) {
  return Change(RecordKind::kDrain, change_id, 0,
                R"({"host":")" + host + R"("})");
}

inline std::string SnapshotRecord(const LogState& state) {
  return Change(RecordKind::kSnapshot, "snapshot", 0, WriteSnapshot(state));
}

}  // namespace peridotshelf::control
