#pragma once

#include "database.grpc.pb.h"
#include "standin.grpc.pb.h"

#include "sesameway/Database.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <thread>
#include <vector>

namespace sesameway::standin {

// One committed write or transaction.
struct LogEntry
{
  LogPosition mAt;
  std::vector<Operation> mWrites;
  std::string mRequestId;
  std::vector<Row> mResult;
};

// The log of a stand-in database, and the records and request ids that result from it.
// Not thread-safe.
class Records
{
public:
  // Appends an entry and applies its writes. Its position must be the next one after
  // Head().
  void Append(LogEntry aEntry);
  // Removes the entries after the position and the effects of their writes.
  void TruncateTo(std::uint64_t aPosition);
  // Returns the entry of a request id, or null.
  const LogEntry* FindRecorded(const std::string& aRequestId) const;
  LogPosition Head() const;
  const std::vector<LogEntry>& Log() const { return mLog; }
  std::vector<Row> Read(const Operation& aOperation) const;
  // Returns the position of the last entry that wrote the key, 0 if there is none.
  std::uint64_t ChangedAt(const std::string& aKey) const;

private:
  struct Record
  {
    std::string mValue;
    std::uint64_t mChangedAt = 0;
  };
  void Apply(const LogEntry& aEntry);

  std::vector<LogEntry> mLog;
  std::map<std::string, Record> mRecords;
  std::map<std::string, std::size_t> mRecorded;
};

// Arguments of StandinDatabase::SimulateDistance.
inline constexpr unsigned kOneWay = 1;
inline constexpr unsigned kRoundTrip = 2;

// Faults that tests inject by command. They change while calls run.
struct Faults
{
  std::atomic<std::uint64_t> mDelayMs = 0;
  std::atomic<std::uint64_t> mReplicationDelayMs = 0;
  // Network delay in one direction: added twice to a call, once to a pushed status and
  // to replicated entries.
  std::atomic<std::uint64_t> mDistanceMs = 0;
  // Number of commands that are still to be executed without an answer.
  std::atomic<std::uint64_t> mLoseAnswers = 0;
  std::atomic<bool> mCutReplication = false;
  std::atomic<bool> mCutClients = false;
  std::atomic<bool> mCutStatus = false;
  std::atomic<std::int64_t> mFrozenUntilMs = 0;
};

struct DatabaseOptions
{
  std::string mName;
  std::string mAddress;
  bool mPrimary = false;
  // IP:port of the primary to replicate from; empty for none.
  std::string mFollows;
  // Greatest number of open connections.
  int mConnections = 20;
  // Time to open a connection, in milliseconds.
  int mConnectMs = 10;
};

// Stand-in for a database of a group, in memory. It grants each term at most once,
// accepts writes while it is primary of the term that it granted last, and replicates
// from the database that it follows. It changes its role only on command.
class StandinDatabase
{
public:
  explicit StandinDatabase(DatabaseOptions aOptions);
  StandinDatabase(const StandinDatabase&) = delete;
  StandinDatabase& operator=(const StandinDatabase&) = delete;
  ~StandinDatabase();

  // State of one client connection: its open transaction, if any.
  struct Session
  {
    bool mInTransaction = false;
    // End of the log when the transaction began. The commit fails with a conflict if an
    // accessed key was written later.
    std::uint64_t mBeginPosition = 0;
    std::vector<Operation> mWrites;
    // Values that the transaction has written, by key.
    std::map<std::string, std::string> mOwnValues;
    // Keys of the transaction's operations; for a scan, its prefix.
    std::set<std::string> mAccessedKeys;
    std::vector<Row> mResult;
  };
  // Runs a command, after the injected delays.
  DatabaseReply Run(Session& aSession, const DatabaseCommand& aCommand);

  // Takes as long as opening a connection does. Returns false if too many are open.
  bool ReserveConnection();
  void ReleaseConnection();

  DatabaseStatus Status() const;
  // Grants a term greater than the last granted one: from then on the database is not
  // primary and follows none. Returns false for any other term.
  bool Fence(std::uint64_t aTerm);
  // Makes the database primary of the term that it granted last. Returns false for any
  // other term.
  bool Promote(std::uint64_t aTerm);
  // Makes the database a replica of the term's primary at IP:port. Returns false if it
  // has granted a greater term or is primary of this one.
  bool Follow(std::uint64_t aTerm, const std::string& aAddress);
  void SetLeaving(bool aIsLeaving);

  // Appends the log entries after a position to `aTo`, 512 at most. Waits up to 100 ms
  // if there are none. Returns false if the database is not primary of the term.
  bool EntriesAfter(std::uint64_t aTerm,
                    std::uint64_t aPosition,
                    std::vector<LogEntry>* aTo);
  // Returns the position up to which a follower's log is the same as this one. The
  // follower's log is given by the first position of each of its terms and by its end.
  std::uint64_t CommonPosition(const std::vector<LogPosition>& aTerms,
                               std::uint64_t aPosition) const;
  // Waits until the status version differs from `aSeen`, or for `aAtMost`. Returns the
  // current version.
  std::uint64_t WaitForChange(std::uint64_t aSeen, milliseconds aAtMost);

  Faults& InjectedFaults() { return mFaults; }
  const DatabaseOptions& Options() const { return mOptions; }
  // Blocks all calls for this time.
  void Freeze(milliseconds aFor);
  // Returns when no freeze is in effect.
  void SleepWhileFrozen() const;
  // Sleeps for the injected network delay, once for each of the one-way trips.
  void SimulateDistance(unsigned aOneWayTrips) const;

private:
  DatabaseReply RunLocked(Session& aSession, const DatabaseCommand& aCommand);
  DatabaseReply Execute(Session& aSession, const DatabaseCommand& aCommand);
  DatabaseReply Commit(Session& aSession, const DatabaseCommand& aCommand);
  void ApplyInTransaction(Session& aSession,
                          const Operation& aOperation,
                          std::vector<Row>* aRows);
  DatabaseReply AppendWrites(std::vector<Operation> aWrites,
                             const std::string& aRequestId,
                             std::vector<Row> aResult);
  std::string ValueFor(const Session& aSession, const std::string& aKey) const;
  bool IsPrimaryOf(std::uint64_t aTerm) const;
  // Raises the status version and wakes all waiting threads.
  void NotifyChanged();
  // Replicates from the followed database until this object is destroyed.
  void Pull();
  // Replicates over one stream until it ends or the database to follow changes.
  void PullOnce(std::uint64_t aTerm, const std::string& aAddress);

  DatabaseOptions mOptions;
  Faults mFaults;
  mutable std::mutex mMutex;
  std::condition_variable mChangedCondition;
  std::uint64_t mVersion = 1;
  Records mRecords;
  std::uint64_t mGrantedTerm = 1;
  bool mPrimary = false;
  std::string mFollows;
  std::uint64_t mFollowTerm = 1;
  bool mLeaving = false;
  int mConnections = 0;
  std::atomic<bool> mStopping = false;
  grpc::ClientContext* mPullContext = nullptr;
  std::thread mPullThread;
};

} // namespace sesameway::standin
