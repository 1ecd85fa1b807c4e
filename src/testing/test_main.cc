// Runs all registered CppUnit tests, or the test or fixture whose path is the
// first argument.
#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>

#include <iostream>
#include <string>

int main(int argc, char** argv) {
  CppUnit::TestResult controller;
  CppUnit::TestResultCollector results;
  CppUnit::BriefTestProgressListener progress;
  controller.addListener(&results);
  controller.addListener(&progress);
  CppUnit::TestRunner runner;
  runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
  runner.run(controller, argc > 1 ? argv[1] : std::string());
  CppUnit::CompilerOutputter(&results, std::cerr).write();
  const bool ran = results.runTests() > 0;
  return ran && results.wasSuccessful() ? 0 : 1;
}
