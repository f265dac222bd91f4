#include "PrimaryChangeWorld.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace sesameway;
using namespace sesameway::test;

namespace {

// Weight of each ChangeStepKind, in the order of the enum. The weights add up to
// kTotalWeight.
constexpr std::array<int, 17> kWeights{
  { 22, 16, 16, 16, 2, 2, 3, 3, 4, 2, 2, 2, 2, 1, 5, 1, 1 }
};
constexpr int kTotalWeight = 100;
constexpr int kPickCount = 1000;
constexpr int kMaxScheduleSteps = 250;

// Maps a number below kTotalWeight * kPickCount to a step of weighted kind.
ChangeStep DecodeStep(int aNumber)
{
  std::uint8_t kind = 0;
  for (int left = aNumber % kTotalWeight; left >= kWeights[kind]; ++kind) {
    left -= kWeights[kind];
  }
  return { static_cast<ChangeStepKind>(kind),
           static_cast<std::size_t>(aNumber / kTotalWeight) };
}

rc::Gen<std::vector<ChangeStep>> ArbitrarySchedule()
{
  auto step = rc::gen::map(rc::gen::inRange(0, kTotalWeight * kPickCount), DecodeStep);
  return rc::gen::resize(kMaxScheduleSteps,
                         rc::gen::container<std::vector<ChangeStep>>(std::move(step)));
}

} // namespace

class PrimaryChangePropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PrimaryChangePropertyTest);
  CPPUNIT_TEST(RepliesOfReplacedPrimariesAreNotTrusted);
  CPPUNIT_TEST_SUITE_END();

  // Guards against answers from replaced primaries that are passed on to callers,
  // against two sessions that use one connection at the same time, and against
  // statements that are answered as not run although they took effect. Random schedules
  // interleave requests, connection failures and changes of primary.
  void RepliesOfReplacedPrimariesAreNotTrusted()
  {
    int done = 0;
    int promotions = 0;
    bool isHeld = rc::check("no replaced primary is believed", [&] {
      auto hasContact = *rc::gen::arbitrary<bool>();
      auto connections = *rc::gen::element<std::uint32_t>(3, 4, 6);
      auto steps = *ArbitrarySchedule();
      PrimaryChangeWorld world(hasContact, connections);
      for (const auto& it : steps) {
        world.Apply(it);
        world.Tick();
        if (!world.Violations().empty()) {
          RC_FAIL(world.Violations().front());
        }
      }
      done += world.DoneCount();
      promotions += world.Promotions();
    });
    CPPUNIT_ASSERT(isHeld);
    // With fewer completed requests or promotions, the schedules would have covered too
    // little.
    CPPUNIT_ASSERT(done > 100);
    CPPUNIT_ASSERT(promotions > 20);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PrimaryChangePropertyTest);
