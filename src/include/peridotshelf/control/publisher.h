/// Puts an operator's change on the log and finds out what became of it, also
/// when acknowledgements are lost.
#pragma once

#include <algorithm>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

#include "peridotshelf/base/clock.h"
#include "peridotshelf/control/log_tracker.h"
#include "peridotshelf/control/record.h"

namespace peridotshelf::control {

/// A log whose calls wait for their results.
template <class L>
concept WaitingLog = requires(L& log, std::string payload, int64_t from,
                              Duration wait) {
  { log.Append(payload) } -> std::same_as<Result<int64_t>>;
  { log.Read(from, wait) } -> std::same_as<Result<platform::LogPage>>;
};

/// Time, and waiting for it to pass.
template <class T>
concept WaitingClock = MonotonicClock<T> && requires(T& clock, Duration span) {
  clock.Sleep(span);
};

/// What an operator is told about a change.
enum class PublishOutcome {
  kAccepted,     ///< In force from `version` on.
  kLost,         ///< `version` came first; nothing changed.
  kInvalid,      ///< Not valid, see `faults`; nothing changed.
  kNotAppended,  ///< It never reached the log; nothing changed.
  kUnknown,      ///< Whether it reached the log could not be found out in time.
};

/// The outcome's stable name, such as "accepted".
std::string_view ToString(PublishOutcome outcome);

/// The whole answer to an operator.
struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnknown;
  std::string change_id;
  /// The version that the change became or lost to.
  ControlVersion version = 0;
  ConfigurationErrors faults;
  /// Why the log could not tell, for kNotAppended and kUnknown.
  std::string detail;
};

/// How long to try.
struct PublisherOptions {
  Duration time_limit = std::chrono::seconds(10);
  /// Pause after a call that failed.
  Duration retry_pause = std::chrono::milliseconds(200);
  /// How long the log may hold a read back while a record is awaited.
  Duration read_wait = std::chrono::milliseconds(500);
};

/// Publishes changes one after another. A repeated append carries the same
/// change id, so that only its first record counts.
template <WaitingLog Log, WaitingClock Clock>
class Publisher {
 public:
  /// `log` and `clock` outlive the publisher.
  Publisher(Log& log, Clock& clock, PublisherOptions options = {})
      : m_log(&log), m_clock(&clock), m_options(options) {}

  /// Reads the log to its end, or says why there is no trustworthy state.
  Result<ControlState> ReadState() {
    const TimePoint deadline = m_clock->Now() + m_options.time_limit;
    Result<void> read = ReadToEnd(deadline);
    if (!read) return tl::unexpected<Error>(read.error());
    const Readiness readiness = m_tracker.readiness();
    if (readiness == Readiness::kHistoryLost) {
      return Fail(ErrorCode::kNotReady, std::string{ToString(readiness)});
    }
    return m_tracker.state().control;
  }

  /// Appends the change until the log shows what became of it.
  PublishResult Publish(const RecordHeader& header, std::string_view body) {
    m_change_id = header.change_id;
    m_found = false;
    m_result = PublishResult{};
    m_result.change_id = header.change_id;
    const std::string payload = WriteRecord(header, body);
    const TimePoint deadline = m_clock->Now() + m_options.time_limit;
    bool may_be_appended = false;
    // Reading first settles a change that an earlier run left unknown.
    Result<void> last = ReadToEnd(deadline);
    if (last && !m_found) last = CheckBeforeAppend(payload);
    while (!m_found && last && m_clock->Now() < deadline) {
      const Result<int64_t> appended = m_log->Append(payload);
      if (appended || !appended.error().not_run) may_be_appended = true;
      if (appended) {
        last = ReadUpTo(*appended, deadline);
        break;
      }
      m_result.detail = appended.error().detail;
      m_clock->Sleep(m_options.retry_pause);
      last = ReadToEnd(deadline);
    }
    if (!m_found) DescribeUnsettled(may_be_appended, last);
    return m_result;
  }

  /// What was read of the log so far.
  const LogTracker& tracker() const { return m_tracker; }

 private:
  /// Folds the change on a copy of the state, so that one which cannot be
  /// accepted does not reach the log.
  Result<void> CheckBeforeAppend(const std::string& payload) {
    const Readiness readiness = m_tracker.readiness();
    if (readiness == Readiness::kHistoryLost) {
      return Fail(ErrorCode::kNotReady, std::string{ToString(readiness)});
    }
    LogState copy = m_tracker.state();
    RecordResult result = ApplyRecord(copy, {m_tracker.next_offset(), payload});
    if (result.outcome == RecordOutcome::kAccepted) return {};
    if (result.outcome == RecordOutcome::kNotConfigurationChange) return {};
    if (result.faults.empty() &&
        result.outcome != RecordOutcome::kStaleBaseVersion) {
      result.faults.push_back(
          {"", "is refused as " + std::string(ToString(result.outcome))});
    }
    Settle(result);
    return {};
  }

  Result<void> ReadToEnd(TimePoint deadline) {
    return ReadWhile(
        deadline, [](const platform::LogPage& page, const LogTracker& tracker) {
          return tracker.next_offset() < page.next_offset;
        });
  }

  Result<void> ReadUpTo(int64_t offset, TimePoint deadline) {
    return ReadWhile(deadline, [offset](const platform::LogPage& /*page*/,
                                        const LogTracker& tracker) {
      return tracker.next_offset() <= offset;
    });
  }

  /// Reads pages while `more` says so; fails when the deadline passes.
  template <class More>
  Result<void> ReadWhile(TimePoint deadline, More more) {
    while (true) {
      const int64_t from = m_tracker.next_offset();
      const Result<platform::LogPage> page =
          m_log->Read(from, m_read_once ? m_options.read_wait : Duration{});
      if (page) {
        m_read_once = true;
        NoteResults(m_tracker.ApplyPage(from, *page));
        if (!more(*page, m_tracker)) return {};
      }
      if (m_clock->Now() >= deadline) {
        return page ? Fail(ErrorCode::kDeadlineExceeded, "the log's end")
                    : tl::unexpected<Error>(page.error());
      }
      if (!page) m_clock->Sleep(m_options.retry_pause);
    }
  }

  void NoteResults(const TrackerUpdate& step) {
    for (const RecordResult& result : step.results) {
      if (m_found || m_change_id.empty()) return;
      if (result.header.change_id == m_change_id) Settle(result);
    }
  }

  void Settle(const RecordResult& result) {
    const bool repeated = result.outcome == RecordOutcome::kDuplicate;
    const RecordOutcome outcome =
        repeated ? result.first_outcome : result.outcome;
    m_found = true;
    m_result.faults = result.faults;
    m_result.version = repeated && outcome == RecordOutcome::kAccepted
                           ? result.first_offset
                           : result.version;
    m_result.outcome = outcome == RecordOutcome::kAccepted
                           ? PublishOutcome::kAccepted
                       : outcome == RecordOutcome::kStaleBaseVersion
                           ? PublishOutcome::kLost
                           : PublishOutcome::kInvalid;
  }

  void DescribeUnsettled(bool may_be_appended, const Result<void>& last) {
    m_result.outcome = may_be_appended ? PublishOutcome::kUnknown
                                       : PublishOutcome::kNotAppended;
    if (!last) m_result.detail = last.error().detail;
  }

  Log* m_log;
  Clock* m_clock;
  PublisherOptions m_options;
  LogTracker m_tracker;
  bool m_read_once = false;
  std::string m_change_id;
  bool m_found = false;
  PublishResult m_result;
};

}  // namespace peridotshelf::control
