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

/// A string identifier that does not convert to one of another kind.
template <class Tag>
class Id {
 public:
  Id() = default;
  explicit Id(std::string value) : m_value(std::move(value)) {}
  explicit Id(std::string_view value) : m_value(value) {}
  explicit Id(const char* value) : m_value(value) {}

  /// The identifier's text.
  const std::string& value() const { return m_value; }
  /// Whether no identifier was given.
  bool empty() const { return m_value.empty(); }

  // clang-tidy 14 takes the defaulted operator's literal 0 for a null pointer.
  // NOLINTNEXTLINE(modernize-use-nullptr)
  friend auto operator<=>(const Id&, const Id&) = default;
  friend std::ostream& operator<<(std::ostream& out, const Id& id) {
    return out << id.m_value;
  }

 private:
  std::string m_value;
};

/// One request of a caller, the same through all its attempts.
using RequestId = Id<struct RequestTag>;
/// One engine, as the configuration names it.
using EngineId = Id<struct EngineTag>;
/// One host, as the platform's list names it.
using HostId = Id<struct HostTag>;
/// One team, as the configuration names it.
using TeamId = Id<struct TeamTag>;
/// One failure domain.
using FailureDomain = Id<struct FailureDomainTag>;
/// One process from its start to its end.
using ProcessId = Id<struct ProcessTag>;

/// The offset of the newest accepted change; 0 before any.
using ControlVersion = int64_t;

/// One try at running a request at one engine.
struct AttemptId {
  RequestId request;
  int32_t number = 0;

  // NOLINTNEXTLINE(modernize-use-nullptr): as for Id
  friend auto operator<=>(const AttemptId&, const AttemptId&) = default;
  /// "REQUEST.NUMBER", the name under which an engine knows the attempt.
  std::string ToString() const {
    return request.value() + "." + std::to_string(number);
  }
};

/// A random identifier of 32 hexadecimal digits.
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
