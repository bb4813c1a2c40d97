#include <cppunit/extensions/TestFactoryRegistry.h>
#include <cppunit/ui/text/TestRunner.h>

#include <cstdio>

// Runs all registered tests. Also fails when no test is registered.
auto main() -> int
{
    CppUnit::TextUi::TestRunner runner;
    auto* suite = CppUnit::TestFactoryRegistry::getRegistry().makeTest();
    const auto count = suite->countTestCases();
    runner.addTest(suite);
    const auto passed = runner.run("", false, true, false);
    std::printf("%d tests run\n", count);
    return passed && count > 0 ? 0 : 1;
}
