#pragma once

#include "caller.grpc.pb.h"
#include "caller/SessionFactory.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace sesameway::caller {

class SessionStream;

// The open session streams. mMutex guards the table; no other lock is held while it is
// acquired.
class StreamTable
{
public:
  void Add(SessionStream* aStream, std::weak_ptr<SessionStream> aWeak);
  void Remove(SessionStream* aStream);
  std::vector<std::shared_ptr<SessionStream>> All() const;

private:
  mutable std::mutex mMutex;
  std::map<SessionStream*, std::weak_ptr<SessionStream>> mStreams;
};

// gRPC service for callers. Each bidirectional stream is one session.
class CallerServer : public wire::Caller::CallbackService
{
public:
  explicit CallerServer(SessionFactory& aFactory);
  grpc::ServerBidiReactor<wire::CallerRequest, wire::CallerAnswer>* Session(
    grpc::CallbackServerContext* aContext) override;

  // Asks the caller of each session to continue it at another daemon.
  void AskToMove();
  // Accepts no further statements. Each stream ends once the answers to the accepted
  // statements are written; its trailing metadata holds the id of the last accepted
  // one.
  void CloseSessions();
  // Answers the accepted statements without waiting for their end, so that all streams
  // end: those that have begun and may have an effect as unknown, others as not run.
  void AnswerAll();
  std::size_t OpenSessions() const;

private:
  SessionFactory& mFactory;
  std::shared_ptr<StreamTable> mStreams;
};

} // namespace sesameway::caller
