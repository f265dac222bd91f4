#pragma once

#include "caller.grpc.pb.h"
#include "caller/SessionHost.h"

#include <map>
#include <memory>
#include <mutex>
#include <vector>

namespace sesameway::caller {

class SessionStream;

// The streams that are open. Lock: mMutex, under no other.
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

// Callers' sessions over gRPC: one bidirectional stream each.
class CallerServer : public wire::Caller::CallbackService
{
public:
  explicit CallerServer(SessionFactory& aFactory);
  grpc::ServerBidiReactor<wire::CallerRequest, wire::CallerAnswer>* Session(
    grpc::CallbackServerContext* aContext) override;

  // Tells each session to go on at another daemon.
  void AskToMove();
  // Ends each stream once the answers due are written, and says which statement was the
  // last one taken.
  void CloseSessions();
  std::size_t OpenSessions() const;

private:
  SessionFactory& mFactory;
  std::shared_ptr<StreamTable> mStreams;
};

} // namespace sesameway::caller
