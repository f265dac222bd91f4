#include "SlowLink.h"
#include "ProxyDaemon.h"

#include <cppunit/extensions/HelperMacros.h>

#include <random>

using namespace sesameway;
using namespace sesameway::test;

namespace {

// A link of 10 Mbit/s.
constexpr std::size_t kBytesPerSecond = 1'250'000;
// The largest object that the store takes.
constexpr std::size_t kLargestObject = 1 << 20;
// Time in which a configuration must be in force everywhere.
constexpr Duration kInForceWithin = seconds(5);

// Text that can't be compressed.
std::string RandomText(std::size_t aBytes)
{
  std::mt19937_64 random(20261204);
  std::string text(aBytes, ' ');
  for (auto& it : text) {
    it = static_cast<char>(random());
  }
  return text;
}

} // namespace

// Covers the transfer of the store's objects from one daemon to another over a link
// that takes longer for an object than a call may take.
class SlowLinkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SlowLinkTest);
  CPPUNIT_TEST(ALargeConfigurationIsInForceInTimeBehindASlowLink);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a configuration that is never in force where its transfer takes
  // longer than one call to a peer may take.
  void ALargeConfigurationIsInForceInTimeBehindASlowLink()
  {
    auto address = FreeAddress();
    auto* near = new ProxyDaemon("a", address, {}, false);
    SlowLink link(address, kBytesPerSecond);
    auto* far = new ProxyDaemon("b", FreeAddress(), { link.Address() }, true);
    near->Write({ kConfiguration, 1, 2, "small", false });
    near->Write({ "sesameway/member.a",
                  1,
                  3,
                  FormatMemberRecord({ "a", "z", link.Address(), 1, false }),
                  false });
    near->Run();
    far->Run();
    bool isStarted = far->Receives("small", Clock::now() + seconds(20));
    auto text = RandomText(kLargestObject);
    near->Write({ kConfiguration, 2, 4, text, false });
    bool isInForce = far->Receives(text, Clock::now() + kInForceWithin);
    // The daemon gets other changes all the while.
    double contactAge = far->ContactAge();
    near->Stop();
    far->Stop();
    CPPUNIT_ASSERT(isStarted);
    CPPUNIT_ASSERT(isInForce);
    CPPUNIT_ASSERT(contactAge < 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowLinkTest);
