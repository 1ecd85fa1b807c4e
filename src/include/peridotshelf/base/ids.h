/// Strongly typed identifiers.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <string_view>
#include <utility>

namespace peridotshelf {

/// A string identifier that does not convert to any other type of identifier.
template <class Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : m_value(std::move(value)) {}
  explicit Id(std::string_view value) : m_value(value) {}
  explicit Id(const char* value) : m_value(value) {}

  /// Returns the identifier's text.
  const std::string& value() const { return m_value; }
  /// Returns whether the identifier is unset.
  bool empty() const { return m_value.empty(); }

  // clang-tidy 14 mistakes the defaulted operator's literal 0 for a pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.m_value;
  }

 private:
  std::string m_value;
};

/// A caller's request. All its attempts have the same identifier.
using RequestId = Id<struct RequestTag>;
/// An engine, as named in the configuration.
using EngineId = Id<struct EngineTag>;
/// A host, as named in the platform's host list.
using HostId = Id<struct HostTag>;
/// A team, as named in the configuration.
using TeamId = Id<struct TeamTag>;
/// A failure domain.
using FailureDomain = Id<struct FailureDomainTag>;
/// A run of a process, from its start to its exit.
using ProcessId = Id<struct ProcessTag>;

/// The offset of the newest accepted change; 0 before the first.
using ControlVersion = int64_t;

/// An attempt to run a request at one engine.
struct AttemptId {
  RequestId request;
  int32_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): as for Id
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
  /// Returns "REQUEST.NUMBER", the name of the attempt at an engine.
  std::string ToString() const {
    return request.value() + "." + std::to_string(number);
  }
};

/// Returns a random identifier of 32 hexadecimal digits.
std::string MakeRandomId();

}  // namespace peridotshelf

template <class Tag>
struct std::hash<peridotshelf::Id<Tag>> {
  size_t operator()(const peridotshelf::Id<Tag>& id) const noexcept {
    return std::hash<std::string>()(id.value());
  }
};

template <>
struct std::hash<peridotshelf::AttemptId> {
  size_t operator()(const peridotshelf::AttemptId& id) const noexcept {
    return std::hash<std::string>()(id.request.value()) * 31 +
           static_cast<size_t>(id.number);
  }
};
