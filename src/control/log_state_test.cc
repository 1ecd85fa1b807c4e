#include "peridotshelf/control/log_state.h"

#include "control/test_records.h"
#include "peridotshelf/testing/test.h"

namespace peridotshelf::control {
namespace {

/// Folds `payloads` at offsets 1, 2, ...
std::vector<RecordResult> FoldAll(LogState& state,
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
  return FoldAll(state, {Config("c1", 0), payload}).back().outcome;
}

/// Valid, racing, stale, repeated, torn and random records.
rc::Gen<std::string> AnyRecord() {
  const auto id = rc::gen::map(rc::gen::inRange(0, 12),
                               [](int n) { return "id" + std::to_string(n); });
  const auto base = rc::gen::inRange<int64_t>(0, 20);
  const auto name = rc::gen::element<std::string>("ordinary", "peak", "x", "");
  const auto torn =
      rc::gen::map(rc::gen::inRange<size_t>(0, 400),
                   [](size_t n) { return Config("torn", 0).substr(0, n); });
  return rc::gen::oneOf(rc::gen::apply(&Config, id, base, name),
                        rc::gen::apply(&PresetChange, id, base, name),
                        rc::gen::apply(&Drain, id, name), torn,
                        rc::gen::arbitrary<std::string>());
}

class FoldTest : public CppUnit::TestFixture {
  CPPUNIT_TEST_SUITE(FoldTest);
  CPPUNIT_TEST(Changes_InOrder_AreAccepted);
  CPPUNIT_TEST(Operators_Racing_FirstWins);
  CPPUNIT_TEST(Drain_BetweenBaseAndChange_DoesNotDefeatIt);
  CPPUNIT_TEST(Change_Repeated_CountsOnce);
  CPPUNIT_TEST(Change_NotValid_NamesPathAndChangesNothing);
  CPPUNIT_TEST(Config_WithoutPresetInForce_IsInvalid);
  CPPUNIT_TEST(Record_Unreadable_IsSkippedByKind);
  CPPUNIT_TEST(Sequence_Any_FoldsAlikeWithAndWithoutSnapshot);
  CPPUNIT_TEST(Sequence_Any_VersionNeverGoesBack);
  CPPUNIT_TEST(Snapshot_OfLargestState_FitsRecord);
  CPPUNIT_TEST(Snapshot_Damaged_IsRefusedOrReadable);
  CPPUNIT_TEST_SUITE_END();

