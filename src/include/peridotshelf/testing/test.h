/// What each test file includes: CppUnit and rapidcheck joined.
#pragma once

#include <cppunit/TestFixture.h>
#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <string>
#include <utility>

namespace peridotshelf::testing {

/// Checks `testable` as a rapidcheck property inside a CppUnit test. The seed
/// comes from RC_PARAMS, which ctest sets, so every run is the same.
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
