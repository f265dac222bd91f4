#pragma once

#include "FakeBackend.h"
#include "ModelDatabases.h"
#include "proxy/DatabaseFleet.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sesameway::test {

// A fake connector whose connections stay pending until the test accepts them.
class FakeDatabases : public proxy::DatabaseConnector
{
public:
  struct Opening
  {
    proxy::LinkTarget mTarget;
    OpenCallback mDone;
  };

  void Open(const proxy::LinkTarget& aTarget, TimePoint, OpenCallback aDone) override
  {
    mOpenings.push_back({ aTarget, std::move(aDone) });
  }

  bool IsOpening(const std::string& aDatabase) const
  {
    return std::any_of(mOpenings.begin(), mOpenings.end(), [&](const auto& aIt) {
      return aIt.mTarget.mDatabase == aDatabase;
    });
  }
  // Opens the oldest pending connection to the database. Returns null if there is none.
  std::shared_ptr<FakeLink> Accept(const std::string& aDatabase)
  {
    auto it = std::find_if(mOpenings.begin(), mOpenings.end(), [&](const auto& aIt) {
      return aIt.mTarget.mDatabase == aDatabase;
    });
    if (it == mOpenings.end()) {
      return nullptr;
    }
    auto opening = std::move(*it);
    mOpenings.erase(it);
    auto link = std::make_shared<FakeLink>();
    mLinks.emplace_back(aDatabase, link);
    opening.mDone(proxy::DatabaseLinkPtr(link));
    return link;
  }

  std::deque<Opening> mOpenings;
  std::vector<std::pair<std::string, std::shared_ptr<FakeLink>>> mLinks;
};

// A daemon's DatabaseFleet with a group "g" of three fake databases. The test supplies
// the records and listings that would come from the store.
class FleetWorld
{
public:
  explicit FleetWorld(const proxy::Settings& aSettings = {})
    : mFleet(mLoop, mDatabases, aSettings, ReadStatusRow)
  {
    // DatabaseFleet reads the real clock, so the sessions start at the same time.
    mEnvironment.mNow = Clock::now();
    auto catalogue = std::make_shared<Catalogue>(*mEnvironment.mCatalogue);
    catalogue->mServices["s"] = { "s", {}, { { "g", {}, 3, 22 } } };
    mEnvironment.mCatalogue = catalogue;
    mFleet.SetCatalogue(catalogue);
    for (const char* it : { "old", "new", "third" }) {
      List(it);
    }
    mFleet.SetContact(Clock::now());
    Record(GroupPhase::Serving, 1, 1, "old");
  }
  virtual ~FleetWorld() = default;

  void List(const std::string& aName, const std::string& aAddress = "10.0.0.1:1")
  {
    mFleet.OnListed({ aName, "g", "z", aAddress, 3, false, DatabaseRole::Unknown, 0 });
  }
  // Moves a database, with the next version of its entry, to another zone.
  void Move(const std::string& aName, const std::string& aZone)
  {
    mFleet.OnListed(
      { aName, "g", aZone, "10.0.0.1:1", 3, false, DatabaseRole::Unknown, 0 });
  }
  void Record(GroupPhase aPhase,
              std::uint64_t aChange,
              std::uint64_t aTerm,
              const std::string& aPrimary)
  {
    mFleet.OnRecord({ "g", aPhase, aChange, aTerm, aPrimary, {} }, ++mRevision);
  }
  // Delivers both records of a change of primary, as the store would.
  void ReplacePrimary(const std::string& aPrimary)
  {
    auto change = mFleet.FindLeadership("g")->Record().mChange + 1;
    Record(GroupPhase::Changing, change, change - 1, "old");
    Record(GroupPhase::Serving, change, change, aPrimary);
    mFleet.SetContact(Clock::now());
  }
  // Asks the fleet to stand down. Returns whether it did so before the call returned;
  // mHasStoodDown is set when it does so later.
  bool StandDown(std::uint64_t aChange)
  {
    auto isDone = std::make_shared<bool>(false);
    mFleet.StandDown("g", aChange, [isDone] { *isDone = true; });
    mHasStoodDown = isDone;
    return *isDone;
  }
  // Runs the event loop for this time, with all timers that become due.
  void RunFor(Duration aTime)
  {
    auto work = boost::asio::make_work_guard(mLoop.Io());
    mLoop.Io().restart();
    mLoop.Io().run_for(aTime);
  }

  std::shared_ptr<proxy::CallerRun> Connect(const std::string& aRoute)
  {
    mStream = std::make_shared<FakeStream>();
    auto session = std::make_shared<proxy::CallerRun>(mStream, mEnvironment, mFleet);
    session->OnConnect(aRoute, "key");
    return session;
  }
  void Ask(proxy::CallerRun& aSession, proxy::RequestKind aKind, const char* aText = "")
  {
    proxy::CallerRequest request;
    request.mKind = aKind;
    request.mId = "r" + std::to_string(++mRequests);
    request.mText = aText;
    aSession.OnRequest(std::move(request));
  }
  // The latest reply code that the session connected last has sent to its caller.
  std::string LastCode() const
  {
    return mStream->mAnswers.empty()
             ? std::string("none")
             : std::string(kReplyCodeNames.Name(mStream->mAnswers.back().mCode));
  }

  static ConnectionReply Done(TransactionState aState = TransactionState::None)
  {
    ConnectionReply reply;
    reply.mCode = ReplyCode::Done;
    reply.mTransaction = aState;
    reply.mPosition = LogPosition{ 1, 57 };
    return reply;
  }
  static ConnectionReply Status(const std::string& aRow)
  {
    auto reply = Done();
    reply.mRows.push_back(aRow);
    return reply;
  }

  proxy::Loop mLoop;
  FakeDatabases mDatabases;
  FakeSessionEnvironment mEnvironment;
  proxy::DatabaseFleet mFleet;
  std::shared_ptr<FakeStream> mStream;
  std::shared_ptr<bool> mHasStoodDown;
  std::uint64_t mRevision = 0;
  int mRequests = 0;
};

} // namespace sesameway::test
