/// Generators of bytes for the boundaries of a process: well-formed messages
/// with parts that are replaced, repeated, cut or changed.
#pragma once

#include <rapidcheck.h>

#include <string>
#include <vector>

namespace peridotshelf::testing {

/// Bytes as they come: control characters, bytes over 127, parts of UTF-8
/// characters, separators of the formats and long runs.
rc::Gen<std::string> DrawBytes();

/// `bytes`, unchanged in about half of the cases; else with parts cut,
/// repeated, overwritten or inserted.
rc::Gen<std::string> DrawChanged(const std::string& bytes);

/// A number as text: small, at the limits of types, negative, fractional or
/// none at all.
rc::Gen<std::string> DrawNumber();

struct JsonField {
  std::string key;
  /// JSON texts of sound values.
  std::vector<std::string> values;
};

/// JSON text of an object with these fields, some of them missing, or with
/// other keys, or with values of any type.
rc::Gen<std::string> DrawJsonObject(std::vector<JsonField> fields);

/// A header line with its CRLF: `name` and one of `values`, or with other
/// bytes, repeated, or missing.
rc::Gen<std::string> DrawHeader(const std::string& name,
                                std::vector<std::string> values);

}  // namespace peridotshelf::testing
