#include "sesameway/Shares.h"

#include <cppunit/extensions/HelperMacros.h>
#include <rapidcheck.h>

#include <functional>
#include <iostream>
#include <memory>
#include <random>

using namespace sesameway;

namespace {

constexpr TimePoint kStart{ seconds(1000) };
constexpr double kRate = 200;
constexpr double kBurst = 64;

Organisation Studio()
{
  return { "studio", kRate, kBurst, 1 };
}

// Tracks the greatest value of (admitted - rate x time) over all time windows. It must
// not exceed the burst.
class WindowCheck
{
public:
  void Admit(TimePoint aNow)
  {
    double passed = std::chrono::duration<double>(aNow - mAt).count();
    mExcess = std::max(0.0, mExcess - passed * kRate) + 1;
    mAt = aNow;
    mWorst = std::max(mWorst, mExcess);
    ++mAdmitted;
  }
  double Worst() const { return mWorst; }
  std::uint64_t Admitted() const { return mAdmitted; }

private:
  TimePoint mAt = kStart;
  double mExcess = 0;
  double mWorst = 0;
  std::uint64_t mAdmitted = 0;
};

// Simulates daemons, a store and the messages between them from one seed. Daemons
// pause, restart as new incarnations and lose contact with the store. Answers of the
// store are lost or late, also after the write was applied. Messages are lost, delayed
// and sent twice.
class Fleet
{
public:
  Fleet(std::uint64_t aSeed, int aDaemons)
    : mRandom(aSeed)
  {
    for (int n = 0; n < aDaemons; ++n) {
      mDaemons.push_back(std::make_unique<Daemon>());
      Start(n);
    }
  }

  void Run(Duration aTime, Duration aStep)
  {
    UpdateList();
    for (auto end = mNow + aTime; mNow < end; mNow += aStep) {
      Deliver();
      for (std::size_t n = 0; n < mDaemons.size(); ++n) {
        if (mDaemons[n]->mPausedUntil <= mNow) {
          Step(n);
        }
      }
      CheckHolders();
      if (mHasFaults) {
        Disturb();
        UpdateList();
      }
    }
  }

  // Sets the number of statements that the daemon receives in each step.
  void Load(std::size_t aDaemon, int aPerStep) { mDaemons[aDaemon]->mLoad = aPerStep; }
  void SetFaults(bool aOn) { mHasFaults = aOn; }
  void DuplicateMessages() { mIsEachMessageDuplicated = true; }
  void KnowPeers() { mDoKnowPeers = true; }
  void SetControlInterval(Duration aTime) { mControlInterval = aTime; }
  void RestartAll()
  {
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      Start(n);
    }
  }
  void Cut(std::size_t aDaemon, bool aIsCut) { mDaemons[aDaemon]->mIsCut = aIsCut; }
  void Unlist(std::size_t aDaemon) { mDaemons[aDaemon]->mIsListed = false; }
  void ListAll()
  {
    for (auto& it : mDaemons) {
      it->mIsListed = true;
    }
  }
  void Pause(std::size_t aDaemon, Duration aTime)
  {
    mDaemons[aDaemon]->mPausedUntil = mNow + aTime;
  }
  const WindowCheck& Windows() const { return mWindows; }
  std::uint64_t AdmittedAt(std::size_t aDaemon) const
  {
    return mDaemons[aDaemon]->mAdmitted;
  }
  Share FloorOf(std::size_t aDaemon) const
  {
    return ShareOf(Studio(), mDaemons[aDaemon]->mAllocator->Held()).mFloor;
  }
  std::uint64_t Writes() const { return mVersion; }
  std::uint64_t Reads() const { return mReads; }
  std::uint64_t Puts() const { return mPuts; }
  std::size_t TableBytes() const { return mBody.size(); }
  std::size_t LeastSlots() const
  {
    std::size_t least = kSlots;
    for (const auto& it : mDaemons) {
      least = std::min(least, it->mAllocator->Held().mSlots.size());
    }
    return least;
  }
  // The greatest number of daemons that could use the same slot at the same time.
  int MostHolders() const { return mMostHolders; }

private:
  struct Daemon
  {
    std::unique_ptr<SlotAllocator> mAllocator;
    std::unique_ptr<Limiter> mLimiter;
    std::uint64_t mIncarnation = 0;
    std::uint64_t mTicket = 0;
    std::uint64_t mAdmitted = 0;
    int mLoad = 0;
    bool mIsCut = false;
    bool mIsListed = true;
    bool mIsCalling = false;
    HeldSlots mHeld;
    TimePoint mNextControl{};
    TimePoint mNextTick{};
    TimePoint mPausedUntil{};
  };
  struct Message
  {
    TimePoint mDue;
    // The daemon that receives the message; -1 is the store.
    int mTo = -1;
    std::function<void()> mRun;
  };

