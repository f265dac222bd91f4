#include "program/CommandLine.h"

#include <cstdlib>
#include <iostream>

namespace sesameway::program {

namespace {

namespace po = boost::program_options;

constexpr const char* kVersion = "0.1.0";

Values ParseOptions(const CommandLine& aCommandLine, int aCount, char** aArguments)
{
  // Abbreviated options are refused, as an option added later could change the meaning
  // of an abbreviation.
  constexpr int kStyle =
    po::command_line_style::unix_style & ~po::command_line_style::allow_guessing;
  po::positional_options_description words;
  if (!aCommandLine.mPositionalOption.empty()) {
    words.add(aCommandLine.mPositionalOption.c_str(), -1);
  }
  po::command_line_parser parser(aCount, aArguments);
  parser.options(aCommandLine.mOptions).positional(words).style(kStyle);
  Values values;
  po::store(parser.run(), values);
  po::notify(values);
  return values;
}

} // namespace

tl::expected<Values, int> Parse(CommandLine aCommandLine, int aCount, char** aArguments)
{
  aCommandLine.mOptions.add_options()("help", "show this help and exit")(
    "version", "show the version and exit");
  Values values;
  try {
    values = ParseOptions(aCommandLine, aCount, aArguments);
  } catch (const po::error& error) {
    return tl::unexpected(ReportUsageError(aCommandLine.mProgram, error.what()));
  }
  if (values.count("help") > 0) {
    std::cout << "Usage: " << aCommandLine.mProgram << ' ' << aCommandLine.mUsage
              << "\n\n"
              << aCommandLine.mPurpose << "\n\n"
              << aCommandLine.mOptions;
    return tl::unexpected(EXIT_SUCCESS);
  }
  if (values.count("version") > 0) {
    std::cout << aCommandLine.mProgram << ' ' << kVersion << '\n';
    return tl::unexpected(EXIT_SUCCESS);
  }
  return values;
}

int ReportUsageError(const std::string& aProgram, const std::string& aMessage)
{
  std::cerr << aProgram << ": " << aMessage << "; see " << aProgram << " --help\n";
  return kBadUsage;
}

} // namespace sesameway::program
