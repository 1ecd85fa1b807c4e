/// Common header of all tests: CppUnit with rapidcheck properties.
#pragma once

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace peridotshelf::testing {

/// Checks `testable` as a rapidcheck property in a CppUnit test. ctest sets the
/// seed in RC_PARAMS, so that runs are reproducible.
template <class Testable>
void CheckProperty(const std::string& name, Testable&& testable) {
  const auto result =
      rc::detail::checkTestable(std::forward<Testable>(testable));
  if (result.template is<rc::detail::SuccessResult>()) return;
  std::ostringstream message;
  rc::detail::printResultMessage(result, message);
  CPPUNIT_FAIL(name + ": " + message.str());
}

}  // namespace peridotshelf::testing