  static std::string NameOf(std::size_t aDaemon)
  {
    return "vm" + std::to_string(aDaemon);
  }
  void UpdateList()
  {
    mListed.clear();
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      if (mDaemons[n]->mIsListed) {
        mListed.insert(NameOf(n));
      }
    }
  }
  std::vector<SlotHolder> Listed() const
  {
    std::vector<SlotHolder> listed;
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      if (mDaemons[n]->mIsListed) {
        listed.push_back({ NameOf(n), ZoneOf(n), mDaemons[n]->mIncarnation, 0, {} });
      }
    }
    return listed;
  }
  static std::string ZoneOf(std::size_t aDaemon)
  {
    return "zone-" + std::to_string(aDaemon % 2);
  }
  bool Chance(int aOneIn) { return mHasFaults && mRandom() % aOneIn == 0; }

  void Start(std::size_t aDaemon)
  {
    auto& daemon = *mDaemons[aDaemon];
    ++daemon.mIncarnation;
    daemon.mAllocator = std::make_unique<SlotAllocator>(
      NameOf(aDaemon), ZoneOf(aDaemon), daemon.mIncarnation);
    daemon.mLimiter = std::make_unique<Limiter>(mNow);
    daemon.mHeld = {};
    daemon.mIsCalling = false;
    std::vector<std::string> peers;
    for (std::size_t n = 0; n < mDaemons.size(); ++n) {
      if (n != aDaemon) {
        peers.push_back(std::to_string(n));
      }
    }
    daemon.mLimiter->SetLenders(peers);
  }

  void Send(int aTo, std::function<void()> aRun)
  {
    if (Chance(8)) {
      return;
    }
    auto most = Chance(6) ? 150 : Chance(12) ? 2500 : 3;
    auto delay = milliseconds(1 + mRandom() % most);
    mMessages.push_back({ mNow + delay, aTo, aRun });
    if (mIsEachMessageDuplicated || Chance(8)) {
      mMessages.push_back({ mNow + delay * 2, aTo, std::move(aRun) });
    }
  }

  void Deliver()
  {
    std::vector<Message> due;
    std::erase_if(mMessages, [&](Message& aMessage) {
      bool isAwake = aMessage.mTo < 0 || mDaemons[aMessage.mTo]->mPausedUntil <= mNow;
      bool isDue = aMessage.mDue <= mNow && isAwake;
      if (isDue) {
        due.push_back(std::move(aMessage));
      }
      return isDue;
    });
    for (auto& it : due) {
      it.mRun();
    }
  }

  void Step(std::size_t aDaemon)
  {
    auto& daemon = *mDaemons[aDaemon];
    if (daemon.mNextControl <= mNow) {
      daemon.mNextControl = mNow + mControlInterval;
      if (!daemon.mIsCut) {
        daemon.mAllocator->OnListed(mListed, mNow);
      }
      if (mDoKnowPeers) {
        daemon.mAllocator->SetRunningDaemons(Listed());
      }
      CallStore(aDaemon);
    }
    // The limiter's share is updated at once when the held slots change, as in the
    // daemon.
    auto held = daemon.mAllocator->Held();
    bool hasChanged =
      held.mSlots != daemon.mHeld.mSlots || held.mLeaseEnd != daemon.mHeld.mLeaseEnd;
    if (hasChanged) {
      daemon.mHeld = std::move(held);
      daemon.mLimiter->SetShare(ShareOf(Studio(), daemon.mHeld), mNow);
    }
    for (int n = 0; n < daemon.mLoad; ++n) {
      Apply(aDaemon, daemon.mLimiter->Admit(daemon.mTicket++, mNow + seconds(1), mNow));
    }
    if (daemon.mNextTick <= mNow) {
      Apply(aDaemon, daemon.mLimiter->OnTick(mNow));
    }
  }

  void Apply(std::size_t aDaemon, const LimiterStep& aStep)
  {
    auto& daemon = *mDaemons[aDaemon];
    daemon.mNextTick = aStep.mNextTick;
    for (const auto& it : aStep.mDecisions) {
      if (it.mAdmitted) {
        mWindows.Admit(mNow);
        ++daemon.mAdmitted;
      }
    }
    for (const auto& it : aStep.mTokenRequests) {
      auto lender = std::stoul(it.mLender);
      auto incarnation = daemon.mIncarnation;
      Send(static_cast<int>(lender), [this, aDaemon, lender, incarnation, it] {
        auto given = mDaemons[lender]->mLimiter->Lend(it.mWanted, mNow);
        Send(static_cast<int>(aDaemon), [this, aDaemon, incarnation, it, given] {
          if (mDaemons[aDaemon]->mIncarnation == incarnation) {
            Apply(aDaemon, mDaemons[aDaemon]->mLimiter->OnLoan(it.mId, given, mNow));
          }
        });
      });
    }
  }

  void CallStore(std::size_t aDaemon)
  {
    auto& daemon = *mDaemons[aDaemon];
    if (daemon.mIsCalling) {
      return;
    }
    auto step = daemon.mAllocator->Next(mNow);
    if (std::holds_alternative<PauseUntil>(step)) {
      return;
    }
    daemon.mIsCalling = true;
    auto sentAt = mNow;
    auto incarnation = daemon.mIncarnation;
    auto isOver = std::make_shared<bool>(false);
    auto answer = [=,
                   this](bool aIsAnswered, std::string aBody, std::uint64_t aVersion) {
      auto& to = *mDaemons[aDaemon];
      if (*isOver || to.mIncarnation != incarnation) {
        return;
      }
      *isOver = true;
      to.mIsCalling = false;
      if (aIsAnswered) {
        to.mAllocator->OnTable(*ParseSlotTable(aBody), aVersion, sentAt, mNow);
      } else {
        to.mAllocator->OnNoAnswer(mNow);
      }
    };
    auto to = static_cast<int>(aDaemon);
    mMessages.push_back({ mNow + seconds(1), to, [=] { answer(false, {}, 0); } });
    if (daemon.mIsCut) {
      return;
    }
    Send(-1, [=, this] {
      if (const auto* write = std::get_if<WriteTable>(&step)) {
        ++mPuts;
        bool isApplied = write->mExpectedVersion == mVersion;
        mBody = isApplied ? write->mBody : mBody;
        mVersion += isApplied ? 1 : 0;
      } else {
        ++mReads;
      }
      Send(to, [=, body = mBody, version = mVersion] { answer(true, body, version); });
    });
  }

  // Counts the holders of each slot. A paused daemon admits nothing, so its slots do
  // not count until it resumes.
  void CheckHolders()
  {
    std::vector<int> holders(kSlots);
    for (const auto& it : mDaemons) {
      if (it->mPausedUntil > mNow) {
        continue;
      }
      auto held = it->mAllocator->Held();
      for (auto slot : held.mSlots) {
        bool isInForce = slot < kFloorSlots || mNow < held.mLeaseEnd;
        holders[slot] += isInForce ? 1 : 0;
        mMostHolders = std::max(mMostHolders, holders[slot]);
      }
    }
  }

  void Disturb()
  {
    auto daemon = mRandom() % mDaemons.size();
    switch (mRandom() % 600) {
      case 0:
        Start(daemon);
        break;
      case 1:
        Pause(daemon, milliseconds(mRandom() % 90'000));
        break;
      case 2:
      case 3:
        mDaemons[daemon]->mIsCut = !mDaemons[daemon]->mIsCut;
        break;
      case 4:
      case 5:
        mDaemons[daemon]->mIsListed = !mDaemons[daemon]->mIsListed;
        break;
      case 6:
        // All daemons become idle, or all get statements at once.
        for (auto& it : mDaemons) {
          it->mLoad = mDaemons[daemon]->mLoad > 0 ? 0 : 8;
        }
        break;
      case 7:
      case 8:
        // One daemon gets all statements.
        for (auto& it : mDaemons) {
          it->mLoad = it == mDaemons[daemon] ? 16 : 0;
        }
        break;
      default:
        break;
    }
  }

  std::mt19937_64 mRandom;
  TimePoint mNow = kStart;
  std::vector<std::unique_ptr<Daemon>> mDaemons;
  std::vector<Message> mMessages;
  std::set<std::string> mListed;
  std::string mBody;
  std::uint64_t mVersion = 0;
  std::uint64_t mReads = 0;
  std::uint64_t mPuts = 0;
  bool mHasFaults = false;
  bool mIsEachMessageDuplicated = false;
  bool mDoKnowPeers = false;
  Duration mControlInterval = milliseconds(100);
  int mMostHolders = 0;
  WindowCheck mWindows;
};

} // namespace

class SharesPropertyTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SharesPropertyTest);
  CPPUNIT_TEST(AdmittedStaysWithinRateAndBurstInEveryWindow);
  CPPUNIT_TEST(DuplicatedMessagesCountOnce);
  CPPUNIT_TEST(CutOffHolderKeepsItsFloorRate);
  CPPUNIT_TEST(SkewedLoadInsideTheRateIsAdmitted);
  CPPUNIT_TEST(SettledFleetOnlyReads);
  CPPUNIT_TEST(LargeFleetSettlesWithinTheStoresRates);
  CPPUNIT_TEST(AdmittedStaysWithinTheRateWherePeersWriteForEachOther);
  CPPUNIT_TEST(FleetThatStartsAtOnceNeedsFewCalls);
  CPPUNIT_TEST(FleetSharesSoonAfterOneDaemonHeldAllSlots);
  CPPUNIT_TEST_SUITE_END();

  // Runs four daemons under constant load with faults and checks that they stay within
  // the rate and that each slot has one holder.
  static bool StaysWithinTheRate(bool aDoKnowPeers)
  {
    return rc::check("admitted <= rate x time + burst", [=](std::uint64_t aSeed) {
      Fleet fleet(aSeed, 4);
      if (aDoKnowPeers) {
        fleet.KnowPeers();
      }
      for (std::size_t n = 0; n < 4; ++n) {
        fleet.Load(n, 8);
      }
      fleet.Run(seconds(10), milliseconds(20));
      fleet.SetFaults(true);
      fleet.Run(seconds(160), milliseconds(40));
      RC_ASSERT(fleet.Windows().Admitted() > 0);
      RC_ASSERT(fleet.Windows().Worst() <= kBurst + 0.001);
      RC_ASSERT(fleet.MostHolders() == 1);
    });
  }

  void AdmittedStaysWithinRateAndBurstInEveryWindow()
  {
    CPPUNIT_ASSERT(StaysWithinTheRate(false));
  }

  void DuplicatedMessagesCountOnce()
  {
    Fleet fleet(1, 4);
    fleet.Run(seconds(20), milliseconds(20));
    fleet.DuplicateMessages();
    fleet.Load(0, 4);
    fleet.Run(seconds(20), milliseconds(4));
    CPPUNIT_ASSERT(fleet.Windows().Admitted() > 0);
    CPPUNIT_ASSERT(fleet.Windows().Worst() <= kBurst + 0.001);
  }

  void CutOffHolderKeepsItsFloorRate()
  {
    Fleet fleet(1, 4);
    for (std::size_t n = 0; n < 4; ++n) {
      fleet.Load(n, 20);
    }
    fleet.Run(seconds(20), milliseconds(20));
    fleet.Cut(0, true);
    fleet.Unlist(0);
    fleet.Run(seconds(120), milliseconds(20));
    auto before = fleet.AdmittedAt(0);
    auto allBefore = fleet.Windows().Admitted();
    fleet.Run(seconds(100), milliseconds(20));
    auto cutOff = fleet.AdmittedAt(0) - before;
    auto all = fleet.Windows().Admitted() - allBefore;
    auto floorRate = static_cast<double>(fleet.FloorOf(0).mRate) / kOneToken;
    CPPUNIT_ASSERT(floorRate >= 0.1 * kRate);
    CPPUNIT_ASSERT(static_cast<double>(cutOff) >= 0.97 * floorRate * 100);
    // Other daemons use the leased slots of the daemon that is cut off.
    CPPUNIT_ASSERT(all >= 0.97 * kRate * 100);
    CPPUNIT_ASSERT(fleet.Windows().Worst() <= kBurst + 0.001);
  }

  void SkewedLoadInsideTheRateIsAdmitted()
  {
    Fleet fleet(1, 4);
    fleet.Run(seconds(20), milliseconds(1));
    // 3 statements every 20 ms are 150 per second, all at one daemon.
    std::uint64_t sent = 0;
    for (int n = 0; n < 500; ++n) {
      fleet.Load(2, 3);
      fleet.Run(milliseconds(1), milliseconds(1));
      fleet.Load(2, 0);
      fleet.Run(milliseconds(19), milliseconds(1));
      sent += 3;
    }
    CPPUNIT_ASSERT_EQUAL(sent, fleet.AdmittedAt(2));
  }

  void SettledFleetOnlyReads()
  {
    Fleet fleet(1, 4);
    fleet.Run(seconds(30), milliseconds(20));
    auto writes = fleet.Writes();
    auto reads = fleet.Reads();
    fleet.Run(seconds(600), milliseconds(20));
    CPPUNIT_ASSERT_EQUAL(writes, fleet.Writes());
    CPPUNIT_ASSERT(fleet.Reads() - reads <= 4 * 600 / 2);
  }

  // Guards against overload of the store when all daemons of a large fleet start at
  // once.
  void LargeFleetSettlesWithinTheStoresRates()
  {
    constexpr int kDaemons = 60;
    constexpr std::uint64_t kMostPutsPerSecond = 400;
    constexpr std::uint64_t kMostReadsPerSecond = 2000;
    Fleet fleet(1, kDaemons);
    std::uint64_t mostPuts = 0;
    std::uint64_t mostReads = 0;
    for (int second = 0; second < 100; ++second) {
      auto puts = fleet.Puts();
      auto reads = fleet.Reads();
      fleet.Run(seconds(1), milliseconds(20));
      mostPuts = std::max(mostPuts, fleet.Puts() - puts);
      mostReads = std::max(mostReads, fleet.Reads() - reads);
    }
    auto puts = fleet.Puts();
    auto reads = fleet.Reads();
    fleet.Run(seconds(30), milliseconds(20));
    std::cerr << "\nfigure test=large_fleet most_puts=" << mostPuts
              << " most_reads=" << mostReads << " puts=" << puts << " reads=" << reads
              << " settled_puts=" << fleet.Puts() - puts
              << " settled_reads=" << fleet.Reads() - reads
              << " bytes=" << fleet.TableBytes() << " least=" << fleet.LeastSlots()
              << std::endl;
    CPPUNIT_ASSERT(mostPuts <= kMostPutsPerSecond);
    CPPUNIT_ASSERT(mostReads <= kMostReadsPerSecond);
    CPPUNIT_ASSERT_EQUAL(puts, fleet.Puts());
    CPPUNIT_ASSERT(fleet.Reads() - reads <= 30 * 45);
    CPPUNIT_ASSERT(fleet.LeastSlots() >= 1);
    CPPUNIT_ASSERT_EQUAL(1, fleet.MostHolders());
  }

  void AdmittedStaysWithinTheRateWherePeersWriteForEachOther()
  {
    CPPUNIT_ASSERT(StaysWithinTheRate(true));
  }

  // Guards against overload of the store when 60 daemons start at once, and later
  // restart at once. At the first start the daemons may make one write and three reads
  // each on average, and at the restart two writes and three reads each. When each
  // daemon wrote only its own entry of the slot table and none for its peers, a start
  // took 25 writes per daemon.
  void FleetThatStartsAtOnceNeedsFewCalls()
  {
    constexpr std::uint64_t kDaemons = 60;
    Fleet fleet(1, kDaemons);
    fleet.KnowPeers();
    // A daemon makes its next call soon after the answer to the previous one.
    fleet.SetControlInterval(milliseconds(10));
    fleet.Run(seconds(10), milliseconds(10));
    CPPUNIT_ASSERT(fleet.LeastSlots() >= 1);
    CPPUNIT_ASSERT(fleet.Puts() <= kDaemons);
    CPPUNIT_ASSERT(fleet.Reads() <= 3 * kDaemons);
    auto puts = fleet.Puts();
    auto reads = fleet.Reads();
    fleet.RestartAll();
    fleet.Run(seconds(15), milliseconds(10));
    std::cerr << "\nfigure test=fleet_at_once puts=" << puts << " reads=" << reads
              << " puts_again=" << fleet.Puts() - puts
              << " reads_again=" << fleet.Reads() - reads << std::endl;
    CPPUNIT_ASSERT(fleet.LeastSlots() >= 1);
    CPPUNIT_ASSERT(fleet.Puts() - puts <= 2 * kDaemons);
    CPPUNIT_ASSERT(fleet.Reads() - reads <= 3 * kDaemons);
    CPPUNIT_ASSERT_EQUAL(1, fleet.MostHolders());
  }

  // Guards against refused statements after the start of a fleet whose first daemon was
  // alone and took all slots: callers arrive 10 s after the fleet has started, and
  // every daemon needs slots by then.
  void FleetSharesSoonAfterOneDaemonHeldAllSlots()
  {
    constexpr std::size_t kDaemons = 60;
    Fleet fleet(1, kDaemons);
    fleet.KnowPeers();
    fleet.SetControlInterval(milliseconds(10));
    for (std::size_t n = 1; n < kDaemons; ++n) {
      fleet.Unlist(n);
      fleet.Pause(n, seconds(3));
    }
    fleet.Run(seconds(3), milliseconds(10));
    fleet.ListAll();
    fleet.Run(seconds(9), milliseconds(10));
    CPPUNIT_ASSERT(fleet.LeastSlots() >= kSlots / kDaemons / 2);
    CPPUNIT_ASSERT_EQUAL(1, fleet.MostHolders());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SharesPropertyTest);