 public:
  void Changes_InOrder_AreAccepted() {
    LogState state;
    const auto results = FoldAll(
        state,
        {Config("c1", 0), PresetChange("c2", 1, "peak"), Drain("c3", "h9")});
    for (const RecordResult& result : results) {
      CPPUNIT_ASSERT(result.outcome == RecordOutcome::kAccepted);
      CPPUNIT_ASSERT_EQUAL(result.offset, result.version);
    }
    CPPUNIT_ASSERT_EQUAL(std::string("peak"), state.control.preset);
    CPPUNIT_ASSERT(state.control.draining.contains(HostId("h9")));
    CPPUNIT_ASSERT_EQUAL(ControlVersion{3}, state.control.version);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, state.control.settings_version);
  }
  void Operators_Racing_FirstWins() {
    LogState state;
    const auto results =
        FoldAll(state, {Config("c1", 0), PresetChange("a", 1, "peak"),
                        PresetChange("b", 1, "ordinary"), Config("d", 1)});
    CPPUNIT_ASSERT(results[1].outcome == RecordOutcome::kAccepted);
    CPPUNIT_ASSERT(results[2].outcome == RecordOutcome::kStaleBaseVersion);
    CPPUNIT_ASSERT(results[3].outcome == RecordOutcome::kStaleBaseVersion);
    CPPUNIT_ASSERT_EQUAL(ControlVersion{2}, results[2].version);
    CPPUNIT_ASSERT_EQUAL(std::string("peak"), state.control.preset);
  }
  void Drain_BetweenBaseAndChange_DoesNotDefeatIt() {
    LogState state;
    const auto results = FoldAll(state, {Config("c1", 0), Drain("c2", "h1"),
                                         PresetChange("c3", 1, "peak")});
    CPPUNIT_ASSERT(results[2].outcome == RecordOutcome::kAccepted);
  }
  void Change_Repeated_CountsOnce() {
    LogState state;
    const auto results =
        FoldAll(state, {Config("c1", 0), PresetChange("p", 1, "peak"),
                        PresetChange("q", 2, "ordinary"),
                        PresetChange("p", 1, "peak"), Drain("p", "h1")});
    CPPUNIT_ASSERT(results[3].outcome == RecordOutcome::kDuplicate);
    CPPUNIT_ASSERT_EQUAL(int64_t{2}, results[3].first_offset);
    CPPUNIT_ASSERT(results[3].first_outcome == RecordOutcome::kAccepted);
    CPPUNIT_ASSERT(results[4].outcome == RecordOutcome::kDuplicate);
    CPPUNIT_ASSERT_EQUAL(std::string("ordinary"), state.control.preset);
  }
  void Change_NotValid_NamesPathAndChangesNothing() {
    LogState state;
    const auto results = FoldAll(
        state, {Config("c1", 0), PresetChange("c2", 1, "none"),
                Change(RecordKind::kConfig, "c3", 1, R"({"services":3})"),
                PresetChange("c4", 9, "peak"),
                Change(RecordKind::kUndrain, "c5", 0, R"({"host":"h"})"),
                Drain("c6", std::string(200, 'h'))});
    const std::vector<std::string> paths = {"/body/name", "/body/services",
                                            "/base_version", "/body/host",
                                            "/body/host"};
    for (size_t i = 0; i < paths.size(); ++i) {
      CPPUNIT_ASSERT(results[i + 1].outcome == RecordOutcome::kInvalid);
      CPPUNIT_ASSERT_EQUAL(paths[i], results[i + 1].faults.at(0).path);
    }
    CPPUNIT_ASSERT_EQUAL(ControlVersion{1}, state.control.version);
    CPPUNIT_ASSERT_EQUAL(int64_t{5}, state.rejected_count);
  }
  void Config_WithoutPresetInForce_IsInvalid() {
    LogState state;
    std::string without_peak = Document();
    const std::string peak = R"(,{"name":"peak","short_reserve":0.5})";
    without_peak.erase(without_peak.find(peak), peak.size());
    const auto results =
        FoldAll(state, {Config("c1", 0), PresetChange("c2", 1, "peak"),
                        Change(RecordKind::kConfig, "c3", 2, without_peak)});
    CPPUNIT_ASSERT(results[2].outcome == RecordOutcome::kInvalid);
    CPPUNIT_ASSERT_EQUAL(std::string("/body/presets"),
                         results[2].faults.at(0).path);
  }
  void Record_Unreadable_IsSkippedByKind() {
    const std::string preset = PresetChange("p", 1, "peak");
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
    // Whole JSON, but so deep that writing it out would exhaust the stack.
    const size_t depth = 100000;
    const std::string deep =
        R"({"a":)" + std::string(depth, '[') + std::string(depth, ']') + "}";
    CPPUNIT_ASSERT(
        OutcomeAfterConfig(Change(RecordKind::kConfig, "deep", 1, deep)) ==
        RecordOutcome::kMalformed);
  }
  void Sequence_Any_FoldsAlikeWithAndWithoutSnapshot() {
    testing::CheckProperty("fold", [] {
      auto payloads =
          *rc::gen::container<std::vector<std::string>>(AnyRecord());
      payloads.insert(payloads.begin(), Config("c", 0));
      const auto cut = *rc::gen::inRange<size_t>(0, payloads.size() + 1);
      LogState whole;
      FoldAll(whole, payloads);
      LogState half;
      FoldAll(half, {payloads.begin(), payloads.begin() + cut});
      LogState resumed = ReadSnapshot(WriteSnapshot(half)).value();
      FoldAll(resumed, {payloads.begin() + cut, payloads.end()});
      RC_ASSERT(WriteSnapshot(whole) == WriteSnapshot(resumed));
    });
  }
  void Sequence_Any_VersionNeverGoesBack() {
    testing::CheckProperty("version", [] {
      LogState state;
      for (const std::string& payload :
           *rc::gen::container<std::vector<std::string>>(AnyRecord())) {
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
  void Snapshot_OfLargestState_FitsRecord() {
    LogState state;
    FoldAll(state, {Config("c", 0)});
    for (size_t i = 0; i < kMaxDraining; ++i) {
      const std::string name =
          std::to_string(i) + std::string(kMaxNameBytes - 4, 'x');
      FoldAll(state, {Drain(name, name)});
    }
    const size_t overhead = WriteSnapshot(state).size() - Document().size();
    CPPUNIT_ASSERT_EQUAL(kMaxDraining, state.control.draining.size());
    CPPUNIT_ASSERT(overhead + kMaxChangeBytes < kMaxRecordBytes);
  }
  void Snapshot_Damaged_IsRefusedOrReadable() {
    LogState state;
    FoldAll(state, {Config("c1", 0), Drain("c2", "h1")});
    const std::string good = WriteSnapshot(state);
    testing::CheckProperty("damaged", [&](uint32_t at, char byte) {
      std::string damaged = good;
      damaged[at % damaged.size()] = byte;
      const Result<LogState> read = ReadSnapshot(damaged);
      if (read) RC_ASSERT(read->control.version <= read->applied_offset);
    });
  }
};
CPPUNIT_TEST_SUITE_REGISTRATION(FoldTest);

}  // namespace
}  // namespace peridotshelf::control
