/// Reads the fields of a JSON object and collects all errors with their paths.
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

/// Whether a field is required.
enum class Presence { kRequired, kOptional };

/// An inclusive range of a number.
template <class T>
struct Range {
  T min;
  T max;
};

/// Reads one object. Errors are appended to the given list, and a field with an
/// error yields its default value, so that one pass finds all errors.
class JsonFields {
 public:
  JsonFields(const nlohmann::json& value, std::string path,
             ConfigurationErrors& errors)
      : m_value(&value), m_path(std::move(path)), m_errors(&errors) {
    if (!value.is_object()) AddError(m_path, "must be an object");
  }
  JsonFields(const JsonFields&) = delete;
  JsonFields& operator=(const JsonFields&) = delete;

  /// Returns the field, or null if it is missing. Adds an error if a missing
  /// field is required.
  const nlohmann::json* Find(const std::string& name, Presence presence) {
    m_known_fields.insert(name);
    if (!m_value->is_object()) return nullptr;
    const auto it = m_value->find(name);
    if (it != m_value->end()) return &*it;
    if (presence == Presence::kRequired) {
      AddError(GetFieldPath(name), "is missing");
    }
    return nullptr;
  }

  /// Reads a non-empty string.
  std::string ReadString(const std::string& name,
                         Presence presence = Presence::kRequired) {
    const nlohmann::json* value = Find(name, presence);
    if (value == nullptr) return {};
    if (!value->is_string() || value->get_ref<const std::string&>().empty()) {
      AddError(GetFieldPath(name), "must be a non-empty string");
      return {};
    }
    return value->get<std::string>();
  }

  bool ReadBool(const std::string& name, bool default_value) {
    const nlohmann::json* value = Find(name, Presence::kOptional);
    if (value == nullptr) return default_value;
    if (!value->is_boolean()) {
      AddError(GetFieldPath(name), "must be true or false");
      return default_value;
    }
    return value->get<bool>();
  }

  int64_t ReadInteger(const std::string& name, Presence presence,
                      int64_t default_value, Range<int64_t> range) {
    const nlohmann::json* value = Find(name, presence);
    if (value == nullptr) return default_value;
    const bool fits =
        value->is_number_integer() &&
        !(value->is_number_unsigned() &&
          value->get<uint64_t>() > static_cast<uint64_t>(INT64_MAX)) &&
        value->get<int64_t>() >= range.min &&
        value->get<int64_t>() <= range.max;
    if (fits) return value->get<int64_t>();
    AddError(GetFieldPath(name), "must be an integer from " +
                                     std::to_string(range.min) + " to " +
                                     std::to_string(range.max));
    return default_value;
  }

  double ReadNumber(const std::string& name, double default_value,
                    Range<double> range) {
    const nlohmann::json* value = Find(name, Presence::kOptional);
    if (value == nullptr) return default_value;
    const double number = value->is_number() ? value->get<double>() : NAN;
    if (number >= range.min && number <= range.max) return number;
    AddError(GetFieldPath(name), "must be a number from " +
                                     nlohmann::json(range.min).dump() + " to " +
                                     nlohmann::json(range.max).dump());
    return default_value;
  }

  /// Returns the elements of an array; none if it is missing or not an array.
  std::vector<const nlohmann::json*> ReadArray(const std::string& name,
                                               Presence presence) {
    std::vector<const nlohmann::json*> elements;
    const nlohmann::json* value = Find(name, presence);
    if (value == nullptr) return elements;
    if (!value->is_array()) {
      AddError(GetFieldPath(name), "must be an array");
      return elements;
    }
    for (const auto& element : *value) elements.push_back(&element);
    return elements;
  }

  /// Reads an optional array of strings.
  std::vector<std::string> ReadStrings(const std::string& name) {
    std::vector<std::string> texts;
    size_t index = 0;
    for (const nlohmann::json* element : ReadArray(name, Presence::kOptional)) {
      const std::string path =
          GetFieldPath(name) + "/" + std::to_string(index++);
      if (element->is_string()) {
        texts.push_back(element->get<std::string>());
      } else {
        AddError(path, "must be a string");
      }
    }
    return texts;
  }

  /// Adds an error for every field that was not read.
  void RejectUnknownFields() {
    if (!m_value->is_object()) return;
    for (const auto& [name, value] : m_value->items()) {
      if (!m_known_fields.contains(name))
        AddError(GetFieldPath(name), "is not a known field");
    }
  }

  void AddError(std::string path, std::string message) {
    m_errors->push_back({std::move(path), std::move(message)});
  }
  std::string GetFieldPath(const std::string& name) const {
    return m_path + "/" + name;
  }
  ConfigurationErrors& errors() { return *m_errors; }

 private:
  const nlohmann::json* m_value;
  std::string m_path;
  ConfigurationErrors* m_errors;
  std::set<std::string> m_known_fields;
};

}  // namespace peridotshelf::control::detail
