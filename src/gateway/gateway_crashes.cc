#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

#include "gateway_impl.h"
#include "peridotshelf/events/log.h"
#include "peridotshelf/http/status.h"

namespace peridotshelf::gateway {
namespace {

using events::EventId;
using quarantine::CrashedRequest;
using quarantine::Suspect;
using quarantine::SuspectId;
using quarantine::SuspectKind;

/// A few round trips between failure domains.
constexpr Duration kProbeTimeout = std::chrono::milliseconds(350);
/// An engine that crashes as it begins to answer may have sent an event by
/// then.
constexpr Duration kBeginOfAnswer = std::chrono::milliseconds(250);
/// Requests and prompt parts named in one log line.
constexpr size_t kMaxNamedInLog = 12;
constexpr size_t kMaxCountsLogged = 3;
constexpr Duration kReviewInterval = std::chrono::milliseconds(100);

uint64_t Hash(std::string_view text, uint64_t seed = 0) {
  return XXH64(text.data(), text.size(), seed);
}

/// Kinds of what requests have in common, as seeds of their hashes.
constexpr uint64_t kPromptPartSeed = 1;
constexpr uint64_t kRequestSeed = 2;

SuspectId HashPromptPart(std::string_view service, std::string_view part) {
  return Hash(part, Hash(service, kPromptPartSeed));
}

/// Hashes all but the id, which is new with each time that the request comes.
SuspectId HashRequest(const LiveRequest& live) {
  const CallerRequest& request = live.request;
  uint64_t hash = Hash(live.service, kRequestSeed);
  const std::array<std::string_view, 5> fields = {
      request.method, request.host, request.target, live.team.value(),
      *request.body};
  for (const std::string_view field : fields) {
    hash = Hash(field, hash);
  }
  return hash;
}

std::string ToHex(SuspectId id) {
  char text[17];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(id));  // NOLINT
  return text;
}

}  // namespace

void Gateway::Impl::SetSuspects(LiveRequest& live) {
  int32_t depth = 0;
  for (const std::string& part : live.request.shared_prompt_parts) {
    live.suspects.push_back({HashPromptPart(live.service, part), depth++});
  }
  live.suspects.push_back({HashRequest(live), 0, SuspectKind::kRequest});
}

bool Gateway::Impl::ShouldRun(const LiveRequest& live) const {
  // Requests run on at engines of an evacuated domain.
  return engines.IsReady(live.attempt->engine_key);
}

void Gateway::Impl::ProbeAfterBreak(LiveRequest& live,
                                    std::optional<ProbeVerdict> found) {
  const Attempt& attempt = *live.attempt;
  const TimePoint now = SteadyClock().Now();
  live.has_broken = true;
  const auto [broken, is_new] = broken_attempts.try_emplace(attempt.engine_key);
  broken->second.attempts.push_back(
      {live.request.id, live.request.shared_prompt_parts, live.suspects,
       attempt.has_event,
       !attempt.has_event || now - attempt.first_event_at < kBeginOfAnswer,
       attempt.sent_at});
  if (!is_new) return;
  broken->second.service = live.service;
  broken->second.broken_at = now;
  if (found || !ShouldRun(live)) {
    // The connections that break with this one are still to be reported.
    threads.Post([self = shared_from_this(), engine = attempt.engine_key,
                  verdict = ShouldRun(live) ? found : std::nullopt] {
      self->OnProbed(engine, verdict);
    });
    return;
  }
  ProbeAddress(threads, attempt.address, {.timeout = kProbeTimeout},
               [self = shared_from_this(), process = ProcessOf(attempt),
                sent_at = attempt.sent_at](ProbeVerdict verdict) {
                 if (verdict == ProbeVerdict::kListening) {
                   self->FindReplacement(process, sent_at);
                 } else {
                   self->OnProbed(process.engine_key, verdict);
                 }
               });
}

