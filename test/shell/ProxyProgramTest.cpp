#include "proxy/FreeAddress.h"
#include "shell/Processes.h"
#include "shell/TemporaryFolder.h"

#include <cppunit/extensions/HelperMacros.h>

#include <csignal>
#include <fstream>
#include <memory>
#include <string>
#include <vector>

using namespace sesameway;
using namespace sesameway::test;

// Tests of sesameproxy as a process.
class ProxyProgramTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(ProxyProgramTest);
  CPPUNIT_TEST(AStopKeepsToTheSettingsOfThatMoment);
  CPPUNIT_TEST_SUITE_END();

  std::unique_ptr<TemporaryFolder> mFolder;

public:
  void setUp() override { mFolder = std::make_unique<TemporaryFolder>(); }
  void tearDown() override { mFolder.reset(); }

private:
  static std::string SettingsWith(int aGraceS, const std::vector<std::string>& aFree)
  {
    auto port = aFree[2].substr(aFree[2].find(':') + 1);
    return R"({"nodeName":"f1","zone":"z","ip":"127.0.0.2","zones":{"z":"r"},)"
           R"("listen":{"front":")" +
           aFree[0] + R"(","ready":")" + aFree[1] + R"(","control":")" + aFree[3] +
           R"("},"portRange":[)" + port + ',' + port + R"(],"platform":{"addr":")" +
           aFree[4] + R"("},"cloud":{"addr":")" + aFree[4] +
           R"("},"parameters":{"graceS":)" + std::to_string(aGraceS) + "}}";
  }

  // Whether something listens at the address, IP:port.
  static bool Accepts(const std::string& aAddress)
  {
    auto colon = aAddress.find(':');
    boost::asio::io_context io;
    boost::asio::ip::tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(
      { boost::asio::ip::make_address(aAddress.substr(0, colon)),
        static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) },
      error);
    return !error;
  }

  // Guards against a stop that keeps to a time until the kill that has become shorter
  // since the settings were read last, so that the process is killed with requests
  // under way.
  void AStopKeepsToTheSettingsOfThatMoment()
  {
    constexpr int kGraceS = 2;
    std::vector<std::string> addresses;
    for (int n = 0; n < 5; ++n) {
      addresses.push_back(FreeAddress());
    }
    auto file = (mFolder->Path() / "settings.json").string();
    std::ofstream(file) << SettingsWith(6, addresses);
    Process process("sesameproxy", { "--settings", file }, mFolder->Path() / "log");
    CPPUNIT_ASSERT(WaitUntil([&] { return Accepts(addresses[0]); }, seconds(10)));
    std::ofstream(file) << SettingsWith(kGraceS, addresses);
    process.Signal(SIGTERM);
    CPPUNIT_ASSERT_EQUAL(0, process.Wait(Clock::now() + seconds(kGraceS)));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(ProxyProgramTest);
