// A service of databases that replicate one log, as PROTOCOL.md describes them.
#pragma once

#include "Net.h"
#include "Record.h"
#include "Store.h"

#include <atomic>
#include <memory>
#include <vector>

namespace review {

using Values = std::map<std::string, std::string>;

// A read, write or commit that a database ran.
struct Run
{
  long mAt = 0;
  std::string mDatabase;
  std::uint64_t mConnection = 0;
  std::string mTenant;
  std::string mId;
  std::string mText;
  bool mIsInTransaction = false;
  // The values of the database connection.
  Values mValues;
};

struct Commit
{
  std::uint64_t mTerm = 0;
  // The ids of its writes, and of its COMMIT in a transaction.
  std::vector<std::string> mIds;
  long mAt = 0;
};
using CommitPtr = std::shared_ptr<Commit>;

struct ServiceOptions
{
  std::string mName = "salon-core";
  int mSlots = 3;
  int mQueue = 24;
  int mMaxConnections = 36;
  int mSyncReplicas = 0;
  long mLagMs = 8;
  long mPromoteMs = 1000;
  long mConnectMs = 12;
  long mWorkMs = 8;
};

class Service;

class Database
{
public:
  Database(Service& aService, std::string aName, std::string aZone)
    : mService(aService)
    , mName(std::move(aName))
    , mZone(std::move(aZone))
  {
  }

  const std::string& Name() const { return mName; }
  bool Listen(const std::string& aAddress);

private:
  friend class Service;
  struct Connection
  {
    std::uint64_t mNumber = 0;
    std::string mTenant;
    Values mValues;
    std::map<std::string, std::pair<bool, std::string>> mPrepared;
    bool mIsInTransaction = false;
    bool mIsReadOnly = false;
    bool mHasFailed = false;
    std::vector<std::string> mWrites;
  };
  struct Query
  {
    std::string mId;
    std::string mText;
    std::string mVerb;
    std::string mRest;
    std::string mAfter;
  };

  void Serve(const SocketPtr& aSocket);
  void Answer(Connection& aConnection, Socket& aSocket, Query& aQuery);
  // Waits for a slot and takes it for the work of the request. False: refused as busy.
  bool Work(std::unique_lock<std::mutex>& aLock, long aMs);
  std::string RunData(Connection& aConnection, const Query& aQuery, bool& aHasRun);
  std::string RunCommit(std::unique_lock<std::mutex>& aLock,
                        Connection& aConnection,
                        const Query& aQuery,
                        bool& aHasRun);
  bool Append(std::unique_lock<std::mutex>& aLock, std::vector<std::string> aIds);
  void RecordRun(const Connection& aConnection, const Query& aQuery);
  std::size_t Applied() const;
  std::string Position(std::size_t aCount) const;
  bool Holds(const std::string& aPosition) const;
  std::string Status() const;

  Service& mService;
  std::string mName;
  std::string mZone;
  std::string mAddress;
  Listener mListener;
  bool mIsPrimary = false;
  bool mIsDown = false;
  bool mIsDeaf = false;
  bool mIsLeaving = false;
  std::uint64_t mTerm = 1;
  std::uint64_t mSequence = 0;
  std::vector<CommitPtr> mLog;
  int mConnections = 0;
  int mRunning = 0;
  int mWaiting = 0;
};

// All state of the service's databases is guarded by one mutex.
class Service
{
public:
  Service(ServiceOptions aOptions, Store& aStore)
    : mOptions(std::move(aOptions))
    , mStore(aStore)
  {
    auto first = std::make_shared<Commit>();
    first->mTerm = 1;
    mFirst = first;
  }

  Database& Add(const std::string& aName, const std::string& aZone)
  {
    mDatabases.push_back(std::make_unique<Database>(*this, aName, aZone));
    auto& added = *mDatabases.back();
    added.mIsPrimary = mDatabases.size() == 1;
    added.mLog = { mFirst };
    return added;
  }
  void Register()
  {
    std::lock_guard lock(mMutex);
    for (const auto& it : mDatabases) {
      PutEntry(*it);
    }
  }

