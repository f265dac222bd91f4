#include "operator/StoreClient.h"

#include <future>
#include <thread>

namespace sesameway::operators {

namespace {

constexpr Duration kCallTimeout = seconds(3);
constexpr Duration kRetryPause = milliseconds(200);
constexpr int kAttempts = 3;

// Starts a call and blocks until its callback has run.
template<typename Value, typename Start>
std::optional<Value> Wait(Start aStart)
{
  auto promise = std::make_shared<std::promise<std::optional<Value>>>();
  auto future = promise->get_future();
  aStart(Clock::now() + kCallTimeout, [promise](std::optional<Value> aValue) {
    promise->set_value(std::move(aValue));
  });
  return future.get();
}

// Whether the object is the next version after the expected one and has the contents
// that this change gives it.
bool IsResultOf(const platform::Object& aObject,
                const std::string& aBody,
                std::uint64_t aExpectedVersion,
                bool aRemove)
{
  bool isSame =
    aRemove ? aObject.mDeleted : !aObject.mDeleted && aObject.mBody == aBody;
  return isSame && aObject.mVersion == aExpectedVersion + 1;
}

// Returns the outcome of a change whose object has another version than the expected
// one. `aWasAnswerLost`: an earlier attempt got no answer and may have been applied.
Change ClassifyOutcome(const platform::Object& aObject,
                       const std::string& aBody,
                       std::uint64_t aExpectedVersion,
                       bool aRemove,
                       bool aWasAnswerLost)
{
  if (!aWasAnswerLost) {
    return Change::Conflict;
  }
  // The version after the expected one comes from this change if its contents match. If
  // there are later versions, it is no longer visible.
  if (aObject.mVersion == aExpectedVersion + 1) {
    bool isOurs = IsResultOf(aObject, aBody, aExpectedVersion, aRemove);
    return isOurs ? Change::Applied : Change::Conflict;
  }
  return Change::Unknown;
}

} // namespace

std::optional<platform::Listing> StoreClient::List(const std::string& aPrefix)
{
  return Wait<platform::Listing>([&](TimePoint aDeadline, auto aDone) {
    mPlatform->List(aPrefix, aDeadline, aDone);
  });
}

std::optional<platform::Object> StoreClient::Get(const std::string& aName)
{
  return Wait<platform::Object>(
    [&](TimePoint aDeadline, auto aDone) { mPlatform->Get(aName, aDeadline, aDone); });
}

ChangeResult StoreClient::Put(const std::string& aName,
                              const std::string& aBody,
                              std::uint64_t aExpectedVersion,
                              bool aRemove)
{
  bool wasAnswerLost = false;
  for (int n = 0; n < kAttempts; ++n) {
    auto result = Wait<platform::PutResult>([&](TimePoint aDeadline, auto aDone) {
      mPlatform->Put(aName, aBody, aExpectedVersion, aRemove, aDeadline, aDone);
    });
    if (result && result->mApplied) {
      return { Change::Applied, result->mObject };
    }
    std::optional<platform::Object> object;
    if (result) {
      object = result->mObject;
    } else {
      wasAnswerLost = true;
      std::this_thread::sleep_for(kRetryPause);
      object = Get(aName);
    }
    if (object && object->mVersion != aExpectedVersion) {
      return { ClassifyOutcome(
                 *object, aBody, aExpectedVersion, aRemove, wasAnswerLost),
               *object };
    }
  }
  return {};
}

} // namespace sesameway::operators
