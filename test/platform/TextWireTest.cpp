#include "TextWire.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

using namespace sesameway;
using namespace sesameway::platform;
using proxy::CallerRequest;
using proxy::RequestKind;

namespace {

CallerRequest ParseRequest(std::string_view aLine)
{
  return std::get<CallerRequest>(ReadCallerLine(aLine));
}

// Feeds the bytes to a LineReader in pieces of these sizes and returns the lines read.
std::vector<std::string> ReadLinesInPieces(const std::string& aBytes,
                                           const std::vector<std::size_t>& aPieces)
{
  LineReader reader;
  std::vector<std::string> lines;
  auto drain = [&] {
    while (auto line = reader.Next()) {
      lines.emplace_back(*line);
    }
  };
  std::size_t at = 0;
  for (auto it : aPieces) {
    reader.Feed(std::string_view(aBytes).substr(std::min(at, aBytes.size()), it));
    at += it;
    drain();
  }
  reader.Feed(std::string_view(aBytes).substr(std::min(at, aBytes.size())));
  drain();
  return lines;
}

} // namespace

class TextWireTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(TextWireTest);
  CPPUNIT_TEST(ReadsEachKindOfRequest);
  CPPUNIT_TEST(KeepsTheTextOfStatementsUnchanged);
  CPPUNIT_TEST(RejectsInternalCommandsFromCallers);
  CPPUNIT_TEST(RejectsLineEndsInsideAMessage);
  CPPUNIT_TEST(ReadsConnectAndQuit);
  CPPUNIT_TEST(LinesDoNotDependOnHowBytesAreSplit);
  CPPUNIT_TEST(DetectsATooLongLine);
  CPPUNIT_TEST(AcceptedCallerLinesHaveAnIdAndNoLineEnd);
  CPPUNIT_TEST(WritesAnswers);
  CPPUNIT_TEST(WritesCommands);
  CPPUNIT_TEST(ReadsRepliesOfADatabase);
  CPPUNIT_TEST(RefusesLinesOutOfOrder);
  CPPUNIT_TEST(AnyLinesOfADatabaseGiveCompleteRepliesOrNone);
  CPPUNIT_TEST(ReadsAStatus);
  CPPUNIT_TEST_SUITE_END();

  void ReadsEachKindOfRequest()
  {
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 BEGIN").mKind == RequestKind::Begin);
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 BEGIN READ").mKind == RequestKind::BeginRead);
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 COMMIT").mKind == RequestKind::Commit);
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 ROLLBACK").mKind == RequestKind::Rollback);
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 READ 1a4").mKind == RequestKind::Read);
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 WRITE 1a4 x y").mKind == RequestKind::Write);
    auto set = ParseRequest("QUERY 1 SET lang a b");
    CPPUNIT_ASSERT(set.mKind == RequestKind::Set);
    CPPUNIT_ASSERT_EQUAL(std::string("lang"), set.mName);
    CPPUNIT_ASSERT_EQUAL(std::string("a b"), set.mArgument);
    auto prepare = ParseRequest("QUERY 1 PREPARE s1 WRITE q2c");
    CPPUNIT_ASSERT(prepare.mKind == RequestKind::Prepare && prepare.mPreparesWrite);
    CPPUNIT_ASSERT_EQUAL(std::string("q2c"), prepare.mArgument);
    auto execute = ParseRequest("QUERY 1 EXECUTE s1 1a4 data");
    CPPUNIT_ASSERT(execute.mKind == RequestKind::Execute);
    CPPUNIT_ASSERT_EQUAL(std::string("1a4 data"), execute.mArgument);
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 CLOSE s1").mKind == RequestKind::Drop);
  }

  void KeepsTheTextOfStatementsUnchanged()
  {
    auto request = ParseRequest("QUERY 5c0e WRITE 1a4  two  blanks ");
    CPPUNIT_ASSERT_EQUAL(std::string("5c0e"), request.mId);
    CPPUNIT_ASSERT_EQUAL(std::string("WRITE 1a4  two  blanks "), request.mText);
  }

  void RejectsInternalCommandsFromCallers()
  {
    for (const char* it : { "STATUS",
                            "RESET",
                            "DEMOTE 3",
                            "PAUSE 3",
                            "RESUME",
                            "AFTER 3.1 READ 1a4",
                            "BEGIN WRITE",
                            "" }) {
      auto kind = ParseRequest(std::string("QUERY 1 ") + it).mKind;
      CPPUNIT_ASSERT_MESSAGE(it, kind == RequestKind::Malformed);
    }
  }

  void RejectsLineEndsInsideAMessage()
  {
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 READ a\nQUERY 2 WRITE b c").mKind ==
                   RequestKind::Malformed);
    CPPUNIT_ASSERT(ParseRequest("QUERY 1 READ a\rb").mKind == RequestKind::Malformed);
  }

  void ReadsConnectAndQuit()
  {
    auto connect = std::get<CallerConnect>(ReadCallerLine("CONNECT lepu270 u3f1"));
    CPPUNIT_ASSERT_EQUAL(std::string("lepu270"), connect.mRoute);
    CPPUNIT_ASSERT_EQUAL(std::string("u3f1"), connect.mKey);
    CPPUNIT_ASSERT(
      std::get<CallerConnect>(ReadCallerLine("CONNECT lepu270")).mKey.empty());
    CPPUNIT_ASSERT(std::holds_alternative<CallerQuit>(ReadCallerLine("QUIT")));
  }

  void LinesDoNotDependOnHowBytesAreSplit()
  {
    CPPUNIT_ASSERT(rc::check([](const std::vector<std::string>& aWords) {
      std::string bytes;
      std::vector<std::string> expected;
      for (const auto& it : aWords) {
        std::string line;
        std::copy_if(it.begin(), it.end(), std::back_inserter(line), [](char aIt) {
          return aIt != '\r' && aIt != '\n';
        });
        bytes += line + "\r\n";
        expected.push_back(line);
      }
      auto pieces = *rc::gen::container<std::vector<std::size_t>>(
        rc::gen::inRange<std::size_t>(0, 7));
      RC_ASSERT(ReadLinesInPieces(bytes, pieces) == expected);
    }));
  }

  void DetectsATooLongLine()
  {
    LineReader reader;
    reader.Feed(std::string(kMaxLineBytes, 'x'));
    CPPUNIT_ASSERT(!reader.Next() && !reader.IsTooLong());
    reader.Feed("xx");
    CPPUNIT_ASSERT(!reader.Next() && reader.IsTooLong());
  }

  void AcceptedCallerLinesHaveAnIdAndNoLineEnd()
  {
    CPPUNIT_ASSERT(rc::check([](const std::string& aLine) {
      auto verb = *rc::gen::element<std::string>(
        "", "QUERY ", "QUERY 1 ", "QUERY 1 PREPARE ", "QUERY 1 EXECUTE ", "CONNECT ");
      auto line = verb + aLine;
      auto read = ReadCallerLine(line);
      if (const auto* request = std::get_if<CallerRequest>(&read)) {
        bool isWhole = request->mKind != RequestKind::Malformed;
        // A line end inside a request would make a database read it as two messages.
        RC_ASSERT(!isWhole || line.find_first_of("\r\n") == std::string::npos);
        RC_ASSERT(!isWhole || !request->mId.empty());
      }
    }));
  }

  void WritesAnswers()
  {
    ConnectionReply reply;
    reply.mCode = ReplyCode::Done;
    reply.mRows = { "qhzk" };
    reply.mDigest = "7.1f3";
    reply.mPosition = LogPosition{ 3, 1209 };
    CPPUNIT_ASSERT_EQUAL(
      std::string("ROW qhzk\r\nCOMPLETE 7.1f3\r\nREADY I 3.1209\r\n"),
      WriteAnswer(reply));
    ConnectionReply refused;
    refused.mCode = ReplyCode::Busy;
    refused.mDetail = "over_rate";
    refused.mTransaction = TransactionState::Failed;
    CPPUNIT_ASSERT_EQUAL(std::string("ERROR BUSY over_rate\r\nREADY E -\r\n"),
                         WriteAnswer(refused));
  }

  void WritesCommands()
  {
    ConnectionCommand read;
    read.mId = "5c0e";
    read.mText = "READ 1a4";
    read.mAfter = LogPosition{ 3, 1207 };
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY 5c0e AFTER 3.1207 READ 1a4\r\n"),
                         WriteCommand(read));
    ConnectionCommand prepare;
    prepare.mKind = CommandKind::Prepare;
    prepare.mName = "p1";
    prepare.mText = "q2c";
    prepare.mPreparesWrite = true;
    CPPUNIT_ASSERT_EQUAL(std::string("QUERY - PREPARE p1 WRITE q2c\r\n"),
                         WriteCommand(prepare));
    CPPUNIT_ASSERT_EQUAL(std::string("CONNECT huvo11a tenant i-7f\r\n"),
                         WriteConnect({ "10.0.0.1:1", "huvo11a", "tenant", "i-7f" }));
  }

  void ReadsRepliesOfADatabase()
  {
    ReplyReader reader;
    reader.ExpectConnectReply();
    CPPUNIT_ASSERT(reader.Take("READY I 3.1204"));
    CPPUNIT_ASSERT(reader.TakeReply()->mCode == ReplyCode::Done);
    CPPUNIT_ASSERT(reader.Take("ROW a b"));
    CPPUNIT_ASSERT(reader.Take("COMPLETE 7.1f3"));
    CPPUNIT_ASSERT(!reader.TakeReply());
    CPPUNIT_ASSERT(reader.Take("READY T 3.1209"));
    auto reply = reader.TakeReply();
    CPPUNIT_ASSERT(reply->mRows == std::vector<std::string>{ "a b" });
    CPPUNIT_ASSERT(reply->mTransaction == TransactionState::Open);
    CPPUNIT_ASSERT(reply->mPosition == LogPosition({ 3, 1209 }));
    CPPUNIT_ASSERT(reader.Take("ERROR RDONLY i-7f"));
    CPPUNIT_ASSERT(reader.Take("READY E 3.1209"));
    CPPUNIT_ASSERT(reader.TakeReply()->mCode == ReplyCode::ReadOnly);
  }

  void RefusesLinesOutOfOrder()
  {
    ReplyReader reader;
    CPPUNIT_ASSERT(!reader.Take("READY I 3.1"));
    ReplyReader other;
    CPPUNIT_ASSERT(other.Take("COMPLETE x"));
    CPPUNIT_ASSERT(!other.Take("COMPLETE x"));
    ReplyReader third;
    CPPUNIT_ASSERT(!third.Take("HELLO"));
  }

  // Guards against an incomplete answer of a database that is taken for a complete one.
  void AnyLinesOfADatabaseGiveCompleteRepliesOrNone()
  {
    CPPUNIT_ASSERT(rc::check([] {
      auto lines = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("ROW a",
                                      "COMPLETE d",
                                      "ERROR BUSY x",
                                      "READY I 3.1",
                                      "READY T -",
                                      "READY X 3.1",
                                      "ROWS",
                                      ""));
      ReplyReader reader;
      std::size_t outcomes = 0;
      for (const auto& it : lines) {
        if (!reader.Take(it)) {
          break;
        }
        outcomes += it.starts_with("COMPLETE") || it.starts_with("ERROR") ? 1 : 0;
        if (reader.TakeReply()) {
          RC_ASSERT(outcomes == 1U);
          outcomes = 0;
        }
      }
    }));
  }

  void ReadsAStatus()
  {
    auto report = ReadStatusRow("replica 3 3.1209 0 12 2 17");
    CPPUNIT_ASSERT(report && report->mRole == DatabaseRole::Replica);
    CPPUNIT_ASSERT_EQUAL(std::uint64_t{ 3 }, report->mTerm);
    CPPUNIT_ASSERT(report->mReceived == LogPosition({ 3, 1209 }));
    CPPUNIT_ASSERT(report->mLag == Duration(milliseconds(12)));
    CPPUNIT_ASSERT_EQUAL(std::uint32_t{ 17 }, report->mConnections);
    CPPUNIT_ASSERT(!ReadStatusRow("leader 3 3.1209 0 12 2 17"));
    CPPUNIT_ASSERT(!ReadStatusRow(""));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(TextWireTest);