  // A database with a history of its own: `aCount` commits of this term.
  void SetHistory(const std::string& aName, std::uint64_t aTerm, std::size_t aCount)
  {
    std::lock_guard lock(mMutex);
    auto& database = Find(aName);
    database.mTerm = aTerm;
    database.mLog.clear();
    for (std::size_t n = 0; n < aCount; ++n) {
      auto commit = std::make_shared<Commit>();
      commit->mTerm = aTerm;
      database.mLog.push_back(commit);
    }
  }

  // Planned: the database reports drain. Its return is the store's acknowledgement.
  void Drain(const std::string& aName)
  {
    std::lock_guard lock(mMutex);
    auto& database = Find(aName);
    database.mIsLeaving = true;
    PutEntry(database);
    Note("plan: ", aName, " reports drain, acknowledged by the store");
  }
  void SetDeaf(const std::string& aName, bool aIsDeaf)
  {
    std::lock_guard lock(mMutex);
    auto& database = Find(aName);
    database.mIsDeaf = aIsDeaf;
    Note("fault: ", aName, aIsDeaf ? " receives nothing" : " receives again");
    CatchUp(database);
  }
  // The process of the database ends. It says nothing more to anybody.
  void Crash(const std::string& aName)
  {
    std::lock_guard lock(mMutex);
    auto& database = Find(aName);
    database.mIsDown = true;
    database.mListener.Close();
    mChanged.notify_all();
    Note(
      "fault: ", aName, " crashes, log end ", database.Position(database.mLog.size()));
  }
  // The platform removes the entry of a database that is silent for three intervals.
  void RemoveEntry(const std::string& aName) { mStore.Remove("servers", aName); }

  // An order of the platform.
  int Promote(const std::string& aService, const std::string& aName)
  {
    std::lock_guard lock(mMutex);
    if (aService != mOptions.mName) {
      return 409;
    }
    auto& database = Find(aName);
    if (database.mIsDown) {
      return 409;
    }
    if (database.mIsPrimary && database.mTerm == NewestTerm()) {
      return 200;
    }
    std::thread([this, aName] {
      SleepMs(mOptions.mPromoteMs);
      TakeLead(aName);
    }).detach();
    return 200;
  }

  std::string Primary()
  {
    std::lock_guard lock(mMutex);
    std::string name;
    std::uint64_t term = 0;
    for (const auto& it : mDatabases) {
      if (it->mIsPrimary && !it->mIsDown && it->mTerm > term) {
        term = it->mTerm;
        name = it->mName;
      }
    }
    return name;
  }
  std::uint64_t Term()
  {
    std::lock_guard lock(mMutex);
    return NewestTerm();
  }
  // The ids of all writes and commits in the log of a database.
  std::set<std::string> Kept(const std::string& aName)
  {
    std::lock_guard lock(mMutex);
    std::set<std::string> ids;
    for (const auto& it : Find(aName).mLog) {
      ids.insert(it->mIds.begin(), it->mIds.end());
    }
    return ids;
  }
  std::vector<Run> Runs()
  {
    std::lock_guard lock(mMutex);
    return mRuns;
  }

  // Returns the error code with which a database fails a request, empty for none. Gets
  // the name of the database and the text of the request.
  std::function<std::string(const std::string&, const std::string&)> mFail;
  // Called for each read, write and commit that a database runs, and asked for its
  // work.
  std::function<long(const std::string&)> mWork;

private:
  friend class Database;

