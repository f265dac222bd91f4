#include "sesameway/AllowedRegions.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

class AllowedRegionsTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(AllowedRegionsTest);
  CPPUNIT_TEST(AllowsAllUnlessNamesAreGiven);
  CPPUNIT_TEST(OnlyRegionsInBothAreAllowed);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a route that is out of use because it names no regions, and against
  // a database of an unknown region that gets the text of a restricted one.
  void AllowsAllUnlessNamesAreGiven()
  {
    CPPUNIT_ASSERT(AllowedRegions().Allows("a") && AllowedRegions().Allows(""));
    AllowedRegions one({ "a" });
    CPPUNIT_ASSERT(one.Allows("a") && !one.Allows("b") && !one.Allows(""));
    CPPUNIT_ASSERT(!AllowedRegions(std::set<std::string>{}).Allows("a"));
  }

  // Guards against an organisation's limit that a route lifts, and the other way round;
  // two sets without a common region must not mean that all are allowed.
  void OnlyRegionsInBothAreAllowed()
  {
    AllowedRegions route({ "a", "b" });
    AllowedRegions organisation({ "b", "c" });
    CPPUNIT_ASSERT(route.And(organisation) == AllowedRegions({ "b" }));
    CPPUNIT_ASSERT(AllowedRegions().And(route) == route);
    CPPUNIT_ASSERT(route.And(AllowedRegions()) == route);
    auto none = route.And(AllowedRegions({ "d" }));
    CPPUNIT_ASSERT(!none.AllowsAll() && !none.Allows("a") && !none.Allows("d"));
    CPPUNIT_ASSERT(AllowedRegions().And(AllowedRegions()).AllowsAll());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(AllowedRegionsTest);
