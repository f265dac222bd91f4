#pragma once

#include "proxy/CallerRun.h"
#include "sesameway/CatalogueText.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace sesameway::test {

// A fake database connection that keeps the latest batch until the test answers it.
class FakeLink : public proxy::DatabaseLink
{
public:
  void Send(std::vector<ConnectionCommand> aCommands, Replies aDone) override
  {
    mSent = std::move(aCommands);
    mDone = std::move(aDone);
    ++mBatches;
  }
  void Close() override
  {
    mIsClosed = true;
    mOnBroken = nullptr;
    BreakWhileBusy();
  }
  bool IsClosed() const override { return mIsClosed; }
  void OnBroken(std::function<void()> aCallback) override
  {
    mOnBroken = std::move(aCallback);
  }

  bool IsBusy() const { return mDone != nullptr; }
  // Answers the last command of the batch with this reply and all commands before it,
  // which prepare the connection, with Done.
  void Answer(ConnectionReply aReply)
  {
    std::vector<ConnectionReply> replies(mSent.size());
    for (auto& it : replies) {
      it.mCode = ReplyCode::Done;
    }
    replies.back() = std::move(aReply);
    std::exchange(mDone, nullptr)(std::move(replies));
  }
  void BreakWhileBusy()
  {
    if (mDone) {
      std::exchange(mDone, nullptr)(std::vector<ConnectionReply>(mSent.size()));
    }
  }
  void BreakWhileIdle()
  {
    if (mOnBroken) {
      std::exchange(mOnBroken, nullptr)();
    }
  }

  std::vector<ConnectionCommand> mSent;
  Replies mDone;
  std::function<void()> mOnBroken;
  int mBatches = 0;
  bool mIsClosed = false;
};

// A fake backend whose requests for connections stay pending until the test grants or
// refuses them.
class FakeBackend : public proxy::Backend
{
public:
  struct PendingAcquire
  {
    proxy::LeaseRequest mRequest;
    proxy::LeaseCallback mDone;
  };

  std::uint64_t Acquire(const proxy::LeaseRequest& aRequest,
                        proxy::LeaseCallback aDone) override
  {
    auto ticket = ++mLastTicket;
    mPendingAcquires[ticket] = { aRequest, std::move(aDone) };
    return ticket;
  }
  void CancelAcquire(std::uint64_t aTicket) override
  {
    mPendingAcquires.erase(aTicket);
  }
  void Release(const proxy::LeasePtr& aLease, bool aIsBroken) override
  {
    ++(aIsBroken ? mReleasedBroken : mReleased);
    if (aIsBroken) {
      aLease->mLink->Close();
    }
  }
  bool IsInForce(const proxy::ConnectionLease& aLease) const override
  {
    return !aLease.mIsPrimary || mIsPrimaryInForce;
  }
  bool AreRepliesTrusted(const proxy::ConnectionLease& aLease) const override
  {
    return !aLease.mIsPrimary || (mIsPrimaryInForce && mAreRepliesTrusted);
  }
  void Confirm(const proxy::ConnectionLease&,
               TimePoint,
               std::function<void(bool)> aDone) override
  {
    mConfirmations.push_back(std::move(aDone));
  }
  std::optional<LogPosition> HeadSince(const std::string&, TimePoint) const override
  {
    return mHead;
  }
  bool IsUnresponsive(const proxy::ConnectionLease&) const override
  {
    return mIsUnresponsive;
  }
  void OnSent(const proxy::ConnectionLease&) override {}
  void OnReply(const proxy::ConnectionLease&,
               const ConnectionReply&,
               TimePoint) override
  {
  }

  // Grants a new connection to the oldest pending request.
  std::shared_ptr<FakeLink> Grant(const std::string& aDatabase, bool aIsPrimary)
  {
    auto pending = std::move(mPendingAcquires.begin()->second);
    mPendingAcquires.erase(mPendingAcquires.begin());
    auto link = std::make_shared<FakeLink>();
    auto lease = std::make_shared<proxy::ConnectionLease>();
    lease->mDatabase = aDatabase;
    lease->mGroup = pending.mRequest.mGroup;
    lease->mIsPrimary = aIsPrimary;
    lease->mLink = link;
    lease->mConnectionState = std::make_shared<SharedConnectionState>();
    pending.mDone(lease);
    return link;
  }
  // Refuses the oldest pending request.
  void Refuse(const std::string& aReason, TimePoint aRetryAt)
  {
    auto pending = std::move(mPendingAcquires.begin()->second);
    mPendingAcquires.erase(mPendingAcquires.begin());
    pending.mDone(tl::unexpected(proxy::Refusal{ ReplyCode::Busy, aReason, aRetryAt }));
  }