  Database& Find(const std::string& aName)
  {
    for (const auto& it : mDatabases) {
      if (it->mName == aName) {
        return *it;
      }
    }
    std::abort();
  }
  std::uint64_t NewestTerm() const
  {
    std::uint64_t term = 0;
    for (const auto& it : mDatabases) {
      term = std::max(term, it->mTerm);
    }
    return term;
  }
  Database* Leader()
  {
    Database* leader = nullptr;
    for (const auto& it : mDatabases) {
      if (it->mIsPrimary && !it->mIsDown && (!leader || it->mTerm > leader->mTerm)) {
        leader = it.get();
      }
    }
    return leader;
  }
  void PutEntry(Database& aDatabase)
  {
    mStore.Put("servers",
               aDatabase.mName,
               { { "service", mOptions.mName },
                 { "addr", aDatabase.mAddress },
                 { "zone", aDatabase.mZone },
                 { "version", "v1" },
                 { "slots", mOptions.mSlots },
                 { "state", aDatabase.mIsLeaving ? "drain" : "ready" },
                 { "coldMs", 0 },
                 { "sequence", ++aDatabase.mSequence },
                 { "born", 1790000000000 },
                 { "dbRole", aDatabase.mIsPrimary ? "primary" : "replica" } });
  }
  // A replica copies the log of the newest primary, which it can reach unless it is
  // deaf.
  void CatchUp(Database& aDatabase)
  {
    auto* leader = Leader();
    bool follows = leader != nullptr && leader != &aDatabase && !aDatabase.mIsDown &&
                   !aDatabase.mIsDeaf && !aDatabase.mIsPrimary;
    if (follows) {
      aDatabase.mLog = leader->mLog;
      aDatabase.mTerm = leader->mTerm;
      mChanged.notify_all();
    }
  }
  void TakeLead(const std::string& aName)
  {
    std::lock_guard lock(mMutex);
    auto& database = Find(aName);
    if (database.mIsDown || (database.mIsPrimary && database.mTerm == NewestTerm())) {
      return;
    }
    database.mTerm = NewestTerm() + 1;
    database.mIsPrimary = true;
    Note("databases: ",
         aName,
         " leads term ",
         database.mTerm,
         ", log end ",
         database.Position(database.mLog.size()));
    PutEntry(database);
    for (const auto& it : mDatabases) {
      CatchUp(*it);
      if (it.get() != &database && it->mIsPrimary && !it->mIsDown) {
        std::thread([this, old = it.get()] {
          SleepMs(1000);
          std::lock_guard lock(mMutex);
          Demote(*old, NewestTerm());
        }).detach();
      }
    }
  }
  void Demote(Database& aDatabase, std::uint64_t aTerm)
  {
    if (aDatabase.mIsPrimary && aDatabase.mTerm < aTerm) {
      aDatabase.mIsPrimary = false;
      Note("databases: ", aDatabase.mName, " becomes a replica");
      CatchUp(aDatabase);
      PutEntry(aDatabase);
    }
  }

