#pragma once

#include "proxy/Transport.h"
#include "sesameway/Promotion.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sesameway::test {

// A status row of a fake database: "ROLE TERM".
inline std::optional<DatabaseReport> ReadStatusRow(const std::string& aRow)
{
  auto blank = aRow.find(' ');
  DatabaseReport report;
  report.mRole =
    kDatabaseRoleNames.Find(aRow.substr(0, blank)).value_or(DatabaseRole::Unknown);
  report.mTerm = std::stoull(aRow.substr(blank + 1));
  return report;
}

// A database as it sees itself: after a promotion elsewhere it goes on as a primary
// until it is told.
struct ModelDatabase
{
  bool mIsPrimary = false;
  std::uint64_t mTerm = 1;
  std::uint64_t mPosition = 1;
};

// A batch is sent, run and answered in steps of the test's. One that is under way when
// the connection is closed may still be run.
class ModelLink : public proxy::DatabaseLink
{
public:
  using OnViolation = std::function<void(const std::string&)>;
  ModelLink(std::string aDatabase, OnViolation aOnViolation)
    : mDatabase(std::move(aDatabase))
    , mOnViolation(std::move(aOnViolation))
  {
  }

  void Send(std::vector<ConnectionCommand> aCommands, Replies aDone) override
  {
    if (mIsClosed) {
      aDone(std::vector<ConnectionReply>(aCommands.size()));
      return;
    }
    if (mDone) {
      mOnViolation("a batch is sent while another one is under way");
    }
    mSent = std::move(aCommands);
    mReplies.clear();
    mDone = std::move(aDone);
  }
  void Close() override
  {
    mOnBroken = nullptr;
    Break();
  }
  void OnBroken(std::function<void()> aCallback) override
  {
    mOnBroken = std::move(aCallback);
  }

  void Break()
  {
    mIsClosed = true;
    if (mDone) {
      std::exchange(mDone, nullptr)(std::vector<ConnectionReply>(mSent.size()));
    } else if (mOnBroken) {
      std::exchange(mOnBroken, nullptr)();
    }
  }
  bool CanRun() const { return !mSent.empty() && mReplies.empty(); }
  bool CanAnswer() const { return mDone != nullptr && !mReplies.empty(); }
  void Answer() { std::exchange(mDone, nullptr)(std::exchange(mReplies, {})); }

  std::string mDatabase;
  OnViolation mOnViolation;
  std::vector<ConnectionCommand> mSent;
  // Of what has been run.
  std::vector<ConnectionReply> mReplies;
  Replies mDone;
  std::function<void()> mOnBroken;
  bool mIsClosed = false;
  TransactionState mTransaction = TransactionState::None;
  // Whether the open transaction was begun as at the primary, whose it is, whether it
  // has written.
  bool mExpectsPrimary = false;
  std::string mOwner;
  bool mHasWritten = false;
};

// Connections open when the test says so.
class ModelDatabases : public proxy::DatabaseConnector
{
public:
  void Open(const proxy::LinkTarget& aTarget, TimePoint, OpenCallback aDone) override
  {
    mOpenings.emplace_back(aTarget.mDatabase, std::move(aDone));
  }

  std::deque<std::pair<std::string, OpenCallback>> mOpenings;
  std::vector<std::shared_ptr<ModelLink>> mLinks;
};

} // namespace sesameway::test
