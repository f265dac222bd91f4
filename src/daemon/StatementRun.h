#pragma once

#include "daemon/GroupHome.h"
#include "sesameway/StatementPlan.h"

namespace sesameway::daemon {

// Executes one statement at a home daemon by performing the actions that its
// StatementPlan returns: chooses a database from the home's view of the group, acquires
// a connection from the home's pool, and waits for status reports of the databases.
class StatementRun : public std::enable_shared_from_this<StatementRun>
{
public:
  static void Start(GroupHomePtr aHome,
                    GroupRequest aRequest,
                    peer::AnswerCallback aDone);

  StatementRun(GroupHomePtr aHome, GroupRequest aRequest, peer::AnswerCallback aDone);

private:
  void Do(PlanAction aAction);
  void On(const ChooseRoute& aAction);
  void On(const AcquireConnection& aAction);
  void On(SendCommand& aAction);
  void On(const AwaitPrimary& aAction);
  void On(const AwaitSafe& aAction);
  void On(const AwaitConfirmed& aAction);
  void On(const AwaitRetry& aAction);
  void On(FinishStatement& aAction);
  void OnConnection(database::ConnectionPtr aConnection, Reason aReason);
  void OnReply(DatabaseReply aReply);
  void CountAnswer(const Answer& aAnswer) const;

  GroupHomePtr mHome;
  StatementPlan mPlan;
  peer::AnswerCallback mDone;
  // The connection acquired for the current attempt, and the index of its database.
  database::ConnectionPtr mConnection;
  std::size_t mDatabase = 0;
  bool mIsAtReplica = false;
};

} // namespace sesameway::daemon
