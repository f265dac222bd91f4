#include "TestMain.h"
#include "shell/Processes.h"
#include "shell/TemporaryFolder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <fstream>
#include <memory>
#include <sstream>

using namespace sesameway;
using namespace sesameway::test;

// Checks the command lines of all programs: help, version, and exit code 2 for bad
// usage.
class ProgramsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProgramsTest);
  CPPUNIT_TEST(EveryProgramShowsHelpAndVersion);
  CPPUNIT_TEST(BadUsageExitsWithCode2);
  CPPUNIT_TEST(CheckSettingsNamesFileKeyAndExpectation);
  CPPUNIT_TEST_SUITE_END();

  struct Result
  {
    int mCode;
    std::string mText;
  };

  std::unique_ptr<TemporaryFolder> mFolder;

  Result Run(const std::string& aProgram,
             const std::vector<std::string>& aArguments) const
  {
    auto log = mFolder->Path() / "log";
    std::filesystem::remove(log);
    Process process(aProgram, aArguments, log);
    int code = process.Wait(Clock::now() + seconds(20));
    std::ostringstream text;
    text << std::ifstream(log).rdbuf();
    return { code, text.str() };
  }

public:
  void setUp() override { mFolder = std::make_unique<TemporaryFolder>(); }
  void tearDown() override { mFolder.reset(); }

private:
  void EveryProgramShowsHelpAndVersion()
  {
    for (const char* it : { "sesamed", "sesamectl", "sesameload", "sesamestand" }) {
      auto help = Run(it, { "--help" });
      CPPUNIT_ASSERT_EQUAL(0, help.mCode);
      CPPUNIT_ASSERT(help.mText.find("--version") != std::string::npos);
      auto version = Run(it, { "--version" });
      CPPUNIT_ASSERT_EQUAL(0, version.mCode);
      CPPUNIT_ASSERT(version.mText.starts_with(std::string(it) + " "));
    }
  }

  void BadUsageExitsWithCode2()
  {
    for (const char* it : { "sesamed", "sesamectl", "sesameload", "sesamestand" }) {
      CPPUNIT_ASSERT_EQUAL(2, Run(it, {}).mCode);
      CPPUNIT_ASSERT_EQUAL(2, Run(it, { "--no-such-option" }).mCode);
    }
    CPPUNIT_ASSERT_EQUAL(2, Run("sesamed", { "--settings" }).mCode);
    CPPUNIT_ASSERT_EQUAL(
      2, Run("sesamestand", { "--address", "127.0.0.1:1", "--fault", "none" }).mCode);
  }

  void CheckSettingsNamesFileKeyAndExpectation()
  {
    auto file = (mFolder->Path() / "settings.toml").string();
    std::string valid = "name = \"vm-1\"\nzone = \"zone-1\"\nregion = \"region-1\"\n"
                        "caller_address = \"127.0.0.1:7000\"\n"
                        "peer_address = \"127.0.0.1:7001\"\n"
                        "platform_address = \"127.0.0.1:7002\"\n";
    std::ofstream(file) << valid;
    auto accepted = Run("sesamed", { "--settings", file, "--check-settings" });
    CPPUNIT_ASSERT_EQUAL(0, accepted.mCode);
    CPPUNIT_ASSERT_EQUAL(std::string("settings ok\n"), accepted.mText);
    std::ofstream(file) << valid << "wokers = 2\n";
    auto refused = Run("sesamed", { "--settings", file, "--check-settings" });
    CPPUNIT_ASSERT_EQUAL(2, refused.mCode);
    auto start = "sesamed: file=" + file + " key=wokers expected=";
    CPPUNIT_ASSERT(refused.mText.starts_with(start));
    // Without --check-settings, sesamed refuses to start with these settings as well.
    CPPUNIT_ASSERT_EQUAL(2, Run("sesamed", { "--settings", file }).mCode);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProgramsTest);
