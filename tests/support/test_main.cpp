#include "base/log.hpp"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/TestRunner.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <curl/curl.h>

#include <iostream>

int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    mangolink::configure_log(mangolink::log_level::error, "test");
    CppUnit::TestResult events;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&results);
    events.addListener(&progress);
    CppUnit::TestRunner runner;
    runner.addTest(CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    runner.run(events, argc > 1 ? argv[1] : "");
    CppUnit::CompilerOutputter(&results, std::cerr).write();
    const bool ran = results.runTests() > 0;
    std::cout << results.runTests() - results.testFailuresTotal() << " passed, "
              << results.testFailuresTotal() << " failed\n";
    return ran && results.wasSuccessful() ? 0 : 1;
}
