#pragma once

#include <boost/program_options.hpp>
#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace sesameway::program {

// Exit code for a command line or a settings file that can't be used.
inline constexpr int kBadUsage = 2;

// What a program is called, what it takes, and the text above its options in --help.
struct CommandLine
{
  std::string mProgram;
  std::string mUsage;
  std::string mPurpose;
  boost::program_options::options_description mOptions{ "Options" };
  // Takes the words that are no options; empty if there may be none.
  std::string mPositionalOption{};
};

using Values = boost::program_options::variables_map;

// Answers --help and --version itself. The error is the exit code to end with.
tl::expected<Values, int> Parse(CommandLine aCommandLine,
                                int aCount,
                                char** aArguments);

// Says what is wrong on stderr, with a hint at --help, and gives kBadUsage.
int ReportUsageError(const std::string& aProgram, const std::string& aMessage);

} // namespace sesameway::program
