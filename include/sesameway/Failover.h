#pragma once

#include "sesameway/Database.h"
#include "sesameway/NameTable.h"
#include "sesameway/Routing.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace sesameway {

// How long a home waits before each step, for its place among the group's homes.
struct FailoverLimits
{
  // A primary that was not heard for this long is suspected; shorter freezes are not.
  Duration mSilence = milliseconds(600);
  // Another home agrees if it has not heard the primary for this long.
  Duration mAgreeSilence = milliseconds(300);
  // Without any other home in reach, silence needed to act alone.
  Duration mSilenceAlone = milliseconds(1200);
  // Each later home waits this much longer, so that the first one in reach acts.
  Duration mRankDelay = milliseconds(250);
  Duration mPeerTimeout = milliseconds(100);
  Duration mStepTimeout = milliseconds(300);
  // For another coordinator to finish a claim that was seen.
  Duration mUnfinished = milliseconds(500);
  // No replica moved while the primary had entries that were not safe.
  Duration mStalled = seconds(2);
  // For replicas to catch up with a leaving primary that gets no more writes.
  Duration mCatchUp = milliseconds(60);
  Duration mFollowInterval = milliseconds(100);
};

enum class SuspectCause : std::uint8_t
{
  // The primary is not heard, or takes no connections.
  Silent,
  // No database says that it is primary.
  NoPrimary,
  // A later term was granted but has no primary.
  Unfinished,
  // The primary writes what no replica takes.
  Stalled,
  // The primary is leaving.
  Leaving,
};
inline constexpr NameTable<SuspectCause, 5> kSuspectCauseNames{
  { "silent", "no_primary", "unfinished", "stalled", "leaving" }
};

enum class FailoverStep : std::uint8_t
{
  Suspect,
  Recovered,
  Claim,
  ClaimFailed,
  Fenced,
  Promoted,
  PromoteFailed,
  Known,
};
inline constexpr NameTable<FailoverStep, 8> kFailoverStepNames{ { "suspect",
                                                                  "recovered",
                                                                  "claim",
                                                                  "claim_failed",
                                                                  "fenced",
                                                                  "promoted",
                                                                  "promote_failed",
                                                                  "known" } };

// Asks every other home what it knows; answers carry the round's number.
struct AskPeers
{
  std::uint64_t mRound;
};
struct SendFence
{
  std::size_t mDatabase;
  std::uint64_t mTerm;
};
struct SendPromote
{
  std::size_t mDatabase;
  std::uint64_t mTerm;
};
struct SendFollow
{
  std::size_t mDatabase;
  std::uint64_t mTerm;
  std::size_t mPrimary;
};
// Tells every other home of a new primary.
struct AnnouncePrimary
{
  std::size_t mDatabase;
  std::uint64_t mTerm;
};
// For the log.
struct StepReached
{
  FailoverStep mStep;
  std::uint64_t mTerm = 0;
  std::optional<std::size_t> mDatabase;
  std::optional<SuspectCause> mCause;
};
using FailoverAction = std::
  variant<AskPeers, SendFence, SendPromote, SendFollow, AnnouncePrimary, StepReached>;
using FailoverActions = std::vector<FailoverAction>;

// What another home answered.
struct PeerOpinion
{
  std::uint64_t mTerm = 0;
  std::optional<std::size_t> mPrimary;
  Duration mSilence{};
};

// Picks the database to promote out of a fenced majority: the greatest log among those
// that are not to be avoided, if these are sure to hold all that was acknowledged; else
// the greatest of all once `aMayTakeAvoided`. None while more grants are needed.
std::optional<std::size_t> ChooseForPromotion(
  const std::vector<std::optional<LogPosition>>& aFencedHeads,
  const std::vector<bool>& aAvoided,
  bool aMayTakeAvoided);

// Takes a report over into what a home knows of the database. `aSentAt` is the time of
// the request that it answers.
void ApplyReport(DatabaseView* aView, const DatabaseStatus& aStatus, TimePoint aSentAt);

// One home's part in the failover of one group: finds that the primary failed, claims a
// term, fences a majority, promotes, and makes the others follow. Any home may go on
// where another one stopped, by a later term.
class FailoverMachine
{
public:
  // The rank is this home's place among the group's homes, 0 acts first.
  FailoverMachine(std::vector<std::string> aAddresses,
                  FailoverLimits aLimits,
                  TimePoint aNow);
  void SetHomes(std::size_t aRank, std::size_t aPeers);

