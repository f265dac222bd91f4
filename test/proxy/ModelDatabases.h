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

// Parses a status row of a fake database, which has the form "ROLE TERM".
inline std::optional<DatabaseReport> ReadStatusRow(const std::string& aRow)
{
  auto blank = aRow.find(' ');
  DatabaseReport report;
  report.mRole =
    kDatabaseRoleNames.Find(aRow.substr(0, blank)).value_or(DatabaseRole::Unknown);
  report.mTerm = std::stoull(aRow.substr(blank + 1));
  return report;
}

// The state of a database as the database itself knows it. After another database was
// promoted, a former primary still acts as the primary until it is demoted.
struct ModelDatabase
{
  bool mIsPrimary = false;
  std::uint64_t mTerm = 1;
  std::uint64_t mPosition = 1;
};

// A fake database connection. The test decides when a batch that was sent is run and
// when it is answered. A batch that is in progress when the connection closes may still
// be run.
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
      mOnViolation("a batch was sent while another one was in progress");
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
  bool IsClosed() const override { return mIsClosed; }
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
  // The replies to the commands that have been run but not answered yet.
  std::vector<ConnectionReply> mReplies;
  Replies mDone;
  std::function<void()> mOnBroken;
  bool mIsClosed = false;
  TransactionState mTransaction = TransactionState::None;
  // The next three members describe the open transaction. mExpectsPrimary tells whether
  // it was begun without a log position to reach, which is how transactions begin at a
  // primary.
  bool mExpectsPrimary = false;
  // The name of the caller whose statements run in the transaction.
  std::string mOwner;
  bool mHasWritten = false;
};

// A fake connector whose connections stay pending until the test opens them.
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
