#pragma once

#include "caller/SessionFactory.h"
#include "peer/Peer.h"
#include "sesameway/Catalogue.h"
#include "sesameway/SessionPlan.h"

#include <memory>
#include <mutex>
#include <string>

namespace sesameway::daemon {

class Engine;

// One caller's session: its session token, which says what its reads must see, and its
// open transaction. The caller's stream passes in one statement at a time, so the
// class needs no lock.
class SessionRun
  : public caller::Session
  , public std::enable_shared_from_this<SessionRun>
{
public:
  SessionRun(Engine& aEngine, const std::string& aKey);
  SessionRun(const SessionRun&) = delete;
  SessionRun& operator=(const SessionRun&) = delete;
  ~SessionRun() override;
  void Execute(Statement aStatement, std::function<void(Answer)> aDone) override;

private:
  // The result of checking a statement against a catalogue: whether the key may use the
  // route, and the entries that apply. The pointers refer to the catalogue.
  struct Permit
  {
    Reason mReason = Reason::None;
    const RouteEntry* mRoute = nullptr;
    const Organisation* mOrganisation = nullptr;
  };
  Permit Check(const Catalogue& aCatalogue, const Statement& aStatement) const;
  void Route(Statement aStatement,
             const RouteEntry& aRoute,
             const std::string& aOrganisation,
             peer::AnswerCallback aDone);
  void On(const RefuseStatement& aStep, peer::AnswerCallback aDone);
  void On(RunStatement& aStep, peer::AnswerCallback aDone);
  void On(BeginTransaction& aStep, peer::AnswerCallback aDone);
  void On(RunInTransaction& aStep, peer::AnswerCallback aDone);
  void OnTransactionAnswer(const GroupRequest& aRequest,
                           Answer aAnswer,
                           const peer::AnswerCallback& aDone);
  void CloseTransaction();

  Engine& mEngine;
  bool mHasKey;
  // Hash of the caller's key. The key itself is not stored.
  std::string mKeyHash;
  SessionPlan mPlan;
  peer::TransactionPtr mTransaction;
};

} // namespace sesameway::daemon
