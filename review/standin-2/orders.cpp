// ONE: the coordinator is stopped with SIGTERM while two services get a new primary and
// the platform answers its promotion call late.
#include "cases.h"

#include <algorithm>
#include <csignal>

namespace world {

namespace {

constexpr double kAnswerTime = 1.8;
constexpr double kGrace = 6;
constexpr int kRounds = 5;
constexpr double kRoundLimit = 14;
// The primaries leave this long after a renewal of the lease, which comes each 2 s and
// with which a lease is given back.
constexpr double kAfterRenewal = 1.4;

Daemon* Find(Fleet& aFleet, const std::string& aName)
{
  for (auto& it : aFleet.mDaemons) {
    if (it->mName == aName) {
      return it.get();
    }
  }
  return nullptr;
}

bool IsServing(Fleet& aFleet, const std::string& aService)
{
  auto object = aFleet.mStore->Get("sesameway", "group." + aService);
  return object && (*object)["spec"].get<std::string>().find("phase = 'serving'") !=
                     std::string::npos;
}

} // namespace

int PlayOrders(bool aIsTroubled)
{
  const std::vector<std::string> services{ "registro", "revision" };
  auto* fleet = StartFleet({ 5, services, false });
  if (fleet == nullptr) {
    return 2;
  }
  Sleep(4);
  fleet->mCloud->mAnswerTime = kAnswerTime;
  std::size_t seen = 0;
  for (int round = 0; round < kRounds; ++round) {
    auto name = fleet->mStore->Holder();
    auto* holder = Find(*fleet, name);
    if (holder == nullptr) {
      return 2;
    }
    Record::Line("round %d: coordinator %s", round, name.c_str());
    auto renewedAt = fleet->mStore->RenewedAt();
    while (fleet->mStore->RenewedAt() == renewedAt && Now() < renewedAt + 4) {
      Sleep(0.005);
    }
    SleepUntil(fleet->mStore->RenewedAt() + kAfterRenewal);
    // Planned: the primaries of both services leave.
    auto orders = fleet->mCloud->Orders().size();
    std::vector<std::string> leaving;
    for (const auto& it : services) {
      leaving.push_back(fleet->mDatabases->DrainPrimary(it));
    }
    auto until = Now() + kRoundLimit;
    while (fleet->mCloud->Orders().size() == orders && Now() < until) {
      Sleep(0.002);
    }
    double stoppedAt = Now();
    if (aIsTroubled) {
      Record::Line("SIGTERM: %s", name.c_str());
      holder->Signal(SIGTERM);
      holder->WaitOrKill(stoppedAt + kGrace);
      Sleep(0.5);
      holder->Start();
    }
    while (Now() < until &&
           !std::all_of(services.begin(), services.end(), [&](const auto& aIt) {
             return IsServing(*fleet, aIt) &&
                    fleet->mDatabases->Primary(aIt) != leaving[0] &&
                    fleet->mDatabases->Primary(aIt) != leaving[1];
           })) {
      Sleep(0.05);
    }
    SleepUntil(stoppedAt + 9);
    // The databases that left come back for the next round.
    fleet->mDatabases->Return();
    Sleep(1.5);
    auto all = fleet->mCloud->Orders();
    std::uint64_t highest = 0;
    for (const auto& it : all) {
      if (it.mFence < highest) {
        Record::Line("ONE broken: %s sent the epoch number %lu for %s at %.3f s, after "
                     "the platform "
                     "had seen %lu",
                     it.mHolder.c_str(),
                     static_cast<unsigned long>(it.mFence),
                     it.mService.c_str(),
                     it.mAt,
                     static_cast<unsigned long>(highest));
        StopFleet(*fleet);
        return 1;
      }
      highest = std::max(highest, it.mFence);
    }
    seen = all.size();
  }
  Record::Line("orders %zu, none with a lower epoch number than seen", seen);
  StopFleet(*fleet);
  return seen == 0 ? 2 : 0;
}

} // namespace world