void Gateway::Impl::FindReplacement(const EngineProcess& process,
                                    TimePoint sent_at) {
  engine_queries.Ask(process, [self = shared_from_this(), process, sent_at](
                                  const std::optional<QueryAnswer>& answer,
                                  const QueriedEngine& known) {
    const AnswerEnd end = JudgeAnswerEnd(process, sent_at, answer, known);
    self->OnProbed(process.engine_key, self->HasCrashed(process, end)
                                           ? ProbeVerdict::kReplaced
                                           : ProbeVerdict::kListening);
  });
}

void Gateway::Impl::OnProbed(const std::string& engine,
                             std::optional<ProbeVerdict> verdict) {
  const auto node = broken_attempts.extract(engine);
  if (node.empty()) return;
  const std::vector<BrokenAttempt>& broken = node.mapped().attempts;
  std::vector<std::string> requests;
  std::vector<std::string> parts;
  int64_t without_event = 0;
  for (const BrokenAttempt& attempt : broken) {
    if (requests.size() < kMaxNamedInLog) {
      requests.push_back(attempt.request.value());
    }
    if (attempt.had_event) continue;
    ++without_event;
    for (const std::string& part : attempt.shared_prompt_parts) {
      if (parts.size() < kMaxNamedInLog &&
          std::find(parts.begin(), parts.end(), part) == parts.end()) {
        parts.push_back(part);
      }
    }
  }
  events::Log(
      EventId::kEngineProbed,
      {{"engine", engine},
       {"verdict", std::string(verdict ? ToString(*verdict) : "leaving")},
       {"broken", static_cast<int64_t>(broken.size())},
       {"without_event", without_event},
       {"requests", JoinKeys(requests)},
       {"prompt_parts", JoinKeys(parts)}});
  if (verdict == ProbeVerdict::kRefused || verdict == ProbeVerdict::kReplaced) {
    NoteCrash(engine, node.mapped());
  }
}

void Gateway::Impl::NoteCrash(const std::string& engine,
                              const BrokenAttempts& broken) {
  engine_crashes.WithoutLabel().Add();
  std::vector<CrashedRequest> requests;
  for (const BrokenAttempt& attempt : broken.attempts) {
    if (!attempt.may_be_cause) continue;
    requests.push_back(
        {Hash(attempt.request.value()), attempt.sent_at, attempt.suspects});
  }
  crash_quarantine->NoteCrash(
      {Hash(engine), Hash(broken.service), broken.broken_at, requests},
      SteadyClock().Now());
  peers.ReportSuspects();
  LogCounts(engine, broken.attempts);
  ScheduleReview();
}

void Gateway::Impl::LogCounts(const std::string& engine,
                              const std::vector<BrokenAttempt>& attempts) {
  struct Count {
    size_t crashes;
    SuspectId suspect;
    std::string part;
    std::string request;
  };
  std::vector<Count> counts;
  for (const BrokenAttempt& attempt : attempts) {
    if (!attempt.may_be_cause) continue;
    for (size_t i = 0; i < attempt.suspects.size(); ++i) {
      const SuspectId id = attempt.suspects[i].id;
      counts.push_back({crash_quarantine->CountCrashes(id), id,
                        i < attempt.shared_prompt_parts.size()
                            ? attempt.shared_prompt_parts[i]
                            : std::string(),
                        attempt.request.value()});
    }
  }
  std::sort(counts.begin(), counts.end(),
            [](const auto& a, const auto& b) { return a.crashes > b.crashes; });
  counts.resize(std::min(counts.size(), kMaxCountsLogged));
  for (const Count& count : counts) {
    events::Log(EventId::kCrashCounted,
                {{"engine", engine},
                 {"suspect", ToHex(count.suspect)},
                 {"prompt_part", count.part},
                 {"request", count.request},
                 {"crashes", static_cast<int64_t>(count.crashes)}});
  }
}

