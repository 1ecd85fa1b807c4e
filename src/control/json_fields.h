/// Reads the fields of one JSON object and collects every fault with its path.
#pragma once

#include <cmath>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "peridotshelf/control/configuration_reader.h"

namespace peridotshelf::control::detail {

/// Whether a field may be missing.
enum class Presence { kRequired, kOptional };

/// The range of a number, ends included.
template <class T>
struct Range {
  T least;
  T most;
};

/// Reads one object. Faults go to the list given; a reading that failed
/// returns the default, so that one pass finds every fault.
class JsonFields {
 public:
  JsonFields(const nlohmann::json& value, std::string path,
             ConfigurationErrors& faults)
      : m_value(&value), m_path(std::move(path)), m_faults(&faults) {
    if (!value.is_object()) AddFault(m_path, "must be an object");
  }
  JsonFields(const JsonFields&) = delete;
  JsonFields& operator=(const JsonFields&) = delete;

  /// The field, or null after noting that a required one is missing.
  const nlohmann::json* Find(const std::string& name, Presence presence) {
    m_known.insert(name);
    if (!m_value->is_object()) return nullptr;
    const auto it = m_value->find(name);
    if (it != m_value->end()) return &*it;
    if (presence == Presence::kRequired) {
      AddFault(PathOf(name), "is missing");
    }
    return nullptr;
  }

  /// A string that is not empty.
  std::string Text(const std::string& name,
                   Presence presence = Presence::kRequired) {
    const nlohmann::json* value = Find(name, presence);
    if (value == nullptr) return {};
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
      AddFault(PathOf(name), "must be a string that is not empty");
      return {};
    }
    return value->get<std::string>();
  }

  bool Flag(const std::string& name, bool otherwise) {
    const nlohmann::json* value = Find(name, Presence::kOptional);
    if (value == nullptr) return otherwise;
    if (!value->is_boolean()) {
      AddFault(PathOf(name), "must be true or false");
      return otherwise;
    }
    return value->get<bool>();
  }

  int64_t Integer(const std::string& name, Presence presence, int64_t otherwise,
                  Range<int64_t> range) {
    const nlohmann::json* value = Find(name, presence);
    if (value == nullptr) return otherwise;
    const bool fits =
        value->is_number_integer() &&
        !(value->is_number_unsigned() &&
          value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) &&
        value->get<int64_t>() >= range.least &&
        value->get<int64_t>() <= range.most;
    if (fits) return value->get<int64_t>();
    AddFault(PathOf(name), "must be a whole number from " +
                               std::to_string(range.least) + " to " +
                               std::to_string(range.most));
    return otherwise;
  }

  double Number(const std::string& name, double otherwise,
                Range<double> range) {
    const nlohmann::json* value = Find(name, Presence::kOptional);
    if (value == nullptr) return otherwise;
    const double number = value->is_number() ? value->get<double>() : NAN;
    if (number >= range.least && number <= range.most) return number;
    AddFault(PathOf(name), "must be a number from " +
                               nlohmann::json(range.least).dump() + " to " +
                               nlohmann::json(range.most).dump());
    return otherwise;
  }

  /// The elements of an array; none if it is missing or malformed.
  std::vector<const nlohmann::json*> Elements(const std::string& name,
                                              Presence presence) {
    std::vector<const nlohmann::json*> elements;
    const nlohmann::json* value = Find(name, presence);
    if (value == nullptr) return elements;
    if (!value->is_array()) {
      AddFault(PathOf(name), "must be an array");
      return elements;
    }
    for (const auto& element : *value) elements.push_back(&element);
    return elements;
  }

  /// An array of strings that are not empty.
  std::vector<std::string> Texts(const std::string& name) {
    std::vector<std::string> texts;
    size_t index = 0;
    for (const nlohmann::json* element : Elements(name, Presence::kOptional)) {
      const std::string path = PathOf(name) + "/" + std::to_string(index++);
      if (element->is_string()) {
        texts.push_back(element->get<std::string>());
      } else {
        AddFault(path, "must be a string");
      }
    }
    return texts;
  }

  /// Notes every field that no call asked for.
  void RejectUnknown() {
    if (!m_value->is_object()) return;
    for (const auto& [name, value] : m_value->items()) {
      if (!m_known.contains(name)) AddFault(PathOf(name), "is not known");
    }
  }

  void AddFault(std::string path, std::string message) {
    m_faults->push_back({std::move(path), std::move(message)});
  }
  std::string PathOf(const std::string& name) const {
    return m_path + "/" + name;
  }
  ConfigurationErrors& faults() { return *m_faults; }

 private:
  const nlohmann::json* m_value;
  std::string m_path;
  ConfigurationErrors* m_faults;
  std::set<std::string> m_known;
};

}  // namespace peridotshelf::control::detail
