#include "ProxyDaemon.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::test;

// Covers a daemon whose store returns with an older copy of itself.
class StoreRestoreTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StoreRestoreTest);
  CPPUNIT_TEST(AnOlderConfigurationIsNotTaken);
  CPPUNIT_TEST(TheRecordOfAGroupThatTheStoreLostIsWrittenBack);
  CPPUNIT_TEST(TheLeaseThatTheStoreLostIsWrittenAnew);
  CPPUNIT_TEST(AnEvacuationThatTheStoreLostIsWrittenBack);
  CPPUNIT_TEST(EvacuationsAreNotFollowedWithoutTheirKind);
  CPPUNIT_TEST_SUITE_END();

  static platform::Object Configuration(std::uint64_t aVersion, std::uint64_t aRevision)
  {
    return { kConfiguration, aVersion, aRevision, std::to_string(aVersion), false };
  }

  static platform::Object Group(std::uint64_t aChange, std::uint64_t aRevision)
  {
    GroupRecord record{ "g", GroupPhase::Serving, aChange, aChange, "i-1", "" };
    return {
      "sesameway/group.g", aRevision, aRevision, FormatGroupRecord(record), false
    };
  }

  static bool IsSoon(const std::function<bool()>& aCondition)
  {
    auto deadline = Clock::now() + seconds(10);
    while (!aCondition() && Clock::now() < deadline) {
      std::this_thread::sleep_for(milliseconds(20));
    }
    return aCondition();
  }

  // Guards against a withdrawn key or a removed route that is in use again until the
  // operator has written the configuration anew.
  void AnOlderConfigurationIsNotTaken()
  {
    auto* daemon = new ProxyDaemon("a", FreeAddress(), {}, false);
    daemon->Write(Configuration(7, 9));
    daemon->Run();
    CPPUNIT_ASSERT(IsSoon([&] { return daemon->VersionInForce() == 7; }));
    daemon->Restore({ Configuration(5, MakeRevision(1, 6)) });
    CPPUNIT_ASSERT(daemon->Receives("5", Clock::now() + seconds(5)));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 7 }, daemon->VersionInForce());
    daemon->Write(Configuration(8, MakeRevision(1, 8)));
    CPPUNIT_ASSERT(IsSoon([&] { return daemon->VersionInForce() == 8; }));
    daemon->Stop();
  }

  // Guards against a coordinator that starts after the store's return, and does not
  // know of the last change of primary.
  void TheRecordOfAGroupThatTheStoreLostIsWrittenBack()
  {
    auto* daemon = new ProxyDaemon("a", FreeAddress(), {}, false);
    daemon->Write(Configuration(7, 5));
    daemon->Write(Group(2, 9));
    daemon->Run();
    CPPUNIT_ASSERT(IsSoon([&] { return daemon->VersionInForce() == 7; }));
    daemon->Restore(
      { Configuration(7, MakeRevision(1, 5)), Group(1, MakeRevision(1, 6)) });
    CPPUNIT_ASSERT(IsSoon(
      [&] { return daemon->Put("sesameway/group.g").mBody == Group(2, 9).mBody; }));
    daemon->Stop();
  }

  // Guards against a fleet that never has a coordinator again.
  void TheLeaseThatTheStoreLostIsWrittenAnew()
  {
    auto* daemon = new ProxyDaemon("a", FreeAddress(), {}, false);
    CoordinatorRecord lease{ "b", "127.0.0.1:1", 7, 3, 9 };
    daemon->Write(Configuration(7, 5));
    daemon->Write(
      { "sesameway/coordinator", 9, 9, FormatCoordinatorRecord(lease), false });
    daemon->Run();
    CPPUNIT_ASSERT(IsSoon([&] { return daemon->VersionInForce() == 7; }));
    daemon->Restore({ Configuration(7, MakeRevision(1, 5)) });
    CPPUNIT_ASSERT(
      IsSoon([&] { return !daemon->Put("sesameway/coordinator").mBody.empty(); }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 },
                         daemon->Put("sesameway/coordinator").mExpected);
    daemon->Stop();
  }

  static platform::Object Evacuation(std::uint64_t aRevision)
  {
    return { "evacuations/z", aRevision, aRevision, "{}", false };
  }

  // Guards against statements that go back to an evacuated zone because the store lost
  // the request, and against daemons that start later and never learn of it.
  void AnEvacuationThatTheStoreLostIsWrittenBack()
  {
    auto* daemon = new ProxyDaemon("a", FreeAddress(), {}, false, "evacuations");
    daemon->Write(Configuration(7, 5));
    daemon->Write(Evacuation(9));
    daemon->Run();
    CPPUNIT_ASSERT(IsSoon([&] { return daemon->EvacuatedZones() == 1; }));
    daemon->Restore({ Configuration(7, MakeRevision(1, 5)) });
    CPPUNIT_ASSERT(IsSoon([&] { return daemon->Put("evacuations/z").mBody == "{}"; }));
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 0 }, daemon->Put("evacuations/z").mExpected);
    CPPUNIT_ASSERT_EQUAL(1.0, daemon->EvacuatedZones());
    daemon->Write(Evacuation(MakeRevision(1, 10)));
    auto removal = Evacuation(MakeRevision(1, 11));
    removal.mDeleted = true;
    daemon->Write(removal);
    CPPUNIT_ASSERT(IsSoon([&] { return daemon->EvacuatedZones() == 0; }));
    daemon->Stop();
  }

  // Guards against calls to the store for a kind that the settings don't ask for.
  void EvacuationsAreNotFollowedWithoutTheirKind()
  {
    auto* daemon = new ProxyDaemon("a", FreeAddress(), {}, false);
    daemon->Write(Evacuation(4));
    daemon->Write(Configuration(7, 5));
    daemon->Run();
    CPPUNIT_ASSERT(IsSoon([&] { return daemon->VersionInForce() == 7; }));
    std::this_thread::sleep_for(milliseconds(400));
    CPPUNIT_ASSERT_EQUAL(0.0, daemon->EvacuatedZones());
    daemon->Stop();
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StoreRestoreTest);
