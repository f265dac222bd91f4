#include "proxy/CallerRun.h"

#include "daemon/Log.h"
#include "proxy/Replies.h"

#include <algorithm>

namespace sesameway::proxy {

namespace {

// About as long as slow answers take in a busy group.
constexpr Duration kSilentPatience = milliseconds(500);

} // namespace

void CallerRun::Acquire()
{
  if (!mAttempt) {
    return;
  }
  auto& attempt = *mAttempt;
  LeaseRequest need;
  need.mGroup = mRoute->mGroup;
  need.mOrganisation = mOrganisation;
  need.mPriority = mRoute->mPriority;
  need.mDeadline = attempt.mDeadline;
  need.mNeedsPrimary = attempt.mNeedsPrimary;
  need.mFreshSince = FreshSince(attempt);
  if (mTokenGroup == need.mGroup) {
    need.mToken = mToken;
  }
  need.mAvoid = attempt.mAvoid;
  need.mTooOld = attempt.mTooOld;
  // The callback may come before Acquire returns; its ticket is void then.
  auto isOver = std::make_shared<bool>(false);
  auto ticket = mBackend.Acquire(
    need, [self = shared_from_this(), isOver](tl::expected<LeasePtr, Refusal> aLease) {
      *isOver = true;
      self->mTicket = 0;
      self->OnLease(std::move(aLease));
    });
  if (!*isOver) {
    mTicket = ticket;
  }
}

void CallerRun::OnLease(tl::expected<LeasePtr, Refusal> aLease)
{
  if (mIsGone || !mAttempt) {
    if (aLease) {
      mBackend.Release(*aLease, false);
    }
    return;
  }
  if (!aLease) {
    const auto& refusal = aLease.error();
    auto reason = mAttempt->mCause.empty()
                    ? refusal.mReason
                    : refusal.mReason + " after " + mAttempt->mCause;
    Fail(refusal.mCode, RetryText(reason, refusal.mRetryAt, mHost.Now()));
    return;
  }
  mLease = *aLease;
  mLease->mLink->OnBroken([weak = weak_from_this(), lease = mLease] {
    auto self = weak.lock();
    if (!self || self->mLease != lease) {
      return;
    }
    if (std::exchange(self->mIsConfirming, false)) {
      self->OnLost();
    } else {
      self->GiveBack(true);
      self->EndTransaction("connection_lost");
    }
  });
  Send();
}

TimePoint CallerRun::FreshSince(const Attempt& aAttempt) const
{
  bool isInTransaction = mTransaction == TransactionState::Open;
  auto since = isInTransaction ? mBegunAt : aAttempt.mReceivedAt;
  return since - Duration(microseconds(mRoute->mMaxAgeUs));
}

std::optional<LogPosition> CallerRun::FreshAfter(const Attempt& aAttempt) const
{
  if (mLease->mIsPrimary) {
    return std::nullopt;
  }
  auto after = mBackend.HeadSince(mLease->mGroup, FreshSince(aAttempt));
  if (mToken && mTokenGroup == mLease->mGroup) {
    after = after ? std::max(*after, *mToken) : *mToken;
  }
  return after;
}

void CallerRun::Send()
{
  if (!mBackend.IsInForce(*mLease)) {
    OnReplaced();
    return;
  }
  auto& attempt = *mAttempt;
  attempt.mSentAt = mHost.Now();
  attempt.mDatabase = mLease->mDatabase;
  attempt.mIsAtPrimary = mLease->mIsPrimary;
  attempt.mChange = mLease->mChange;
  ++attempt.mSends;
  if (mTransaction == TransactionState::Open && !mHasBegun) {
    SendBegin();
  } else {
    SendStatement();
  }
}

// The statement goes out once the database has begun the transaction: after a refused
// beginning it would run outside of one.
void CallerRun::SendBegin()
{
  auto commands = mLease->mContents->SyncValues(mValues);
  ConnectionCommand begin;
  begin.mKind = mIsReadOnly ? CommandKind::BeginRead : CommandKind::Begin;
  begin.mAfter = FreshAfter(*mAttempt);
  mAttempt->mAfter = begin.mAfter;
  commands.push_back(std::move(begin));
  mHasBegun = true;
  SendBatch(std::move(commands), [this](ConnectionReply aReply) {
    if (aReply.mCode != ReplyCode::Done) {
      OnOutcome(std::move(aReply));
    } else if (mBackend.IsInForce(*mLease)) {
      SendStatement();
    } else {
      OnReplaced();
    }
  });
}

void CallerRun::SendStatement()
{
  auto& attempt = *mAttempt;
  auto commands = mLease->mContents->SyncValues(mValues);
  ConnectionCommand command;
  command.mKind = attempt.mCommand;
  command.mId = attempt.mRequest.mId;
  command.mText = attempt.mRequest.mText;
  if (attempt.mPrepared) {
    command.mName = mLease->mContents->NameOf(*attempt.mPrepared, commands);
    command.mText = attempt.mRequest.mArgument;
  }
  if (mTransaction == TransactionState::None) {
    command.mAfter = FreshAfter(attempt);
    attempt.mAfter = command.mAfter;
  }
  commands.push_back(std::move(command));
  SendBatch(std::move(commands),
            [this](ConnectionReply aReply) { OnOutcome(std::move(aReply)); });
}

void CallerRun::SendBatch(std::vector<ConnectionCommand> aCommands,
                          std::function<void(ConnectionReply)> aThen)
{
  mIsSending = true;
  mBackend.OnSent(*mLease);
  if (MayRunAgain()) {
    WatchSilence();
  }
  mLease->mLink->Send(std::move(aCommands),
                      [self = shared_from_this(),
                       then = std::move(aThen)](std::vector<ConnectionReply> aReplies) {
                        self->mIsSending = false;
                        self->OnReplies(std::move(aReplies), then);
                      });
}

// The last reply is the statement's; those before are of what had to be sent first.
void CallerRun::OnReplies(std::vector<ConnectionReply> aReplies,
                          const std::function<void(ConnectionReply)>& aThen)
{
  auto reply = std::move(aReplies.back());
  aReplies.pop_back();
  bool isSetUp = std::all_of(aReplies.begin(), aReplies.end(), [](const auto& aIt) {
    return aIt.mCode == ReplyCode::Done;
  });
  mBackend.OnReply(*mLease, reply, mAttempt ? mAttempt->mSentAt : TimePoint{});
  if (!isSetUp) {
    // The connection does not hold what it should; the statement may have run amiss.
    GiveBack(true);
    reply = OwnReply(ReplyCode::Lost, "setup", TransactionState::None);
  }
  if (mIsGone || !mAttempt) {
    if (reply.mTransaction == TransactionState::None) {
      GiveBack(reply.mCode == ReplyCode::Lost);
    } else {
      RollBack();
    }
    return;
  }
  aThen(std::move(reply));
}

// Another database may answer a read in time where this one answers nothing.
void CallerRun::WatchSilence()
{
  mPause->Set(mHost.Now() + kSilentPatience,
              [weak = weak_from_this(), number = mAttempt->mNumber] {
                auto self = weak.lock();
                bool isWaiting = self && self->IsAt(number) && self->mIsSending;
                if (isWaiting && self->mBackend.IsUnresponsive(*self->mLease)) {
                  self->mLease->mLink->Close();
                }
              });
}

void CallerRun::RollBack()
{
  if (!mLease || mIsSending) {
    return;
  }
  if (!mHasBegun) {
    GiveBack(false);
    return;
  }
  auto lease = std::exchange(mLease, nullptr);
  lease->mLink->OnBroken(nullptr);
  ConnectionCommand rollback;
  rollback.mKind = CommandKind::Rollback;
  auto& backend = mBackend;
  lease->mLink->Send({ rollback }, [&backend, lease](auto aReplies) {
    bool isClean = aReplies.back().mCode == ReplyCode::Done &&
                   aReplies.back().mTransaction == TransactionState::None;
    backend.Release(lease, !isClean);
  });
}

void CallerRun::GiveBack(bool aIsBroken)
{
  if (!mLease) {
    return;
  }
  auto lease = std::exchange(mLease, nullptr);
  lease->mLink->OnBroken(nullptr);
  mBackend.Release(lease, aIsBroken);
}

} // namespace sesameway::proxy
