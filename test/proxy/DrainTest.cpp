#include "ProxyDaemon.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::test;

class DrainTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(DrainTest);
  CPPUNIT_TEST(StatementUnderWayIsAnsweredBeforeTheProcessEnds);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a stopped daemon that ends while statements wait for a new primary,
  // before their timeout, so that their connections end without an answer (review/7).
  void StatementUnderWayIsAnsweredBeforeTheProcessEnds()
  {
    constexpr Duration kGrace = seconds(6);
    auto* daemon = new ProxyDaemon("a", FreeAddress(), {}, false);
    daemon->Write({ kConfiguration, 1, 2, "small", false });
    daemon->Run();
    CPPUNIT_ASSERT(daemon->Receives("small", Clock::now() + seconds(10)));
    auto stream = std::make_shared<FakeStream>();
    proxy::CallerRequest request;
    request.mKind = proxy::RequestKind::Read;
    request.mId = "r1";
    // The group has no primary.
    daemon->Ask(stream, request);
    auto hasAnswer =
      daemon->DrainFor(kGrace, [stream] { return !stream->mAnswers.empty(); });
    daemon->Stop();
    CPPUNIT_ASSERT_MESSAGE("answered before the end", hasAnswer);
    CPPUNIT_ASSERT(stream->mAnswers.back().mCode == ReplyCode::Busy);
    CPPUNIT_ASSERT(stream->mIsClosed);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(DrainTest);
