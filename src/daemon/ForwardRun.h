#pragma once

#include "daemon/Workers.h"
#include "peer/Peer.h"
#include "sesameway/ForwardPlan.h"

namespace sesameway::daemon {

// Forwards one statement to the homes of its group at other daemons by performing the
// actions that a ForwardPlan returns.
class ForwardRun : public std::enable_shared_from_this<ForwardRun>
{
public:
  // Called with the address of each home to which the connection was lost.
  using OnLost = std::function<void(const std::string&)>;

  // Workers and peers must outlive the run.
  static void Start(Workers& aWorkers,
                    peer::Peers& aPeers,
                    std::vector<std::string> aHomes,
                    GroupRequest aRequest,
                    OnLost aOnLost,
                    peer::AnswerCallback aDone);

  ForwardRun(Workers& aWorkers,
             peer::Peers& aPeers,
             std::vector<std::string> aHomes,
             GroupRequest aRequest,
             OnLost aOnLost,
             peer::AnswerCallback aDone);

private:
  void Do(ForwardAction aAction);
  void On(const ForwardAttempt& aAction);
  void On(const ForwardPause& aAction);
  void On(ForwardEnd& aAction);

  Workers& mWorkers;
  peer::Peers& mPeers;
  std::vector<std::string> mHomes;
  GroupRequest mRequest;
  ForwardPlan mPlan;
  OnLost mOnLost;
  peer::AnswerCallback mDone;
};

} // namespace sesameway::daemon
