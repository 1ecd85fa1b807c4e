/// Until when engines are cold.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "peridotshelf/base/clock.h"

namespace peridotshelf::discovery {

/// Where a belief comes from.
enum class ColdSource { kRegistration, kStart, kPeer };

/// What is believed about one incarnation of an engine.
struct ColdBelief {
  /// End of the cold time; in the past if the engine is not cold.
  TimePoint until{};
  /// When the source was read.
  TimePoint known_at{};
  ColdSource source = ColdSource::kRegistration;
  /// Peers may not read it soon: a known engine turned cold again, which
  /// changes no digest.
  bool is_news = false;
};

/// One read of an engine's registration.
struct RegistrationRead {
  /// Key of the incarnation.
  std::string_view engine;
  /// How much longer the engine stays cold, as it states.
  std::optional<Duration> cold_left;
  /// Start of the engine as Unix time in ms; 0 if it is not known.
  int64_t started_unix_ms = 0;
  TimePoint at{};
  int64_t unix_ms = 0;
  /// The read is part of the first full read of the registrations.
  bool is_first_read = false;
  /// The read may find an older copy of the registrations.
  bool is_copy = false;
  /// How long the engine's service is cold after a start.
  Duration cold_time{};
};

/// Holds one belief for each incarnation. A registration that states a cold
/// time replaces the belief. One that states none ends only what a registration
/// stated; the cold time of an engine that has just started runs out by itself.
/// The cold time of an incarnation that appears after the first full read, or
/// whose start is recent, is assumed until its registration states one.
///
/// All entries do not read the registrations at the same time, therefore they
/// share their beliefs; the one whose source was read last counts. Not
/// thread-safe.
class ColdEngines {
 public:
  /// Applies one read. Returns whether the engine turned cold, or its cold time
  /// moved by more than reads of the same statement differ.
  bool NoteRegistration(const RegistrationRead& read);
  /// Applies a peer's belief. Returns whether the belief changed.
  bool NotePeer(const std::string& engine, const ColdBelief& belief);
  /// Returns the belief about an engine that is cold at `now`, or null.
  const ColdBelief* FindCold(std::string_view engine, TimePoint now) const;
  /// Returns the keys of the engines that are cold at `now`.
  std::vector<std::string> FindAllCold(TimePoint now) const;
  /// Forgets incarnations that were not read for long.
  void ForgetOld(TimePoint now);

 private:
  struct Incarnation {
    std::optional<ColdBelief> belief;
    /// The registration was read by this entry.
    bool is_known = false;
    TimePoint last_noted_at{};
  };

  static std::optional<ColdBelief> ReadBelief(const RegistrationRead& read,
                                              const Incarnation& known);

  std::unordered_map<std::string, Incarnation> m_incarnations;
};

}  // namespace peridotshelf::discovery
