/// Appends an operator's change to the log and determines its outcome, even
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

/// A log whose calls block until the result is available.
template <class L>
concept BlockingLog = requires(L& log, std::string payload, int64_t from,
                               Duration wait) {
  { log.Append(payload) } -> std::same_as<Result<int64_t>>;
  { log.Read(from, wait) } -> std::same_as<Result<platform::LogPage>>;
};

/// A clock that can block for a duration.
template <class T>
concept BlockingClock = MonotonicClock<T> && requires(T& clock, Duration span) {
  clock.Sleep(span);
};

/// The outcome of a change as reported to the operator.
enum class PublishOutcome {
  kAccepted,     ///< Active from `version` on.
  kSuperseded,   ///< `version` was accepted first; nothing changed.
  kInvalid,      ///< The change is invalid (see `errors`); nothing changed.
  kNotAppended,  ///< The change is not in the log; nothing changed.
  kUnknown,      ///< Timed out before it was known whether it is in the log.
};

/// Returns the outcome's stable name, such as "accepted".
std::string_view ToString(PublishOutcome outcome);

/// The result reported to an operator.
struct PublishResult {
  PublishOutcome outcome = PublishOutcome::kUnknown;
  std::string change_id;
  /// The version of the change, or the version that superseded it.
  ControlVersion version = 0;
  ConfigurationErrors errors;
  /// The log error, for kNotAppended and kUnknown.
  std::string detail;
};

/// Timing of a publication.
struct PublisherOptions {
  Duration timeout = std::chrono::seconds(10);
  /// Pause after a failed call.
  Duration retry_pause = std::chrono::milliseconds(200);
  /// Maximum wait of a read for new records.
  Duration read_wait = std::chrono::milliseconds(500);
};

/// Publishes changes one at a time. A retried append carries the same change
/// id, so that only the first record applies.
template <BlockingLog Log, BlockingClock Clock>
class Publisher {
 public:
  /// `log` and `clock` must outlive the publisher.
  Publisher(Log& log, Clock& clock, PublisherOptions options = {})
      : m_log(&log), m_clock(&clock), m_options(options) {}

  /// Reads the log to its end and returns the state. Returns kNotReady if
  /// history is lost.
  Result<ControlState> ReadState() {
    const TimePoint deadline = m_clock->Now() + m_options.timeout;
    Result<void> read = ReadToEnd(deadline);
    if (!read) return tl::unexpected<Error>(read.error());
    const Readiness readiness = m_tracker.readiness();
    if (readiness == Readiness::kHistoryLost) {
      return Fail(ErrorCode::kNotReady, std::string{ToString(readiness)});
    }
    return m_tracker.state().control;
  }

  /// Appends the change, with retries, and reads the log for its outcome.
  PublishResult Publish(const RecordHeader& header, std::string_view body) {
    m_change_id = header.change_id;
    m_has_result = false;
    m_result = PublishResult{};
    m_result.change_id = header.change_id;
    const std::string payload = WriteRecord(header, body);
    const TimePoint deadline = m_clock->Now() + m_options.timeout;
    bool may_be_appended = false;
    // Reading first finds a change that an earlier run appended with an unknown
    // outcome.
    Result<void> last_read = ReadToEnd(deadline);
    if (last_read && !m_has_result) last_read = ValidateBeforeAppend(payload);
    while (!m_has_result && last_read && m_clock->Now() < deadline) {
      const Result<int64_t> appended = m_log->Append(payload);
      if (appended || !appended.error().not_run) may_be_appended = true;
      if (appended) {
        last_read = ReadUpTo(*appended, deadline);
        break;
      }
      m_result.detail = appended.error().detail;
      m_clock->Sleep(m_options.retry_pause);
      last_read = ReadToEnd(deadline);
    }
    if (!m_has_result) SetUnresolvedResult(may_be_appended, last_read);
    return m_result;
  }

  /// The log position and state read so far.
  const LogTracker& tracker() const { return m_tracker; }

 private:
  /// Applies the change to a copy of the state, so that a change that would be
  /// rejected is not appended.
  Result<void> ValidateBeforeAppend(const std::string& payload) {
    const Readiness readiness = m_tracker.readiness();
    if (readiness == Readiness::kHistoryLost) {
      return Fail(ErrorCode::kNotReady, std::string{ToString(readiness)});
    }
    LogState copy = m_tracker.state();
    RecordResult result = ApplyRecord(copy, {m_tracker.next_offset(), payload});
    if (result.outcome == RecordOutcome::kAccepted) return {};
    if (result.outcome == RecordOutcome::kNotConfigurationChange) return {};
    if (result.errors.empty() &&
        result.outcome != RecordOutcome::kStaleBaseVersion) {
      result.errors.push_back({"", "would be rejected with outcome " +
                                       std::string(ToString(result.outcome))});
    }
    SetResult(result);
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

  /// Reads pages while `should_continue` returns true, until the deadline.
  template <class Predicate>
  Result<void> ReadWhile(TimePoint deadline, Predicate should_continue) {
    while (true) {
      const int64_t from = m_tracker.next_offset();
      const Result<platform::LogPage> page =
          m_log->Read(from, m_has_read ? m_options.read_wait : Duration{});
      if (page) {
        m_has_read = true;
        FindResult(m_tracker.ApplyPage(from, *page));
        if (!should_continue(*page, m_tracker)) return {};
      }
      if (m_clock->Now() >= deadline) {
        return page ? Fail(ErrorCode::kDeadlineExceeded,
                           "timed out before reaching the end of the log")
                    : tl::unexpected<Error>(page.error());
      }
      if (!page) m_clock->Sleep(m_options.retry_pause);
    }
  }

  void FindResult(const TrackerUpdate& update) {
    for (const RecordResult& result : update.results) {
      if (m_has_result || m_change_id.empty()) return;
      if (result.header.change_id == m_change_id) SetResult(result);
    }
  }

  void SetResult(const RecordResult& result) {
    const bool is_duplicate = result.outcome == RecordOutcome::kDuplicate;
    const RecordOutcome outcome =
        is_duplicate ? result.first_outcome : result.outcome;
    m_has_result = true;
    m_result.errors = result.errors;
    m_result.version = is_duplicate && outcome == RecordOutcome::kAccepted
                           ? result.first_offset
                           : result.version;
    m_result.outcome = outcome == RecordOutcome::kAccepted
                           ? PublishOutcome::kAccepted
                       : outcome == RecordOutcome::kStaleBaseVersion
                           ? PublishOutcome::kSuperseded
                           : PublishOutcome::kInvalid;
  }

  void SetUnresolvedResult(bool may_be_appended,
                           const Result<void>& last_read) {
    m_result.outcome = may_be_appended ? PublishOutcome::kUnknown
                                       : PublishOutcome::kNotAppended;
    if (!last_read) m_result.detail = last_read.error().detail;
  }

  Log* m_log;
  Clock* m_clock;
  PublisherOptions m_options;
  LogTracker m_tracker;
  bool m_has_read = false;
  std::string m_change_id;
  bool m_has_result = false;
  PublishResult m_result;
};

}  // namespace peridotshelf::control
