// A client's session with sesameproxy.
#pragma once

#include "Net.h"
#include "Record.h"

#include <atomic>
#include <vector>

namespace review {

struct Reply
{
  // COMPLETE, or the code of an ERROR; empty if the connection ended or no answer came.
  std::string mCode;
  std::string mDetail;
  std::vector<std::string> mRows;
  std::string mDigest;
  std::string mState;
  bool mIsClosed = false;
  bool IsDone() const { return mCode == "COMPLETE"; }
  // Whether the answer promises that nothing of the client's attempt is kept.
  bool IsPromise() const
  {
    static const std::set<std::string> kPromises{ "BUSY",   "ABORTED",   "LAGGING",
                                                  "RDONLY", "WRONGHOST", "MAXCONN" };
    return kPromises.count(mCode) > 0;
  }
};

inline std::string NewId()
{
  static std::atomic<std::uint64_t> next{ 1 };
  char text[17];
  std::snprintf(text,
                sizeof text,
                "%016llx",
                static_cast<unsigned long long>(0x5c0e7a2100000000ULL + next++));
  return text;
}

class Client
{
public:
  Client(std::string aName, bool aIsQuiet = false)
    : mName(std::move(aName))
    , mIsQuiet(aIsQuiet)
  {
  }

  // Returns whether READY came within 2 s.
  bool Connect(const std::string& aAddress,
               const std::string& aRoute,
               const std::string& aKey)
  {
    mSocket = Socket::Connect(aAddress);
    if (!mSocket || !mSocket->Write("CONNECT " + aRoute + ' ' + aKey + "\r\n")) {
      return false;
    }
    auto line = mSocket->Line(2000);
    Tell("CONNECT " + aRoute + " -> " + line.value_or("(nothing)"));
    return line && line->starts_with("READY");
  }

  Reply Query(const std::string& aText, int aTimeoutMs = 15000)
  {
    return Query(NewId(), aText, aTimeoutMs);
  }

  Reply Query(const std::string& aId, const std::string& aText, int aTimeoutMs)
  {
    mLastId = aId;
    Reply reply;
    Tell("sends " + aId + ' ' + aText);
    if (!mSocket || !mSocket->Write("QUERY " + aId + ' ' + aText + "\r\n")) {
      reply.mIsClosed = true;
    }
    while (!reply.mIsClosed) {
      auto line = mSocket->Line(aTimeoutMs);
      if (!line) {
        reply.mIsClosed = !mSocket->IsOpen();
        break;
      }
      auto word = TakeWord(*line);
      if (word == "ROW") {
        reply.mRows.push_back(*line);
      } else if (word == "COMPLETE") {
        reply.mCode = word;
        reply.mDigest = *line;
      } else if (word == "ERROR") {
        reply.mCode = TakeWord(*line);
        reply.mDetail = *line;
      } else if (word == "READY") {
        reply.mState = TakeWord(*line);
        break;
      }
    }
    Tell("gets  " + aId + ' ' + (reply.mCode.empty() ? "(no answer)" : reply.mCode) +
         ' ' + (reply.IsDone() ? reply.mDigest : reply.mDetail) + " state " +
         (reply.mState.empty() ? "-" : reply.mState) +
         (reply.mIsClosed ? ", closed" : ""));
    return reply;
  }

  void Close()
  {
    if (mSocket) {
      mSocket->Write("QUIT\r\n");
      mSocket->Shutdown();
      mSocket.reset();
    }
  }
  const std::string& LastId() const { return mLastId; }

private:
  void Tell(const std::string& aText) const
  {
    if (!mIsQuiet) {
      Note("client ", mName, ": ", aText);
    }
  }

  std::string mName;
  bool mIsQuiet;
  std::string mLastId;
  SocketPtr mSocket;
};

} // namespace review
