#include "sesameway/StatementPlan.h"

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;

namespace {

Statement Write()
{
  Statement statement;
  statement.mRoute = std::string("r");
  statement.mOperations.push_back({ OperationKind::Add, "k", "1" });
  return statement;
}

std::string IdOf(const char* aOrganisation, const char* aRoute, const char* aId)
{
  GroupRequest request;
  request.mOrganisation = std::string(aOrganisation);
  request.mStatement.mRoute = std::string(aRoute);
  request.mStatement.mRequestId = std::string(aId);
  return RecordedId(request);
}

} // namespace

class StatementTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(StatementTest);
  CPPUNIT_TEST(InvalidStatementsAreRejected);
  CPPUNIT_TEST(InvalidTokensAreRejected);
  CPPUNIT_TEST(RecordedIdsOfOrganisationsAndRoutesDiffer);
  CPPUNIT_TEST(AttemptsEndBeforeTheDeadlineWhereAnotherIsAllowed);
  CPPUNIT_TEST_SUITE_END();

  void InvalidStatementsAreRejected()
  {
    CPPUNIT_ASSERT(CheckForm(Write()) == Reason::None);
    auto statement = Write();
    statement.mKind = static_cast<StatementKind>(200);
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::Malformed);
    statement = Write();
    statement.mOperations.front().mKind = static_cast<OperationKind>(200);
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::Malformed);
    statement = Write();
    statement.mOperations.front().mKey = kReservedKeyPrefix;
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::Malformed);
    statement = Write();
    statement.mOperations.resize(kMaxOperations + 1, statement.mOperations.front());
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::TooLarge);
    statement = Write();
    statement.mRoute.assign(kMaxNameBytes + 1, 'r');
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::TooLarge);
    statement = Write();
    statement.mRequestId.assign(kMaxRequestIdBytes + 1, 'i');
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::TooLarge);
    Statement lookup;
    lookup.mRoute = std::string("r");
    lookup.mKind = StatementKind::Lookup;
    CPPUNIT_ASSERT(CheckForm(lookup) == Reason::Malformed);
  }

  void InvalidTokensAreRejected()
  {
    auto statement = Write();
    statement.mToken.Raise("g", { 1, 1 });
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::None);
    statement.mToken.Raise("h", { 0, 1 });
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::BadToken);
    statement.mToken.Erase("h");
    statement.mToken.Raise("", { 1, 1 });
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::BadToken);
    statement.mToken.Erase("");
    for (std::size_t n = 0; n <= kMaxTokenEntries; ++n) {
      statement.mToken.Raise(std::to_string(n), { 1, 1 });
    }
    CPPUNIT_ASSERT(CheckForm(statement) == Reason::TooLarge);
  }

  void RecordedIdsOfOrganisationsAndRoutesDiffer()
  {
    auto id = IdOf("studio", "r", "1");
    CPPUNIT_ASSERT(id != IdOf("salons", "r", "1"));
    CPPUNIT_ASSERT(id != IdOf("studio", "s", "1"));
    CPPUNIT_ASSERT(IdOf("ab", "c", "d") != IdOf("a", "bc", "d"));
    CPPUNIT_ASSERT(IdOf("a", "b", "1:c2") != IdOf("a", "b1:c", "2"));
    CPPUNIT_ASSERT(IdOf("studio", "r", "").empty());
  }

  static TimePoint AttemptDeadline(GroupRequest aRequest,
                                   const RouteDecision& aDecision,
                                   TimePoint aNow)
  {
    aRequest.mStatement.mDeadline = aNow + seconds(10);
    StatementPlan plan(std::move(aRequest));
    plan.Start(aNow);
    plan.OnRoute(aDecision, 1, aNow);
    auto action = plan.OnConnection(true, Reason::None, aNow);
    return std::get<SendCommand>(action).mDeadline;
  }

  void AttemptsEndBeforeTheDeadlineWhereAnotherIsAllowed()
  {
    TimePoint now{ seconds(100) };
    GroupRequest read;
    read.mStatement.mOperations.push_back({ OperationKind::Get, "k", "" });
    CPPUNIT_ASSERT(AttemptDeadline(read, ToReplica{ 1 }, now) <=
                   now + milliseconds(200));
    CPPUNIT_ASSERT(AttemptDeadline(read, ToPrimary{ 0 }, now) <= now + seconds(5));
    GroupRequest write;
    write.mStatement = Write();
    CPPUNIT_ASSERT(AttemptDeadline(write, ToPrimary{ 0 }, now) == now + seconds(10));
    write.mStatement.mRequestId = std::string("id");
    CPPUNIT_ASSERT(AttemptDeadline(write, ToPrimary{ 0 }, now) <= now + seconds(5));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(StatementTest);
