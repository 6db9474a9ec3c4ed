#include "base/log.hpp"

#include <cppunit/BriefTestProgressListener.h>
#include <cppunit/CompilerOutputter.h>
#include <cppunit/Test.h>
#include <cppunit/TestResult.h>
#include <cppunit/TestResultCollector.h>
#include <cppunit/extensions/TestFactoryRegistry.h>
#include <curl/curl.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <set>
#include <string>

namespace
{

/// Returns the names of the tests in the list of known faults: the text before
/// the first " |" of each line that is not a comment.
std::set<std::string> read_known_red(const std::string& path)
{
    std::set<std::string> names;
    std::ifstream in(path);
    for (std::string line; std::getline(in, line);)
    {
        if (!line.empty() && line.front() != '#')
        {
            names.insert(line.substr(0, line.find(" |")));
        }
    }
    return names;
}

/// Runs all tests below `test`, except those in the list.
void run_tests(CppUnit::Test& test, const std::set<std::string>& known_red,
               CppUnit::TestResult& events)
{
    if (known_red.contains(test.getName()))
    {
        std::cout << "known red, not run: " << test.getName() << "\n";
        return;
    }
    if (test.getChildTestCount() == 0)
    {
        test.run(&events);
    }
    for (int i = 0; i < test.getChildTestCount(); ++i)
    {
        run_tests(*test.getChildTestAt(i), known_red, events);
    }
}

} // namespace

/// Usage: PROGRAM [--known-red FILE] [TEST]
int main(int argc, char** argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    mangolink::configure_log(mangolink::log_level::error, "test");
    std::set<std::string> known_red;
    std::string name;
    for (int i = 1; i < argc; ++i)
    {
        if (std::string(argv[i]) == "--known-red" && i + 1 < argc)
        {
            known_red = read_known_red(argv[++i]);
        }
        else
        {
            name = argv[i];
        }
    }
    CppUnit::TestResult events;
    CppUnit::TestResultCollector results;
    CppUnit::BriefTestProgressListener progress;
    events.addListener(&results);
    events.addListener(&progress);
    const std::unique_ptr<CppUnit::Test> all(
        CppUnit::TestFactoryRegistry::getRegistry().makeTest());
    run_tests(name.empty() ? *all : *all->findTest(name), known_red, events);
    CppUnit::CompilerOutputter(&results, std::cerr).write();
    const bool ran = results.runTests() > 0;
    std::cout << results.runTests() - results.testFailuresTotal() << " passed, "
              << results.testFailuresTotal() << " failed\n";
    return ran && results.wasSuccessful() ? 0 : 1;
}
