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

// Time limits of one home's failover steps. A home is a daemon that holds connections
// to the group's databases; its rank is its place among them.
struct FailoverLimits
{
  // A primary that has not answered for this long is suspected; shorter pauses are
  // tolerated.
  Duration mSilence = milliseconds(600);
  // Another home confirms a suspicion if the primary has not answered it for this long.
  Duration mAgreeSilence = milliseconds(300);
  // Silence of the primary after which a home that reaches no other home acts alone.
  Duration mSilenceAlone = milliseconds(1200);
  // Additional wait per rank, so that the reachable home of the lowest rank acts first.
  Duration mRankDelay = milliseconds(250);
  Duration mPeerTimeout = milliseconds(100);
  Duration mStepTimeout = milliseconds(300);
  // How long another home has to finish a claim that was seen.
  Duration mUnfinished = milliseconds(500);
  // The primary counts as stalled if no replica has advanced for this long although the
  // primary has entries that are not safe.
  Duration mStalled = seconds(2);
  // How long replicas have to catch up with a leaving primary, which gets no more
  // writes.
  Duration mCatchUp = milliseconds(60);
  Duration mFollowInterval = milliseconds(100);
};

enum class SuspectCause : std::uint8_t
{
  // The primary does not answer, or accepts no connections.
  Silent,
  // No database reports that it is the primary.
  NoPrimary,
  // A later term was granted but has no primary.
  Unfinished,
  // The primary writes entries that no replica receives.
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

// Asks every other home for its opinion of the primary; answers carry the round number.
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
// Reports a failover step for the log.
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

// Another home's answer to AskPeers.
struct PeerOpinion
{
  std::uint64_t mTerm = 0;
  std::optional<std::size_t> mPrimary;
  Duration mSilence{};
};

// Chooses the database to promote from a fenced majority; `aFencedHeads` has nullopt
// for a database that is not fenced. The greatest log is the one whose last position is
// the greatest. Returns the database with the greatest log among those that are not
// avoided, if that log is certain to hold every acknowledged write. Otherwise returns
// the database with the greatest log of all if `aMayTakeAvoided`, or nullopt while more
// databases must be fenced. Always returns nullopt if no majority is fenced.
std::optional<std::size_t> ChooseForPromotion(
  const std::vector<std::optional<LogPosition>>& aFencedHeads,
  const std::vector<bool>& aAvoided,
  bool aMayTakeAvoided);

// Updates a home's view of a database from a status report. `aSentAt` is when the
// request that it answers was sent.
void ApplyReport(DatabaseView* aView, const DatabaseStatus& aStatus, TimePoint aSentAt);

// The failover state machine of one home for one group. It detects that the primary has
// failed, claims a term, fences a majority of the databases, promotes one of them and
// makes the others follow it. If a home stops midway, any other home can continue by
// claiming a later term.
class FailoverMachine
{
public:
  FailoverMachine(std::vector<std::string> aAddresses,
                  FailoverLimits aLimits,
                  TimePoint aNow);
  // `aRank` is this home's place among the group's homes, 0 acts first; `aPeers` is the
  // number of the other homes.
  void SetHomes(std::size_t aRank, std::size_t aPeers);

  // `aStatus` is nullopt if the database did not answer.
  FailoverActions OnStatus(std::size_t aDatabase,
                           const std::optional<DatabaseStatus>& aStatus,
                           TimePoint aNow);
  // `aFailingSince` is when connections for statements to the database began to fail;
  // nullopt if they can be opened.
  void OnConnections(std::size_t aDatabase, std::optional<TimePoint> aFailingSince);
  FailoverActions OnFence(std::size_t aDatabase,
                          std::uint64_t aTerm,
                          const std::optional<FenceResult>& aResult,
                          TimePoint aNow);
  FailoverActions OnPromote(std::size_t aDatabase,
                            std::uint64_t aTerm,
                            const std::optional<DatabaseStatus>& aStatus,
                            TimePoint aNow);
  // `aOpinion` is nullopt if the other home did not answer.
  FailoverActions OnPeer(std::uint64_t aRound,
                         const std::optional<PeerOpinion>& aOpinion,
                         TimePoint aNow);
  FailoverActions OnAnnounce(std::uint64_t aTerm, std::size_t aPrimary, TimePoint aNow);
  FailoverActions Tick(TimePoint aNow);

  // The newest term that is known to have a primary, 0 if none.
  std::uint64_t Term() const { return mTerm; }
  std::optional<std::size_t> Primary() const { return mPrimary; }
  // The primary that may serve statements. Returns nullopt while the primary is
  // leaving, a majority has granted a later term, or no majority is reachable that
  // could make a write safe or confirm a read.
  std::optional<std::size_t> ServingPrimary(TimePoint aNow) const;
  // Whether fewer than a majority of the databases are reachable, so that no primary
  // can serve or be promoted.
  bool LacksMajority(TimePoint aNow) const;
  // Time since the database last reported, or since it began to refuse connections if
  // that is longer.
  Duration SilenceOf(std::size_t aDatabase, TimePoint aNow) const;

private:
  struct Node
  {
    std::string mAddress;
    DatabaseStatus mStatus;
    bool mKnown = false;
    TimePoint mHeardAt;
    std::optional<TimePoint> mFailingSince;
    // When the database is ordered to follow the primary, if it still does not follow
    // it by then.
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
  // When the greatest granted term was last seen to increase.
  TimePoint mGrantSeenAt;
  std::uint64_t mGrantSeen = 0;
  // When the replicas last advanced, or a majority held the primary's whole log.
  TimePoint mProgressAt;
  std::uint64_t mReplicated = 0;
  std::uint64_t mRound = 0;
  // No claim is started before mBackoffUntil; mFailures counts the claims that failed
  // in a row.
  TimePoint mBackoffUntil;
  std::uint32_t mFailures = 0;
  std::uint32_t mStalls = 0;
};

} // namespace sesameway