  // `aStatus` is none when no answer came.
  FailoverActions OnStatus(std::size_t aDatabase,
                           const std::optional<DatabaseStatus>& aStatus,
                           TimePoint aNow);
  // Since when no connection for statements could be opened there, if so.
  void OnConnections(std::size_t aDatabase, std::optional<TimePoint> aFailingSince);
  FailoverActions OnFence(std::size_t aDatabase,
                          std::uint64_t aTerm,
                          const std::optional<FenceResult>& aResult,
                          TimePoint aNow);
  FailoverActions OnPromote(std::size_t aDatabase,
                            std::uint64_t aTerm,
                            const std::optional<DatabaseStatus>& aStatus,
                            TimePoint aNow);
  // None when the other home did not answer.
  FailoverActions OnPeer(std::uint64_t aRound,
                         const std::optional<PeerOpinion>& aOpinion,
                         TimePoint aNow);
  FailoverActions OnAnnounce(std::uint64_t aTerm, std::size_t aPrimary, TimePoint aNow);
  FailoverActions Tick(TimePoint aNow);

  // The newest term that is known to have a primary, 0 if none.
  std::uint64_t Term() const { return mTerm; }
  std::optional<std::size_t> Primary() const { return mPrimary; }
  // None while the primary is leaving, a majority has granted a later term, or no
  // majority is in reach that could make a write safe or confirm a read.
  std::optional<std::size_t> ServingPrimary(TimePoint aNow) const;
  // Whether no primary can be had at present: fewer than a majority are in reach.
  bool LacksMajority(TimePoint aNow) const;
  // Since it last reported, or since it takes no connections if that is longer.
  Duration SilenceOf(std::size_t aDatabase, TimePoint aNow) const;

private:
  struct Node
  {
    std::string mAddress;
    DatabaseStatus mStatus;
    bool mKnown = false;
    TimePoint mHeardAt;
    std::optional<TimePoint> mFailingSince;
    // A database that stays in need of following is told at this time.
    std::optional<TimePoint> mFollowAt;
  };
  struct Healthy
  {};
  struct Suspecting
  {
    SuspectCause mCause;
    TimePoint mActAt;
    std::uint64_t mRound = 0;
    std::size_t mAgree = 0;
    std::size_t mDisagree = 0;
    std::size_t mAnswers = 0;
    TimePoint mRoundDeadline;
  };
  struct Claiming
  {
    SuspectCause mCause;
    std::uint64_t mTerm;
    std::vector<std::optional<LogPosition>> mHeads;
    std::vector<bool> mAvoided;
    TimePoint mDeadline;
  };
  struct Promoting
  {
    std::uint64_t mTerm;
    std::size_t mDatabase;
    TimePoint mSendAt;
    TimePoint mDeadline;
  };
  using State = std::variant<Healthy, Suspecting, Claiming, Promoting>;

  void Advance(Healthy& aState, TimePoint aNow, FailoverActions* aTo);
  void Advance(Suspecting& aState, TimePoint aNow, FailoverActions* aTo);
  void Advance(Claiming& aState, TimePoint aNow, FailoverActions* aTo);
  void Advance(Promoting& aState, TimePoint aNow, FailoverActions* aTo);
  void DiscountOwnPause(TimePoint aNow);
  std::optional<SuspectCause> FindCause(TimePoint aNow) const;
  TimePoint ActTime(SuspectCause aCause, TimePoint aNow) const;
  bool MayClaim(Suspecting& aState, TimePoint aNow, FailoverActions* aTo);
  bool HasCaughtUp() const;
  void StartClaim(SuspectCause aCause, TimePoint aNow, FailoverActions* aTo);
  void FailClaim(FailoverStep aStep, TimePoint aNow, FailoverActions* aTo);
  void Learn(std::uint64_t aTerm, std::size_t aPrimary, FailoverActions* aTo);
  void TrackReplication(TimePoint aNow);
  void RedirectReplicas(TimePoint aNow, FailoverActions* aTo);
  bool IsHeard(std::size_t aDatabase, TimePoint aNow) const;
  std::size_t CountHeard(TimePoint aNow) const;
  bool IsMajority(std::size_t aCount) const { return aCount * 2 > mNodes.size(); }
  std::uint64_t MaxGranted() const;

  FailoverLimits mLimits;
  std::vector<Node> mNodes;
  std::size_t mRank = 0;
  std::size_t mPeers = 0;
  State mState = Healthy{};
  std::uint64_t mTerm = 0;
  std::optional<std::size_t> mPrimary;
  TimePoint mStartedAt;
  TimePoint mLastTick;
  // When the greatest grant was last seen to grow.
  TimePoint mGrantSeenAt;
  std::uint64_t mGrantSeen = 0;
  // When the replicas last moved, or held all that the primary had.
  TimePoint mProgressAt;
  std::uint64_t mReplicated = 0;
  std::uint64_t mRound = 0;
  // No claim before, and how many failed in a row.
  TimePoint mBackoffUntil;
  std::uint32_t mFailures = 0;
  std::uint32_t mStalls = 0;
};

} // namespace sesameway
