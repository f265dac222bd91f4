#include "ProxyDaemon.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::test;

class OwnRecordTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(OwnRecordTest);
  CPPUNIT_TEST(ADaemonRegistersWithItsSpeed);
  CPPUNIT_TEST_SUITE_END();

  // Guards against daemons that all count as equally fast when homes are chosen.
  void ADaemonRegistersWithItsSpeed()
  {
    auto* daemon = new ProxyDaemon("a", FreeAddress(), {}, false);
    daemon->Write({ kConfiguration, 1, 2, "small", false });
    daemon->Run();
    auto deadline = Clock::now() + seconds(10);
    auto body = [daemon] { return daemon->Put("sesameway/member.a").mBody; };
    while (body().empty() && Clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    auto record = ParseMemberRecord(body());
    daemon->Stop();
    CPPUNIT_ASSERT(record.has_value());
    CPPUNIT_ASSERT_EQUAL(kProxySpeed, record->mSpeed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(OwnRecordTest);
