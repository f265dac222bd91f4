#pragma once

#include <string>

namespace sesameway::test {

// The first argument of the test program: the folder with the recorded traces or with
// the programs under test.
extern std::string gArgument;

} // namespace sesameway::test
