#pragma once

#include <boost/program_options.hpp>
#include <tl/expected.hpp>

#include <string>
#include <vector>

namespace sesameway::program {

// Exit code for an invalid command line or settings file.
inline constexpr int kBadUsage = 2;

// A program's name and options, and the texts that --help prints: the usage line
// without the name, and a description above the list of options.
struct CommandLine
{
  std::string mProgram;
  std::string mUsage;
  std::string mPurpose;
  boost::program_options::options_description mOptions{ "Options" };
  // Name of the option that receives the positional arguments; empty if the program
  // takes none.
  std::string mPositionalOption{};
};

using Values = boost::program_options::variables_map;

// Parses the command line. For --help and --version, and for invalid arguments, it
// prints the text and returns the exit code as the error.
tl::expected<Values, int> Parse(CommandLine aCommandLine,
                                int aCount,
                                char** aArguments);

// Prints the message with a hint at --help to stderr and returns kBadUsage.
int ReportUsageError(const std::string& aProgram, const std::string& aMessage);

} // namespace sesameway::program
