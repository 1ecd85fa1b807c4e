#include "peridotshelf/control/log_state.h"

#include "control/test_records.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

/// Applies `payloads` at the offsets after the applied one.
std::vector<RecordResult> ApplyAll(LogState& state,
                                   const std::vector<std::string>& payloads) {
  std::vector<RecordResult> results;
  results.reserve(payloads.size());
  for (const std::string& payload : payloads) {
    results.push_back(ApplyRecord(state, {state.applied_offset + 1, payload}));
  }
  return results;
}

RecordOutcome OutcomeAfterConfig(const std::string& payload) {
  LogState state;
  return ApplyAll(state, {MakeConfigChange("c1", 0), payload}).back().outcome;
}

/// Generates valid, concurrent, stale, duplicate, malformed and random records.
rc::Gen<std::string> GenerateRecord() {
  const auto id = rc::gen::map(rc::gen::inRange(0, 12),
                               [](int n) { return "id" + std::to_string(n); });
  const auto base = rc::gen::inRange<int64_t>(0, 20);
  const auto name = rc::gen::element<std::string>("ordinary", "peak", "x", "");
  const auto malformed = rc::gen::map(
      rc::gen::inRange<size_t>(0, 400),
      [](size_t n) { return MakeConfigChange("torn", 0).substr(0, n); });
  return rc::gen::oneOf(rc::gen::apply(&MakeConfigChange, id, base, name),
                        rc::gen::apply(&MakePresetChange, id, base, name),
                        rc::gen::apply(&MakeDrain, id, name), malformed,
                        rc::gen::arbitrary<std::string>());
}

class LogStateTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(LogStateTest);
  CPPUNIT_TEST(Changes_InOrder_AreAccepted);
  CPPUNIT_TEST(ConcurrentChanges_SameBase_FirstIsAccepted);
  CPPUNIT_TEST(Drain_BetweenBaseAndChange_DoesNotRejectChange);
  CPPUNIT_TEST(Change_Duplicate_IsAppliedOnce);
  CPPUNIT_TEST(Change_Invalid_ReportsPathAndChangesNothing);
  CPPUNIT_TEST(Config_WithoutActivePreset_IsInvalid);
  CPPUNIT_TEST(Record_Unreadable_IsSkippedWithOutcome);
  CPPUNIT_TEST(AnyRecords_ResumedFromSnapshot_GiveSameState);
  CPPUNIT_TEST(AnyRecords_Applied_VersionNeverDecreases);
  CPPUNIT_TEST(Snapshot_LargestState_FitsInRecord);
  CPPUNIT_TEST(Snapshot_Corrupted_IsRejectedOrConsistent);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Changes_InOrder_AreAccepted() {
    LogState state;
    const auto results = ApplyAll(
        state, {MakeConfigChange("c1", 0), MakePresetChange("c2", 1, "peak"),
                MakeDrain("c3", "h9")});
    for (const RecordResult& result : results) {
      CPPUNIT_ASSERT(result.outcome == RecordOutcome::kAccepted);
      CPPUNIT_ASSERT_EQUAL(result.offset, result.version);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("peak"), state.control.preset);
    CPPUNIT_ASSERT(state.control.draining.contains(HostId("h9")));
    CPPUNIT_ASSERT_EQUAL(ControlVersion{3}, state.control.version);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, state.control.settings_version);
  }
  void ConcurrentChanges_SameBase_FirstIsAccepted() {
    LogState state;
    const auto results = ApplyAll(
        state,
        {MakeConfigChange("c1", 0), MakePresetChange("a", 1, "peak"),
         MakePresetChange("b", 1, "ordinary"), MakeConfigChange("d", 1)});
    CPPUNIT_ASSERT(results[1].outcome == RecordOutcome::kAccepted);
    CPPUNIT_ASSERT(results[2].outcome == RecordOutcome::kStaleBaseVersion);
    CPPUNIT_ASSERT(results[3].outcome == RecordOutcome::kStaleBaseVersion);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, results[2].version);
    CPPUNIT_ASSERT_EQUAL(std::string("peak"), state.control.preset);
  }
  void Drain_BetweenBaseAndChange_DoesNotRejectChange() {
    LogState state;
    const auto results =
        ApplyAll(state, {MakeConfigChange("c1", 0), MakeDrain("c2", "h1"),
                         MakePresetChange("c3", 1, "peak")});
    CPPUNIT_ASSERT(results[2].outcome == RecordOutcome::kAccepted);
  }
  void Change_Duplicate_IsAppliedOnce() {
    LogState state;
    const auto results = ApplyAll(
        state, {MakeConfigChange("c1", 0), MakePresetChange("p", 1, "peak"),
                MakePresetChange("q", 2, "ordinary"),
                MakePresetChange("p", 1, "peak"), MakeDrain("p", "h1")});
    CPPUNIT_ASSERT(results[3].outcome == RecordOutcome::kDuplicate);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, results[3].first_offset);
    CPPUNIT_ASSERT(results[3].first_outcome == RecordOutcome::kAccepted);
    CPPUNIT_ASSERT(results[4].outcome == RecordOutcome::kDuplicate);
    CPPUNIT_ASSERT_EQUAL(std::string("ordinary"), state.control.preset);
  }
  void Change_Invalid_ReportsPathAndChangesNothing() {
    LogState state;
    const auto results = ApplyAll(
        state, {MakeConfigChange("c1", 0), MakePresetChange("c2", 1, "none"),
                MakeChange(RecordKind::kConfig, "c3", 1, R"({"services":3})"),
                MakePresetChange("c4", 9, "peak"),
                MakeChange(RecordKind::kUndrain, "c5", 0, R"({"host":"h"})"),
                MakeDrain("c6", std::string(200, 'h'))});
    const std::vector<std::string> paths = {"/body/name", "/body/services",
                                            "/base_version", "/body/host",
                                            "/body/host"};
    for (size_t i = 0; i < paths.size(); ++i) {
      CPPUNIT_ASSERT(results[i + 1].outcome == RecordOutcome::kInvalid);
      CPPUNIT_ASSERT_EQUAL(paths[i], results[i + 1].errors.at(0).path);
    }
    CPPUNIT_ASSERT_EQUAL(ControlVersion{1}, state.control.version);
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, state.rejected_count);
  }
  void Config_WithoutActivePreset_IsInvalid() {
    LogState state;
    std::string without_peak = MakeDocument();
    const std::string peak = R"(,{"name":"peak","short_reserve":0.5})";
    without_peak.erase(without_peak.find(peak), peak.size());
    const auto results = ApplyAll(
        state, {MakeConfigChange("c1", 0), MakePresetChange("c2", 1, "peak"),
                MakeChange(RecordKind::kConfig, "c3", 2, without_peak)});
    CPPUNIT_ASSERT(results[2].outcome == RecordOutcome::kInvalid);
    CPPUNIT_ASSERT_EQUAL(std::string("/body/presets"),
                         results[2].errors.at(0).path);
  }
  void Record_Unreadable_IsSkippedWithOutcome() {
    const std::string preset = MakePresetChange("p", 1, "peak");
    CPPUNIT_ASSERT(OutcomeAfterConfig(preset) == RecordOutcome::kAccepted);
    CPPUNIT_ASSERT(OutcomeAfterConfig(preset.substr(0, 30)) ==
                   RecordOutcome::kMalformed);
    CPPUNIT_ASSERT(OutcomeAfterConfig(R"({"v":2,"kind":"preset"})") ==
                   RecordOutcome::kUnknownVersion);
    CPPUNIT_ASSERT(OutcomeAfterConfig(R"({"v":1,"kind":"other"})") ==
                   RecordOutcome::kUnknownVersion);
    CPPUNIT_ASSERT(
        OutcomeAfterConfig(preset + std::string(kMaxChangeBytes, ' ')) ==
        RecordOutcome::kRecordTooLarge);
    // Valid JSON, but serializing it recursively would exhaust the stack.
    const size_t depth = 100000;
    const std::string deep =
        R"({"a":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    CPPUNIT_ASSERT(
        OutcomeAfterConfig(MakeChange(RecordKind::kConfig, "deep", 1, deep)) ==
        RecordOutcome::kMalformed);
  }
  void AnyRecords_ResumedFromSnapshot_GiveSameState() {
    testing::CheckProperty("fold", [] {
      auto payloads =
          *rc::gen::container<std::vector<std::string>>(GenerateRecord());
      payloads.insert(payloads.begin(), MakeConfigChange("c", 0));
      const auto split = *rc::gen::inRange<size_t>(0, payloads.size() + 1);
      LogState uninterrupted;
      ApplyAll(uninterrupted, payloads);
      LogState interrupted;
      ApplyAll(interrupted, {payloads.begin(), payloads.begin() + split});
      LogState resumed = ReadSnapshot(WriteSnapshot(interrupted)).value();
      ApplyAll(resumed, {payloads.begin() + split, payloads.end()});
      RC_ASSERT(WriteSnapshot(uninterrupted) == WriteSnapshot(resumed));
    });
  }
  void AnyRecords_Applied_VersionNeverDecreases() {
    testing::CheckProperty("version", [] {
      LogState state;
      for (const std::string& payload :
           *rc::gen::container<std::vector<std::string>>(GenerateRecord())) {
        const ControlState before = state.control;
        const RecordResult result =
            ApplyRecord(state, {state.applied_offset + 1, payload});
        const bool accepted = result.outcome == RecordOutcome::kAccepted;
        RC_ASSERT(state.control.version ==
                  (accepted ? result.offset : before.version));
        RC_ASSERT(accepted || state.control.preset == before.preset);
      }
    });
  }
  void Snapshot_LargestState_FitsInRecord() {
    LogState state;
    ApplyAll(state, {MakeConfigChange("c", 0)});
    for (size_t i = 0; i < kMaxDrainingHosts; ++i) {
      const std::string name =
          std::to_string(i) + std::string(kMaxNameBytes - 4, 'x');
      ApplyAll(state, {MakeDrain(name, name)});
    }
    const size_t overhead = WriteSnapshot(state).size() - MakeDocument().size();
    CPPUNIT_ASSERT_EQUAL(kMaxDrainingHosts, state.control.draining.size());
    CPPUNIT_ASSERT(overhead + kMaxChangeBytes < kMaxRecordBytes);
  }
  void Snapshot_Corrupted_IsRejectedOrConsistent() {
    LogState state;
    ApplyAll(state, {MakeConfigChange("c1", 0), MakeDrain("c2", "h1")});
    const std::string valid = WriteSnapshot(state);
    testing::CheckProperty("damaged", [&](uint32_t at, char byte) {
      std::string corrupted = valid;
      corrupted[at % corrupted.size()] = byte;
      const Result<LogState> read = ReadSnapshot(corrupted);
      if (read) RC_ASSERT(read->control.version <= read->applied_offset);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(LogStateTest);

}  // namespace
}  // namespace peridotshelf::control