  bool mIsUnresponsive = false;
  std::uint64_t mLastTicket = 0;
  std::map<std::uint64_t, PendingAcquire> mPendingAcquires;
  std::deque<std::function<void(bool)>> mConfirmations;
  std::optional<LogPosition> mHead;
  bool mIsPrimaryInForce = true;
  bool mAreRepliesTrusted = true;
  int mReleased = 0;
  int mReleasedBroken = 0;
};

// A session environment whose clock and timers advance only when the test says so. Its
// catalogue has the route "strict", whose reads go to the primary, and the route
// "aged", whose reads may return data of a limited age.
class FakeSessionEnvironment : public proxy::SessionEnvironment
{
public:
  class FakeTimer : public proxy::OneShotTimer
  {
  public:
    explicit FakeTimer(FakeSessionEnvironment& aEnvironment)
      : mEnvironment(aEnvironment)
    {
    }
    ~FakeTimer() override { Cancel(); }
    void Set(TimePoint aWhen, std::function<void()> aTask) override
    {
      mEnvironment.mTimers[this] = { aWhen, std::move(aTask) };
    }
    void Cancel() override { mEnvironment.mTimers.erase(this); }

  private:
    FakeSessionEnvironment& mEnvironment;
  };

  FakeSessionEnvironment()
  {
    auto catalogue = std::make_shared<Catalogue>();
    catalogue->mIdleTransactionUs = 3'000'000;
    catalogue->mOrganisations["acme"] = { "acme", 10, 10, 1 };
    auto hash = HashKey("key");
    catalogue->mKeys["k"] = { "k", "acme", hash, false };
    catalogue->mKeyNamesByHash[hash] = "k";
    for (const char* it : { "strict", "aged" }) {
      RouteEntry route;
      route.mName = it;
      route.mGroup = "g";
      route.mStatementTimeoutUs = 1'000'000;
      route.mMaxAgeUs = std::string(it) == "aged" ? 1'500'000 : 0;
      catalogue->mRoutes[it] = route;
    }
    mCatalogue = catalogue;
  }

  TimePoint Now() const override { return mNow; }
  std::unique_ptr<proxy::OneShotTimer> NewOneShotTimer() override
  {
    return std::make_unique<FakeTimer>(*this);
  }
  CataloguePtr Current() const override { return mCatalogue; }
  void Admit(const Organisation&,
             TimePoint,
             std::function<void(bool, TimePoint)> aVerdict) override
  {
    if (mAdmitsAtOnce) {
      aVerdict(true, mNow);
    } else {
      mVerdicts.push_back(std::move(aVerdict));
    }
  }
  bool EndsSessions() const override { return mIsDraining; }
  void OnStatement(const std::string&, ReplyCode, Duration) override {}

  // Advances the clock and runs all timers that become due.
  void AdvanceTime(Duration aTime)
  {
    mNow += aTime;
    for (bool hasRun = true; hasRun;) {
      hasRun = false;
      for (auto& it : mTimers) {
        if (it.second.first <= mNow) {
          auto task = std::move(it.second.second);
          mTimers.erase(it.first);
          task();
          hasRun = true;
          break;
        }
      }
    }
  }

  TimePoint mNow{ seconds(1000) };
  std::map<FakeTimer*, std::pair<TimePoint, std::function<void()>>> mTimers;
  std::shared_ptr<const Catalogue> mCatalogue;
  std::deque<std::function<void(bool, TimePoint)>> mVerdicts;
  bool mAdmitsAtOnce = true;
  bool mIsDraining = false;
};

class FakeStream : public proxy::CallerStream
{
public:
  void Accept() override { mIsAccepted = true; }
  void Refuse(ReplyCode aCode, const std::string&) override { mRefusal = aCode; }
  void Answer(const ConnectionReply& aReply) override { mAnswers.push_back(aReply); }
  void Close() override { mIsClosed = true; }

  bool mIsAccepted = false;
  bool mIsClosed = false;
  std::optional<ReplyCode> mRefusal;
  std::vector<ConnectionReply> mAnswers;
};

} // namespace sesameway::test
