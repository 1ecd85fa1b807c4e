#include "peridotshelf/control/snapshot_writer.h"

#include "peridotshelf/events/log.h"

namespace peridotshelf::control::detail {

std::string MakeSnapshotRecord(const LogState& state, const HostId& author) {
  RecordHeader header;
  header.kind = RecordKind::kSnapshot;
  header.change_id = MakeRandomId();
  header.base_version = state.control.version;
  header.operator_name = author.value();
  return WriteRecord(header, WriteSnapshot(state));
}

void LogSnapshotWritten(const LogState& state, const Result<int64_t>& result) {
  if (result) {
    events::Log(events::EventId::kSnapshotWritten,
                {{"offset", *result}, {"version", state.control.version}});
  } else {
    events::Log(
        events::EventId::kPlatformCallFailed,
        {{"call", "append snapshot"}, {"detail", result.error().detail}});
  }
}

}  // namespace peridotshelf::control::detail
