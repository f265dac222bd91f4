#pragma once

#include "peer/Peer.h"
#include "platform/Platform.h"
#include "proxy/DatabaseFleet.h"
#include "proxy/Settings.h"
#include "proxy/StoreSync.h"
#include "proxy/Transport.h"
#include "sesameway/DaemonPoll.h"
#include "sesameway/Membership.h"
#include "sesameway/Promotion.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sesameway::proxy {

inline constexpr const char* kCoordinatorObject = "sesameway/coordinator";
// Prefix of a group's record; the group's name follows.
inline constexpr const char* kGroupPrefix = "sesameway/group.";
// Prefix of a daemon's member record; the daemon's name follows.
inline constexpr const char* kMemberPrefix = "sesameway/member.";

// Takes part in the election of the coordinator. While this daemon is the coordinator,
// it carries out the promotion plans of all groups. Used on the event loop's thread
// only.
class CoordinatorRun : public std::enable_shared_from_this<CoordinatorRun>
{
public:
  struct Parts
  {
    Loop& mLoop;
    platform::Platform& mStore;
    StoreSync& mSync;
    DatabaseFleet& mFleet;
    PromotionClient& mPromotionClient;
    // Returns the member records of all daemons, including this one.
    std::function<std::vector<MemberRecord>()> mMembers;
    // Parses the row that a database returns for a status command; none if the row is
    // not valid.
    std::function<std::optional<DatabaseReport>(const std::string&)> mReadStatus;
  };

  CoordinatorRun(Parts aParts, const peer::Member& aSelf, std::uint32_t aRank);
  void SetPeers(peer::Peers* aPeers) { mPeers = aPeers; }
  // Called with the coordinator's record as the store holds it, or with none if the
  // store holds no such record.
  void OnRecord(const std::optional<StoredObject>& aObject);
  // Must be called every 50 to 100 ms.
  void Tick();
  void Leave() { mLease.Leave(); }
  bool IsCoordinator() const { return mIsCoordinator; }

private:
  void Write(const CoordinatorLease::Write& aWrite);
  void StepMembers(const std::vector<MemberRecord>& aMembers, TimePoint aNow);
  void LogWait(const std::string& aGroup,
               const GroupRecord& aRecord,
               PromotionWait aWait);
  void Execute(const MemberWatch::MarkMissing& aAction);
  void Execute(const MemberWatch::Remove& aAction);
  void StepGroup(const std::string& aGroup,
                 const std::vector<MemberRecord>& aMembers,
                 TimePoint aNow);
  void Execute(const std::string& aGroup, const PromotionPlan::Probe& aAction);
  void Execute(const std::string& aGroup, const PromotionPlan::QueryDaemons& aAction);
  void Execute(const std::string& aGroup, const PromotionPlan::WriteRecord& aAction);
  void Execute(const std::string& aGroup, const PromotionPlan::AskStandDown& aAction);
  void Execute(const std::string& aGroup, const PromotionPlan::OrderPromotion& aAction);
  void Execute(const std::string& aGroup, const PromotionPlan::OrderDemotion& aAction);
  void PollDaemons(const std::vector<MemberRecord>& aMembers, TimePoint aNow);
  void OnHints(const std::string& aDaemon,
               const std::optional<peer::PrimaryHints>& aHints);
  // Returns null if the group has no plan or this daemon is no longer the coordinator.
  PromotionPlan* FindPlan(const std::string& aGroup);

  Parts mParts;
  peer::Member mSelf;
  peer::Peers* mPeers = nullptr;
  CoordinatorLease mLease;
  bool mIsCoordinator = false;
  std::map<std::string, PromotionPlan> mPlans;
  // What each group's plan waited for when it was last stepped.
  std::map<std::string, PromotionWait> mLoggedWaits;
  MemberWatch mMemberWatch;
  DaemonPoll mDaemonPoll;
  // When each stand-down request that has not been answered yet was sent, by daemon and
  // group.
  std::map<std::pair<std::string, std::string>, TimePoint> mPendingStandDowns;
};

} // namespace sesameway::proxy
