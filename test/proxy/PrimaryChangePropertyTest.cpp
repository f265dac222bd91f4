#include "PrimaryChangeWorld.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace sesameway;
using namespace sesameway::test;

namespace {

// Out of 100 steps, how many are of which kind.
constexpr std::array<int, 17> kWeights{
  { 22, 16, 16, 16, 2, 2, 3, 3, 4, 2, 2, 2, 2, 1, 5, 1, 1 }
};
constexpr int kSteps = 100;
constexpr int kPicks = 1000;
constexpr int kLongest = 250;

ChangeStep StepOf(int aNumber)
{
  std::uint8_t kind = 0;
  for (int left = aNumber % kSteps; left >= kWeights[kind]; ++kind) {
    left -= kWeights[kind];
  }
  return { static_cast<ChangeStepKind>(kind),
           static_cast<std::size_t>(aNumber / kSteps) };
}

rc::Gen<std::vector<ChangeStep>> Schedules()
{
  auto step = rc::gen::map(rc::gen::inRange(0, kSteps * kPicks), StepOf);
  return rc::gen::resize(kLongest,
                         rc::gen::container<std::vector<ChangeStep>>(std::move(step)));
}

} // namespace

class PrimaryChangePropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PrimaryChangePropertyTest);
  CPPUNIT_TEST(NothingIsBelievedOfAReplacedPrimary);
  CPPUNIT_TEST_SUITE_END();

  // Guards against answers of replaced primaries, statements that share a connection,
  // and promises that nothing is kept of what is.
  void NothingIsBelievedOfAReplacedPrimary()
  {
    int done = 0;
    int promotions = 0;
    bool isHeld = rc::check("no replaced primary is believed", [&] {
      auto hasContact = *rc::gen::arbitrary<bool>();
      auto connections = *rc::gen::element<std::uint32_t>(3, 4, 6);
      auto steps = *Schedules();
      PrimaryChangeWorld world(hasContact, connections);
      for (const auto& it : steps) {
        world.Do(it);
        world.Tick();
        if (!world.Faults().empty()) {
          RC_FAIL(world.Faults().front());
        }
      }
      done += world.Done();
      promotions += world.Promotions();
    });
    CPPUNIT_ASSERT(isHeld);
    // Otherwise little was tried.
    CPPUNIT_ASSERT(done > 100);
    CPPUNIT_ASSERT(promotions > 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryChangePropertyTest);