  ServiceOptions mOptions;
  Store& mStore;
  std::mutex mMutex;
  std::condition_variable mChanged;
  CommitPtr mFirst;
  std::vector<std::unique_ptr<Database>> mDatabases;
  std::vector<Run> mRuns;
  std::uint64_t mNextNumber = 1;
};

inline bool Database::Listen(const std::string& aAddress)
{
  mAddress = aAddress;
  return mListener.Open(aAddress, [this](SocketPtr aSocket) { Serve(aSocket); });
}

inline std::size_t Database::Applied() const
{
  if (mIsPrimary) {
    return mLog.size();
  }
  auto now = NowMs();
  std::size_t count = mLog.size();
  while (count > 1 && mLog[count - 1]->mAt + mService.mOptions.mLagMs > now) {
    --count;
  }
  return count;
}

inline std::string Database::Position(std::size_t aCount) const
{
  return std::to_string(mLog[aCount - 1]->mTerm) + '.' + std::to_string(aCount);
}

inline bool Database::Holds(const std::string& aPosition) const
{
  auto dot = aPosition.find('.');
  auto term = std::stoull(aPosition.substr(0, dot));
  auto number = std::stoull(aPosition.substr(dot + 1));
  auto applied = Applied();
  return number == 0 || (number <= applied && mLog[number - 1]->mTerm == term);
}

inline std::string Database::Status() const
{
  return std::string(mIsPrimary ? "primary " : "replica ") + std::to_string(mTerm) +
         ' ' + Position(mLog.size()) + " 0 " +
         std::to_string(mIsPrimary ? 0 : mService.mOptions.mLagMs) + ' ' +
         std::to_string(mRunning) + ' ' + std::to_string(mConnections);
}

inline void Database::Serve(const SocketPtr& aSocket)
{
  Connection connection;
  auto hello = aSocket->Line();
  if (!hello || TakeWord(*hello) != "CONNECT") {
    return;
  }
  auto service = TakeWord(*hello);
  connection.mTenant = TakeWord(*hello);
  bool isOther =
    service != mService.mOptions.mName || (!hello->empty() && *hello != mName);
  std::unique_lock lock(mService.mMutex);
  if (isOther || mConnections >= mService.mOptions.mMaxConnections) {
    lock.unlock();
    aSocket->Write(std::string("ERROR ") + (isOther ? "WRONGHOST" : "MAXCONN") +
                   " -\r\n");
    return;
  }
  ++mConnections;
  connection.mNumber = mService.mNextNumber++;
  bool isTaken = Work(lock, mService.mOptions.mConnectMs);
  auto ready = "READY I " + Position(Applied()) + "\r\n";
  lock.unlock();
  bool isOpen = aSocket->Write(isTaken ? ready : "ERROR BUSY -\r\n") && isTaken;
  while (isOpen) {
    auto line = aSocket->Line();
    if (!line || TakeWord(*line) != "QUERY") {
      break;
    }
    Query query;
    query.mId = TakeWord(*line);
    if (line->starts_with("AFTER ")) {
      TakeWord(*line);
      query.mAfter = TakeWord(*line);
    }
    query.mText = *line;
    query.mVerb = TakeWord(*line);
    query.mRest = *line;
    Answer(connection, *aSocket, query);
  }
  lock.lock();
  --mConnections;
}

inline bool Database::Work(std::unique_lock<std::mutex>& aLock, long aMs)
{
  const auto& options = mService.mOptions;
  if (mRunning >= options.mSlots && mWaiting >= options.mQueue) {
    return false;
  }
  ++mWaiting;
  mService.mChanged.wait(aLock, [&] { return mRunning < options.mSlots; });
  --mWaiting;
  ++mRunning;
  aLock.unlock();
  SleepMs(aMs);
  aLock.lock();
  --mRunning;
  mService.mChanged.notify_all();
  return true;
}

inline void Database::RecordRun(const Connection& aConnection, const Query& aQuery)
{
  mService.mRuns.push_back({ NowMs(),
                             mName,
                             aConnection.mNumber,
                             aConnection.mTenant,
                             aQuery.mId,
                             aQuery.mText,
                             aConnection.mIsInTransaction,
                             aConnection.mValues });
}

inline void Database::Answer(Connection& aConnection, Socket& aSocket, Query& aQuery)
{
  std::unique_lock lock(mService.mMutex);
  const auto& verb = aQuery.mVerb;
  std::string error;
  std::string row;
  std::string digest = "-";
  bool takesSlot = verb == "READ" || verb == "WRITE" || verb == "EXECUTE" ||
                   verb == "COMMIT" || verb == "STATUS";
  bool isEnd = verb == "COMMIT" || verb == "ROLLBACK";
  if (aConnection.mHasFailed && !isEnd) {
    error = "MALFORMED";
  } else if (mService.mFail) {
    error = mService.mFail(mName, aQuery.mText);
  }
  if (error.empty() && takesSlot) {
    long work = verb == "STATUS" ? 1 : mService.mOptions.mWorkMs;
    if (mService.mWork && verb != "STATUS") {
      work = mService.mWork(aQuery.mText);
    }
    error = Work(lock, work) ? "" : "BUSY";
  }
  if (mIsDown) {
    return;
  }
  bool hasRun = false;
  auto rest = aQuery.mRest;
  if (!error.empty()) {
    // The request ends here.
  } else if (verb == "READ" || verb == "WRITE" || verb == "EXECUTE") {
    error = RunData(aConnection, aQuery, hasRun);
    if (error.empty() && verb == "WRITE" && !aConnection.mIsInTransaction) {
      hasRun = Append(lock, { aQuery.mId });
    }
    row = verb == "READ" ? "row-" + std::to_string(mLog.size()) : "";
  } else if (verb == "COMMIT") {
    error = RunCommit(lock, aConnection, aQuery, hasRun);
  } else if (verb == "BEGIN") {
    bool isReadOnly = rest == "READ";
    if (!isReadOnly && !mIsPrimary) {
      error = "RDONLY";
    } else if (!aQuery.mAfter.empty() && !Holds(aQuery.mAfter)) {
      error = "LAGGING";
    } else {
      aConnection.mIsInTransaction = true;
      aConnection.mIsReadOnly = isReadOnly;
      aConnection.mWrites.clear();
    }
  } else if (verb == "ROLLBACK") {
    aConnection.mIsInTransaction = false;
    aConnection.mHasFailed = false;
  } else if (verb == "SET") {
    auto name = TakeWord(rest);
    aConnection.mValues[name] = rest;
  } else if (verb == "PREPARE") {
    auto name = TakeWord(rest);
    auto access = TakeWord(rest);
    aConnection.mPrepared[name] = { access == "WRITE", rest };
  } else if (verb == "RESET") {
    aConnection.mValues.clear();
    aConnection.mPrepared.clear();
  } else if (verb == "STATUS" || verb == "DEMOTE") {
    if (verb == "DEMOTE") {
      mService.Demote(*this, std::strtoull(rest.c_str(), nullptr, 10));
    }
    row = Status();
  } else {
    error = "MALFORMED";
  }
  if (mIsDown) {
    return;
  }
  if (hasRun) {
    digest = "7.1f3.c." + std::to_string(mService.mNextNumber++);
  }
  if (!error.empty()) {
    aConnection.mHasFailed = aConnection.mIsInTransaction;
  }
  std::string text = !row.empty() && error.empty() ? "ROW " + row + "\r\n" : "";
  text += error.empty() ? "COMPLETE " + digest + "\r\n"
                        : "ERROR " + error + ' ' + mName + "\r\n";
  const char* state = aConnection.mHasFailed         ? "E"
                      : aConnection.mIsInTransaction ? "T"
                                                     : "I";
  text += std::string("READY ") + state + ' ' + Position(Applied()) + "\r\n";
  lock.unlock();
  aSocket.Write(text);
}

inline std::string Database::RunData(Connection& aConnection,
                                     const Query& aQuery,
                                     bool& aHasRun)
{
  bool isWrite = aQuery.mVerb == "WRITE";
  if (aQuery.mVerb == "EXECUTE") {
    auto rest = aQuery.mRest;
    auto prepared = aConnection.mPrepared.find(TakeWord(rest));
    if (prepared == aConnection.mPrepared.end()) {
      return "NOSTMT";
    }
    isWrite = prepared->second.first;
  }
  bool isPlain = aConnection.mIsInTransaction && !aConnection.mIsReadOnly;
  if ((isWrite || isPlain) && !mIsPrimary) {
    return "RDONLY";
  }
  if (!aQuery.mAfter.empty() && !Holds(aQuery.mAfter)) {
    return "LAGGING";
  }
  RecordRun(aConnection, aQuery);
  if (isWrite && aConnection.mIsInTransaction) {
    aConnection.mWrites.push_back(aQuery.mId);
  }
  aHasRun = true;
  return {};
}

inline std::string Database::RunCommit(std::unique_lock<std::mutex>& aLock,
                                       Connection& aConnection,
                                       const Query& aQuery,
                                       bool& aHasRun)
{
  bool wasInTransaction = std::exchange(aConnection.mIsInTransaction, false);
  bool hadFailed = std::exchange(aConnection.mHasFailed, false);
  if (!wasInTransaction || hadFailed) {
    return wasInTransaction ? "ABORTED" : "MALFORMED";
  }
  if (!aConnection.mWrites.empty() && !mIsPrimary) {
    return "RDONLY";
  }
  RecordRun(aConnection, aQuery);
  aHasRun = true;
  if (!aConnection.mWrites.empty()) {
    auto ids = std::exchange(aConnection.mWrites, {});
    ids.push_back(aQuery.mId);
    aHasRun = Append(aLock, std::move(ids));
  }
  return {};
}

// Appends a commit and copies it to the replicas. With syncReplicas it returns once one
// replica has received it; false if this database went down before.
inline bool Database::Append(std::unique_lock<std::mutex>& aLock,
                             std::vector<std::string> aIds)
{
  auto commit = std::make_shared<Commit>();
  commit->mTerm = mTerm;
  commit->mIds = std::move(aIds);
  commit->mAt = NowMs();
  mLog.push_back(commit);
  auto number = mLog.size();
  for (const auto& it : mService.mDatabases) {
    mService.CatchUp(*it);
  }
  mService.mChanged.wait(aLock, [&] {
    int received = 0;
    for (const auto& it : mService.mDatabases) {
      bool has = it.get() != this && !it->mIsDown && it->mLog.size() >= number &&
                 it->mLog[number - 1] == commit;
      received += has ? 1 : 0;
    }
    return mIsDown || received >= mService.mOptions.mSyncReplicas;
  });
  return !mIsDown;
}

} // namespace review