void Gateway::Impl::ScheduleReview() {
  if (!crash_quarantine->HasToReview() ||
      std::exchange(is_review_scheduled, true)) {
    return;
  }
  threads.RunAfter(kReviewInterval, [self = shared_from_this()] {
    self->is_review_scheduled = false;
    const auto quarantined =
        self->crash_quarantine->Review(SteadyClock().Now());
    self->peers.ReportSuspects();
    self->OnQuarantine(quarantined, "entry");
    self->ScheduleReview();
  });
}

bool Gateway::Impl::RejectIfQuarantined(const LiveRequestPtr& live) {
  // An engine that has begun to answer did not crash because of the request.
  if (live->is_head_sent) return false;
  const auto admission = crash_quarantine->Admit(
      live->number, live->suspects, peers.Turn(), SteadyClock().Now());
  if (admission.is_admitted) return false;
  RejectQuarantined(live, admission.time_left, admission.suspect);
  return true;
}

void Gateway::Impl::RejectQuarantined(const LiveRequestPtr& live,
                                      Duration time_left, SuspectId suspect) {
  if (live->possible_runs > 0) {
    GiveUp(live, "quarantined");
    return;
  }
  const Duration wait = AddJitter(time_left);
  events::Log(EventId::kRequestRefused,
              {{"request", live->request.id.value()},
               {"status", http::kUnavailable},
               {"reason", "quarantined"},
               {"suspect", ToHex(suspect)},
               {"prompt_parts", JoinKeys(live->request.shared_prompt_parts)},
               {"crashes",
                static_cast<int64_t>(crash_quarantine->CountCrashes(suspect))},
               {"retry_after_s", std::chrono::duration<double>(wait).count()},
               {"sends", live->sent_attempts},
               {"config_version", live->configuration->version()}});
  live->responder->Reply(http::kUnavailable, {MakeRetryAfterHeader(wait)}, "");
  Finish(live, http::kUnavailable, "quarantined");
}

void Gateway::Impl::OnQuarantine(std::span<const SuspectId> suspects,
                                 std::string_view source) {
  if (suspects.empty()) return;
  const TimePoint now = SteadyClock().Now();
  for (const SuspectId id : suspects) {
    const quarantine::SuspectRecord& record = *crash_quarantine->Find(id);
    events::Log(
        EventId::kQuarantineStarted,
        {{"suspect", ToHex(id)},
         {"source", std::string(source)},
         {"crashes", static_cast<int64_t>(crash_quarantine->CountCrashes(id))},
         {"level", record.quarantine->level},
         {"left_ms", ToMilliseconds(record.quarantine->until - now)}});
  }
  const auto is_quarantined = [&](const LiveRequestPtr& live) {
    return std::any_of(
        live->suspects.begin(), live->suspects.end(),
        [&](const Suspect& suspect) {
          return std::find(suspects.begin(), suspects.end(), suspect.id) !=
                     suspects.end() &&
                 crash_quarantine->Find(suspect.id)->quarantine->until > now;
        });
  };
  std::vector<LiveRequestPtr> rejected;
  for (const auto& [number, live] : live_requests) {
    if (!live->is_head_sent && is_quarantined(live)) rejected.push_back(live);
  }
  for (const LiveRequestPtr& live : rejected) {
    if (live->is_done) continue;
    const bool may_have_run = live->IsAtEngine();
    EndAttempts(*live);
    queue.Remove(live->number);
    if (may_have_run) {
      ++live->possible_runs;
      GiveUp(live, "quarantined");
    } else {
      PlaceOrQueue(live);
    }
  }
}

void Gateway::Impl::NoteCompleted(const LiveRequest& live) {
  const auto released = crash_quarantine->NoteCompleted(
      Hash(live.service), live.suspects, SteadyClock().Now());
  for (const SuspectId id : released) {
    events::Log(EventId::kQuarantineEnded,
                {{"suspect", ToHex(id)},
                 {"request", live.request.id.value()},
                 {"prompt_parts", JoinKeys(live.request.shared_prompt_parts)}});
  }
  peers.ReportSuspects();
}

}  // namespace peridotshelf::gateway
