#include "sesameway/SharedConnection.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace sesameway;

namespace {

// The database's side of a connection. Fails if a statement is prepared under a name
// that is already in use.
struct FakeConnection
{
  SessionValues mValues;
  std::map<std::string, PreparedStatement> mPrepared;

  void Run(const std::vector<ConnectionCommand>& aCommands)
  {
    for (const auto& it : aCommands) {
      switch (it.mKind) {
        case CommandKind::Reset:
          mValues.clear();
          mPrepared.clear();
          break;
        case CommandKind::Set:
          mValues[it.mName] = it.mText;
          break;
        case CommandKind::Prepare:
          RC_ASSERT(mPrepared.count(it.mName) == 0);
          mPrepared[it.mName] = { it.mPreparesWrite, it.mText };
          break;
        default:
          RC_FAIL("unexpected kind of command");
      }
    }
  }
};

} // namespace

class SharedConnectionTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SharedConnectionTest);
  CPPUNIT_TEST(SendsOnlyValuesThatDiffer);
  CPPUNIT_TEST(ResetsAConnectionThatHasAValueTheSessionLacks);
  CPPUNIT_TEST(SessionsShareAPreparedStatement);
  CPPUNIT_TEST(PreparesAStatementAgainAfterTheDatabaseLostIt);
  CPPUNIT_TEST(EachSessionSeesItsOwnValuesAndStatements);
  CPPUNIT_TEST_SUITE_END();

  void SendsOnlyValuesThatDiffer()
  {
    SharedConnectionState contents;
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 },
                         contents.SyncValues({ { "a", "1" }, { "b", "2" } }).size());
    auto commands = contents.SyncValues({ { "a", "1" }, { "b", "3" } });
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, commands.size());
    CPPUNIT_ASSERT(commands[0].mKind == CommandKind::Set);
    CPPUNIT_ASSERT_EQUAL(std::string("b"), commands[0].mName);
  }

  void ResetsAConnectionThatHasAValueTheSessionLacks()
  {
    SharedConnectionState contents;
    contents.SyncValues({ { "a", "1" } });
    std::vector<ConnectionCommand> commands;
    auto first = contents.NameOf({ false, "q" }, commands);
    commands = contents.SyncValues({ { "b", "2" } });
    CPPUNIT_ASSERT(commands.at(0).mKind == CommandKind::Reset);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, commands.size());
    commands.clear();
    contents.NameOf({ false, "q" }, commands);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, commands.size());
  }

  void SessionsShareAPreparedStatement()
  {
    SharedConnectionState contents;
    std::vector<ConnectionCommand> commands;
    auto first = contents.NameOf({ true, "q" }, commands);
    CPPUNIT_ASSERT_EQUAL(first, contents.NameOf({ true, "q" }, commands));
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 1 }, commands.size());
    CPPUNIT_ASSERT(first != contents.NameOf({ false, "q" }, commands));
  }

  void PreparesAStatementAgainAfterTheDatabaseLostIt()
  {
    SharedConnectionState contents;
    std::vector<ConnectionCommand> commands;
    contents.NameOf({ true, "q" }, commands);
    contents.Forget({ true, "q" });
    contents.NameOf({ true, "q" }, commands);
    CPPUNIT_ASSERT_EQUAL(std::size_t{ 2 }, commands.size());
  }

  void EachSessionSeesItsOwnValuesAndStatements()
  {
    CPPUNIT_ASSERT(rc::check([] {
      SharedConnectionState contents;
      FakeConnection connection;
      for (int n = 0; n < 30; ++n) {
        SessionValues values;
        for (char name = 'a'; name < 'd'; ++name) {
          if (*rc::gen::arbitrary<bool>()) {
            values[std::string(1, name)] = std::to_string(*rc::gen::inRange(0, 3));
          }
        }
        PreparedStatement statement{ *rc::gen::arbitrary<bool>(),
                                     std::to_string(*rc::gen::inRange(0, 3)) };
        auto distance = contents.SyncCost(values);
        auto commands = contents.SyncValues(values);
        RC_ASSERT((distance == 0) == commands.empty());
        auto name = contents.NameOf(statement, commands);
        connection.Run(commands);
        RC_ASSERT(connection.mValues == values);
        RC_ASSERT(connection.mPrepared.at(name) == statement);
      }
    }));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharedConnectionTest);
