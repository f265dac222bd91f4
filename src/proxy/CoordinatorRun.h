#pragma once

#include "peer/Peer.h"
#include "platform/Platform.h"
#include "proxy/DatabaseFleet.h"
#include "proxy/Settings.h"
#include "proxy/StoreSync.h"
#include "proxy/Transport.h"
#include "sesameway/Membership.h"
#include "sesameway/Promotion.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace sesameway::proxy {

inline constexpr const char* kCoordinatorObject = "sesameway/coordinator";
// Followed by the group's name.
inline constexpr const char* kGroupPrefix = "sesameway/group.";
// Followed by the daemon's name.
inline constexpr const char* kMemberPrefix = "sesameway/member.";

// Takes part in choosing the coordinator, and carries out the plans of all groups while
// this daemon is the one. On the loop's thread.
class CoordinatorRun : public std::enable_shared_from_this<CoordinatorRun>
{
public:
  struct Parts
  {
    Loop& mLoop;
    platform::Platform& mStore;
    StoreSync& mSync;
    DatabaseFleet& mFleet;
    PromotionClient& mOrders;
    // The records of all daemons, this one included.
    std::function<std::vector<MemberRecord>()> mMembers;
    // Reads a status row.
    std::function<std::optional<DatabaseReport>(const std::string&)> mReadStatus;
  };

  CoordinatorRun(Parts aParts, const peer::Member& aSelf, std::uint32_t aRank);
  void SetPeers(peer::Peers* aPeers) { mPeers = aPeers; }
  // The coordinator's record as the store has it; none: there is none.
  void OnRecord(const std::optional<StoredObject>& aObject);
  // Every 50 to 100 ms.
  void Tick();
  void Leave() { mLease.Leave(); }
  bool IsCoordinator() const { return mIsCoordinator; }

private:
  void Write(const CoordinatorLease::Write& aWrite);
  void StepMembers(const std::vector<MemberRecord>& aMembers, TimePoint aNow);
  void Do(const MemberWatch::MarkMissing& aAction);
  void Do(const MemberWatch::Remove& aAction);
  void StepGroup(const std::string& aGroup,
                 const std::vector<MemberRecord>& aMembers,
                 TimePoint aNow);
  void Do(const std::string& aGroup, const PromotionPlan::Probe& aAction);
  void Do(const std::string& aGroup, const PromotionPlan::QueryDaemons& aAction);
  void Do(const std::string& aGroup, const PromotionPlan::WriteRecord& aAction);
  void Do(const std::string& aGroup, const PromotionPlan::AskStandDown& aAction);
  void Do(const std::string& aGroup, const PromotionPlan::OrderPromotion& aAction);
  void Do(const std::string& aGroup, const PromotionPlan::OrderDemotion& aAction);
  // None once this daemon is no longer the coordinator.
  PromotionPlan* PlanOf(const std::string& aGroup);

  Parts mParts;
  peer::Member mSelf;
  peer::Peers* mPeers = nullptr;
  CoordinatorLease mLease;
  bool mIsCoordinator = false;
  std::map<std::string, PromotionPlan> mPlans;
  MemberWatch mMemberWatch;
  // Stand-downs that were asked for and not answered, by daemon and group.
  std::map<std::pair<std::string, std::string>, TimePoint> mAsked;
};

} // namespace sesameway::proxy
