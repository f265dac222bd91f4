#include "daemon/Settings.h"

#include <cppunit/extensions/HelperMacros.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

using namespace sesameway;

class SettingsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SettingsTest);
  CPPUNIT_TEST(ReadsAllSettings);
  CPPUNIT_TEST(NamesFileAndKeyOfEachError);
  CPPUNIT_TEST(RefusesAddressesThatAreNotNumeric);
  CPPUNIT_TEST(ReportsAFileThatCannotBeRead);
  CPPUNIT_TEST_SUITE_END();

  std::filesystem::path mFile;

  using Lines = std::map<std::string, std::string>;

  static Lines Valid()
  {
    return { { "name", "\"vm-1\"" },
             { "zone", "\"zone-1\"" },
             { "region", "\"region-1\"" },
             { "caller_address", "\"127.0.0.1:7000\"" },
             { "peer_address", "\"[::1]:7001\"" },
             { "platform_address", "\"10.0.0.1:7002\"" },
             { "workers", "4" } };
  }

  auto Load(const Lines& aLines) const
  {
    std::ofstream file(mFile);
    for (const auto& it : aLines) {
      file << it.first << " = " << it.second << '\n';
    }
    file.close();
    return daemon::LoadSettings(mFile.string());
  }

  // Loads valid settings with the value of one key replaced. Returns the only error
  // that this must cause.
  daemon::SettingsError ErrorWith(const std::string& aKey,
                                  const std::string& aValue) const
  {
    auto lines = Valid();
    lines[aKey] = aValue;
    auto settings = Load(lines);
    CPPUNIT_ASSERT_MESSAGE(aKey + " = " + aValue, !settings);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, settings.error().size());
    return settings.error()[0];
  }

public:
  void setUp() override
  {
    auto name = (std::filesystem::temp_directory_path() / "settings-XXXXXX").string();
    close(mkstemp(name.data()));
    mFile = name;
  }
  void tearDown() override { std::filesystem::remove(mFile); }

private:
  void ReadsAllSettings()
  {
    auto settings = Load(Valid());
    CPPUNIT_ASSERT(settings);
    CPPUNIT_ASSERT_EQUAL(std::string("vm-1"), settings->mName);
    CPPUNIT_ASSERT_EQUAL(std::string("[::1]:7001"), settings->mPeerAddress);
    CPPUNIT_ASSERT_EQUAL(4, settings->mWorkers);
    auto lines = Valid();
    lines.erase("workers");
    CPPUNIT_ASSERT_EQUAL(2, Load(lines)->mWorkers);
  }

  void NamesFileAndKeyOfEachError()
  {
    auto error = ErrorWith("workers", "65");
    CPPUNIT_ASSERT_EQUAL(mFile.string(), error.mFile);
    CPPUNIT_ASSERT_EQUAL(std::string("workers"), error.mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("an integer from 1 to 64, not 65 (line 6)"),
                         error.mExpected);
    CPPUNIT_ASSERT_EQUAL(std::string("workers"), ErrorWith("workers", "0").mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("workers"), ErrorWith("workers", "2.0").mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("workers"), ErrorWith("workers", "\"2\"").mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("name"), ErrorWith("name", "\"\"").mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("name"), ErrorWith("name", "\"a b\"").mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("zone"), ErrorWith("zone", "3").mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("wokers"), ErrorWith("wokers", "3").mKey);
    CPPUNIT_ASSERT_EQUAL(std::string("peer_address"),
                         ErrorWith("peer_address", "\"127.0.0.1:7000\"").mKey);
    auto empty = Load({});
    CPPUNIT_ASSERT(!empty);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 6 }, empty.error().size());
  }

  void RefusesAddressesThatAreNotNumeric()
  {
    for (const char* it : { "\"localhost:7000\"",
                            "\"127.0.0.1\"",
                            "\"127.0.0.1:0\"",
                            "\"127.0.0.1:65536\"",
                            "\"127.0.0.1:70x\"",
                            "\"127.0.0.256:7000\"",
                            "\"::1:7000\"",
                            "\":7000\"",
                            "7000" }) {
      auto error = ErrorWith("platform_address", it);
      CPPUNIT_ASSERT_EQUAL(std::string("platform_address"), error.mKey);
    }
  }

  void ReportsAFileThatCannotBeRead()
  {
    auto absent = daemon::LoadSettings(mFile.string() + "-absent");
    CPPUNIT_ASSERT(!absent);
    CPPUNIT_ASSERT_EQUAL(mFile.string() + "-absent", absent.error()[0].mFile);
    std::ofstream(mFile) << "name = \"a\"\nname = \"b\"\n";
    auto twice = daemon::LoadSettings(mFile.string());
    CPPUNIT_ASSERT(!twice);
    CPPUNIT_ASSERT(twice.error()[0].mExpected.find("line 2") != std::string::npos);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SettingsTest);
