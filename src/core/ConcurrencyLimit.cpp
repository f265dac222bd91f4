#include "sesameway/ConcurrencyLimit.h"

#include <algorithm>

namespace sesameway {

namespace {

constexpr std::size_t kClasses = 64;
// Times of a class from which its first median is taken. The median of 24 times that
// spread like those of a database (lognormal, sigma 0.7) is within a fifth of the true
// one in two of three cases.
constexpr std::size_t kFirstTimes = 24;
// Fastest change of a usual time, per second. A server five times slower for 6 s
// changes it by an eighth; work that has become five times dearer for good counts as
// slow for about a minute.
constexpr double kDriftPerSecond = 0.02;
// Largest change of a usual time by one answer, for classes that are rarely used.
constexpr double kLargestDrift = 1.0 / 32;
// Weight of the newest time between two answers in its moving average.
constexpr double kGapWeight = 1.0 / 32;
constexpr Duration kShortestTime = microseconds(1);
// An answer is slow if it took this many times the usual time. One in eight is by
// chance (one in 30 takes seven times as long), and five in six are if the server is
// five times slower.
constexpr double kSlowFactor = 2.5;
// The score from which a server may be slow. A lower one is left by chance while the
// server is still slow, and is reached by chance if one class of three is.
constexpr int kSlowScore = 8;
// The answers of a class in an episode are halved at this number, so that the latest
// count most.
constexpr int kJudgedAnswers = 32;
// Answers of other classes from which it is judged whether they are slow too. With
// fewer of them, the class that is slow is judged alone if they are less than an eighth
// of at least 16 answers.
constexpr int kOtherAnswers = 8;
constexpr int kAnswersOfOneClass = kJudgedAnswers / 2;
constexpr int kOneClassShare = 8;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::size_t aMaximum)
  : mMaximum(std::max<std::size_t>(1, aMaximum))
{
}

void ConcurrencyLimit::SetMaximum(std::size_t aMaximum)
{
  mMaximum = std::max<std::size_t>(1, aMaximum);
  mLimit = std::min(mLimit, mMaximum);
}

void ConcurrencyLimit::Restart(TimePoint aNow)
{
  LowerTo(1, aNow);
  mSlowScore = 0;
  mIsSlow = false;
}

void ConcurrencyLimit::OnResult(std::string_view aCostClass,
                                Duration aTook,
                                Outcome aOutcome,
                                std::size_t aRunning,
                                TimePoint aNow)
{
  if (aNow - aTook < mLoweredAt) {
    return;
  }
  if (aOutcome != Outcome::Good) {
    LowerTo(mLimit / 2, aNow);
    return;
  }
  bool isSlow = ObserveTime(Use(aCostClass, aNow), aTook, aNow);
  if (isSlow && mIsSlow && mLimit > SlowLimit()) {
    LowerTo(std::max(SlowLimit(), mLimit * 3 / 4), aNow);
    return;
  }
  CountGood(aRunning);
}

Duration ConcurrencyLimit::UsualTime(std::string_view aCostClass) const
{
  auto it = mClasses.find(aCostClass);
  if (it == mClasses.end()) {
    return Duration{};
  }
  return std::chrono::duration_cast<Duration>(it->second.mUsual);
}

ConcurrencyLimit::CostClass& ConcurrencyLimit::Use(std::string_view aName,
                                                   TimePoint aNow)
{
  auto it = mClasses.find(aName);
  if (it == mClasses.end()) {
    if (mClasses.size() == kClasses) {
      mClasses.erase(std::min_element(
        mClasses.begin(), mClasses.end(), [](const auto& aLeft, const auto& aRight) {
          return aLeft.second.mLastUse < aRight.second.mLastUse;
        }));
    }
    it = mClasses.emplace(aName, CostClass{}).first;
    it->second.mLastAt = aNow;
  }
  it->second.mLastUse = ++mUses;
  return it->second;
}

// Returns whether the answer was slow for its class.
bool ConcurrencyLimit::ObserveTime(CostClass& aClass, Duration aTook, TimePoint aNow)
{
  aTook = std::max(aTook, kShortestTime);
  Seconds gap = aNow - aClass.mLastAt;
  aClass.mGap += (gap - aClass.mGap) * kGapWeight;
  aClass.mLastAt = aNow;
  if (aClass.mUsual == Seconds{}) {
    LearnTime(aClass, aTook);
    return false;
  }
  bool isSlow = Seconds(aTook) > aClass.mUsual * kSlowFactor;
  CountTime(aClass, isSlow);
  // Steps of equal size up and down lead to the median, which a long tail does not
  // move. Their size follows the average gap, not the last one, which is longer before
  // a slow answer.
  auto factor = 1 + std::min(kLargestDrift, kDriftPerSecond * aClass.mGap.count());
  if (aTook > aClass.mUsual) {
    aClass.mUsual *= factor;
  } else {
    aClass.mUsual /= factor;
  }
  return isSlow;
}

void ConcurrencyLimit::LearnTime(CostClass& aClass, Duration aTook)
{
  auto& times = aClass.mFirstTimes;
  times.push_back(aTook);
  if (times.size() < kFirstTimes) {
    return;
  }
  auto middle = times.begin() + kFirstTimes / 2;
  std::nth_element(times.begin(), middle, times.end());
  aClass.mUsual = *middle;
  times = {};
}

// A sequential test: under usual times the score falls much more often than it rises,
// so single slow answers leave no trace, while a run of them is noticed at once.
void ConcurrencyLimit::CountTime(CostClass& aClass, bool aIsSlow)
{
  if (mSlowScore == 0) {
    ++mEpisode;
  }
  if (aClass.mEpisode != mEpisode) {
    aClass.mEpisode = mEpisode;
    aClass.mAnswers = 0;
    aClass.mSlowAnswers = 0;
  }
  aClass.mSlowAnswers += aIsSlow ? 1 : 0;
  if (++aClass.mAnswers == kJudgedAnswers) {
    aClass.mAnswers /= 2;
    aClass.mSlowAnswers /= 2;
  }
  mSlowScore = std::clamp(mSlowScore + (aIsSlow ? 1 : -1), 0, kSlowScore);
  bool isLikely = mIsSlow ? mSlowScore > 0 : mSlowScore == kSlowScore;
  mIsSlow = isLikely && AreOtherClassesSlow();
}

// If a single class has become dearer, for example because of a lock, the server is not
// slow. So the class with the most slow answers is left out, unless it is nearly all
// that the server runs.
bool ConcurrencyLimit::AreOtherClassesSlow() const
{
  const CostClass* worst = nullptr;
  int answers = 0;
  int slow = 0;
  for (const auto& [name, it] : mClasses) {
    if (it.mEpisode != mEpisode) {
      continue;
    }
    answers += it.mAnswers;
    slow += it.mSlowAnswers;
    if (worst == nullptr || it.mSlowAnswers > worst->mSlowAnswers) {
      worst = &it;
    }
  }
  if (worst == nullptr) {
    return false;
  }
  auto others = answers - worst->mAnswers;
  if (others < kOtherAnswers) {
    return answers >= kAnswersOfOneClass && others * kOneClassShare < answers;
  }
  // Two thirds of them must be slow; with half, chance is enough once in thousands of
  // answers. Once they are, a third is enough, so that the result does not alternate.
  return (slow - worst->mSlowAnswers) * 3 > others * (mIsSlow ? 1 : 2);
}

void ConcurrencyLimit::LowerTo(std::size_t aLimit, TimePoint aNow)
{
  mLimit = std::max<std::size_t>(1, aLimit);
  mLoweredAt = aNow;
  mGood = 0;
  mIsInUse = false;
}

// With demand waiting, any round of answers contains one sent with the limit reached:
// either the last of those running when the round began, or one sent later.
void ConcurrencyLimit::CountGood(std::size_t aRunning)
{
  mIsInUse = mIsInUse || aRunning >= mLimit;
  if (++mGood < mLimit) {
    return;
  }
  // A slow server is given work up to its bound too, so that a cold one is not left
  // idle.
  auto ceiling = mIsSlow ? SlowLimit() : mMaximum;
  if (mIsInUse && mLimit < ceiling) {
    mLimit = std::min(mLimit * 2, ceiling);
  }
  mGood = 0;
  mIsInUse = false;
}

} // namespace sesameway
