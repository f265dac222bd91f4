#pragma once

#include "daemon/GroupHome.h"
#include "sesameway/TransactionPlan.h"

#include <mutex>

namespace sesameway::daemon {

// Executes one transaction, one statement at a time, by performing the actions that its
// TransactionPlan returns. The transaction owns its connection until it ends. The
// destructor closes the connection of an open transaction, which rolls the transaction
// back. Lock: mMutex, taken while no other lock is held, protects the plan and the
// connection. It is not held while callbacks run.
class TransactionRun
  : public peer::Transaction
  , public std::enable_shared_from_this<TransactionRun>
{
public:
  static void Begin(GroupHomePtr aHome,
                    GroupRequest aRequest,
                    peer::BeginCallback aDone);

  TransactionRun(GroupHomePtr aHome,
                 std::size_t aDatabase,
                 std::uint64_t aTerm,
                 database::ConnectionPtr aConnection);
  TransactionRun(const TransactionRun&) = delete;
  TransactionRun& operator=(const TransactionRun&) = delete;
  ~TransactionRun() override;

  void Execute(GroupRequest aRequest, peer::AnswerCallback aDone) override;

private:
  static void BeginAt(GroupHomePtr aHome,
                      std::size_t aDatabase,
                      std::uint64_t aTerm,
                      std::shared_ptr<GroupRequest> aRequest,
                      peer::BeginCallback aDone);
  // Passes the event to the plan under the lock and returns the plan's action.
  template<typename Event>
  TransactionAction Decide(Event aEvent);
  void Do(TransactionAction aAction, const peer::AnswerCallback& aDone);
  void On(SendCommand& aAction, const peer::AnswerCallback& aDone);
  void On(const AwaitConfirmed& aAction, const peer::AnswerCallback& aDone);
  void On(const AwaitCommitSafe& aAction, const peer::AnswerCallback& aDone);
  void On(KeepOpen& aAction, const peer::AnswerCallback& aDone);
  void On(FinishTransaction& aAction, const peer::AnswerCallback& aDone);
  void StartIdleTimer();
  void Close(bool aIsClean);

  GroupHomePtr mHome;
  std::size_t mDatabase;
  std::mutex mMutex;
  TransactionPlan mPlan;
  database::ConnectionPtr mConnection;
};

} // namespace sesameway::daemon
