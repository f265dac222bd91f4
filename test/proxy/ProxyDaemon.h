#pragma once

#include "FakeDatabases.h"
#include "FreeAddress.h"
#include "peer/CapnpPeers.h"
#include "proxy/Proxy.h"
#include "sesameway/StoreRevision.h"

#include <functional>
#include <future>
#include <map>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace sesameway::test {

using proxy::Loop;
using proxy::PromotionClient;
using proxy::Proxy;
using proxy::Settings;
using proxy::Timer;

constexpr const char* kConfiguration = "config/main";
constexpr const char* kDatabaseKind = "servers";

// A body that was to be written, and the version that the object was to have before.
struct RequestedPut
{
  std::string mBody;
  std::uint64_t mExpected = 0;
};

// The store as one daemon sees it. While it is cut off, every call fails.
class FakeStore
  : public platform::Platform
  , public platform::ChangeFeed
{
public:
  explicit FakeStore(Loop& aLoop, bool aIsCutOff)
    : mLoop(aLoop)
    , mIsCutOff(aIsCutOff)
  {
  }

  // Call it on the loop's thread.
  void Write(platform::Object aObject)
  {
    mRevision = aObject.mRevision;
    mObjects.push_back(std::move(aObject));
  }
  // The store returns with these objects, in their generation: changes since an earlier
  // one can't be had any more. Call it on the loop's thread.
  void Restore(std::vector<platform::Object> aObjects)
  {
    mObjects.clear();
    for (auto& it : aObjects) {
      Write(std::move(it));
    }
  }
  // Objects that were to be written, by name. Call it on the loop's thread.
  const std::map<std::string, RequestedPut>& Puts() const { return mPuts; }

  void ListKind(const std::string& aKind,
                TimePoint,
                std::function<void(std::optional<platform::Listing>)> aDone) override
  {
    Answer(milliseconds(20), [this, aKind, aDone] {
      mIsCutOff ? aDone(std::nullopt)
                : aDone(platform::Listing{ Newer(aKind, 0), mRevision });
    });
  }
  void ChangesAfter(
    const std::string& aKind,
    std::uint64_t aRevision,
    TimePoint,
    std::function<void(std::optional<platform::Changes>)> aDone) override
  {
    Answer(milliseconds(100), [this, aKind, aRevision, aDone] {
      bool isGone = GenerationOf(aRevision) != GenerationOf(mRevision);
      mIsCutOff
        ? aDone(std::nullopt)
        : aDone(platform::Changes{ Newer(aKind, aRevision), mRevision, isGone });
    });
  }

  void List(const std::string&,
            TimePoint,
            std::function<void(std::optional<platform::Listing>)> aDone) override
  {
    aDone(std::nullopt);
  }
  void Get(const std::string&,
           TimePoint,
           std::function<void(std::optional<platform::Object>)> aDone) override
  {
    aDone(std::nullopt);
  }
  // Calls come from the loop's thread, except for the table of slots.
  void Put(const std::string& aName,
           const std::string& aBody,
           std::uint64_t aExpected,
           bool,
           TimePoint,
           std::function<void(std::optional<platform::PutResult>)> aDone) override
  {
    if (aName != kShareObject) {
      mPuts[aName] = { aBody, aExpected };
    }
    aDone(std::nullopt);
  }
  std::shared_ptr<void> Watch(
    const std::string&,
    std::uint64_t,
    std::function<void(std::optional<platform::Object>)>) override
  {
    return nullptr;
  }
  void Vms(TimePoint,
           std::function<void(std::optional<std::vector<platform::Vm>>)> aDone) override
  {
    aDone(std::nullopt);
  }

private:
  std::vector<platform::Object> Newer(const std::string& aKind,
                                      std::uint64_t aRevision) const
  {
    std::vector<platform::Object> objects;
    for (const auto& it : mObjects) {
      if (KindOf(it.mName) == aKind && it.mRevision > aRevision) {
        objects.push_back(it);
      }
    }
    return objects;
  }
  void Answer(Duration aAfter, std::function<void()> aTask)
  {
    auto timer = std::make_shared<Timer>(mLoop);
    timer->Set(Clock::now() + aAfter, [timer, task = std::move(aTask)] { task(); });
  }

  Loop& mLoop;
  bool mIsCutOff;
  std::uint64_t mRevision = 1;
  std::vector<platform::Object> mObjects;
  std::map<std::string, RequestedPut> mPuts;
};

class NoPromotion : public PromotionClient
{
public:
  void Promote(const std::string&,
               const std::string&,
               const std::string&,
               std::uint64_t,
               TimePoint,
               std::function<void(std::optional<bool>)> aDone) override
  {
    aDone(std::nullopt);
  }
};

// A route of each ProxyDaemon to a group without databases, open to callers without a
// key.
constexpr const char* kOpenRoute = "open";

inline RouteEntry OpenRoute()
{
  RouteEntry route;
  route.mName = kOpenRoute;
  route.mGroup = "g";
  route.mOpen = true;
  return route;
}

// Speed in the settings of each ProxyDaemon.
inline constexpr double kProxySpeed = 0.75;

// A daemon in this process, with its own fake store. It is never destroyed, because its
// worker threads refer to it until the process ends.
class ProxyDaemon
{
public:
  ProxyDaemon(const std::string& aName,
              const std::string& aAddress,
              std::vector<std::string> aSeeds,
              bool aIsCutOff,
              const std::string& aEvacuationKind = {})
    : mStore(std::make_shared<FakeStore>(mLoop, aIsCutOff))
  {
    Settings settings;
    settings.mName = aName;
    settings.mZone = "z";
    settings.mSpeed = kProxySpeed;
    settings.mRegions["z"] = "r";
    settings.mPeerAddress = aAddress;
    settings.mSeedPeerAddresses = std::move(aSeeds);
    Proxy::Adapters adapters;
    adapters.mStore = mStore;
    adapters.mFeed = mStore.get();
    adapters.mDatabases = &mDatabases;
    adapters.mPromotionClient = &mPromotion;
    adapters.mConfigurationObject = kConfiguration;
    adapters.mDatabaseKind = kDatabaseKind;
    adapters.mReadConfiguration =
      [this](const StoredObject& aObject) -> tl::expected<Catalogue, std::string> {
      Catalogue catalogue;
      catalogue.mVersion = RevisionInStore(aObject.mVersion);
      catalogue.mRoutes[kOpenRoute] = OpenRoute();
      mConfiguration = aObject.mBody;
      return catalogue;
    };
    adapters.mReadDatabase = [](const StoredObject&) {
      return tl::expected<ListedDatabase, std::string>(tl::make_unexpected("none"));
    };
    adapters.mEvacuationKind = aEvacuationKind;
    adapters.mReadEvacuation = [](const StoredObject& aObject) {
      return tl::expected<std::string, std::string>(IdOf(aObject.mName));
    };
    adapters.mReadStatus = [](const std::string&) { return std::nullopt; };
    mProxy = std::make_unique<Proxy>(mLoop, settings, adapters, 1);
    mPeers = peer::CapnpPeers::Start(aAddress, mProxy.get());
    mProxy->Start(mPeers.get());
  }

  void Run()
  {
    mThread = std::thread([this] { mLoop.Run(); });
  }
  void Stop()
  {
    mLoop.Stop();
    mThread.join();
  }
  void Write(platform::Object aObject)
  {
    mLoop.Post([this, object = std::move(aObject)] { mStore->Write(object); });
  }
  void Restore(std::vector<platform::Object> aObjects)
  {
    mLoop.Post([this, objects = std::move(aObjects)] { mStore->Restore(objects); });
  }
  // Version of the configuration in force; 0 if there is none.
  std::uint64_t VersionInForce()
  {
    return OnLoop<std::uint64_t>([this] {
      auto catalogue = mProxy->Current();
      return catalogue ? catalogue->mVersion : 0;
    });
  }
  // What the daemon wanted to write to the object last; empty if nothing.
  RequestedPut Put(const std::string& aName)
  {
    return OnLoop<RequestedPut>([&] {
      auto put = mStore->Puts().find(aName);
      return put == mStore->Puts().end() ? RequestedPut() : put->second;
    });
  }
  // Waits until the configuration is in force. Returns false if it is not by the
  // deadline.
  bool Receives(const std::string& aConfiguration, TimePoint aDeadline)
  {
    while (Clock::now() < aDeadline) {
      if (OnLoop<bool>([&] { return mConfiguration == aConfiguration; })) {
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }
  // Opens a session on kOpenRoute and sends a request in it.
  void Ask(const std::shared_ptr<proxy::CallerStream>& aStream,
           proxy::CallerRequest aRequest)
  {
    mSession = OnLoop<proxy::CallerSessionPtr>([&] {
      auto session = mProxy->Open(aStream);
      session->OnConnect(kOpenRoute, {});
      session->OnRequest(std::move(aRequest));
      return session;
    });
  }
  // Stops the daemon as SIGTERM does, with this time until it would be killed. Returns
  // what `aCheck` says when the process would end; false if it would be killed first.
  bool DrainFor(Duration aGrace, std::function<bool()> aCheck)
  {
    auto killAt = Clock::now() + aGrace;
    auto verdict = std::make_shared<std::promise<bool>>();
    auto future = verdict->get_future();
    mLoop.Post([this, killAt, verdict, check = std::move(aCheck)] {
      mProxy->Drain(killAt, [verdict, check] { verdict->set_value(check()); });
    });
    return future.wait_until(killAt) == std::future_status::ready && future.get();
  }
  // Number of zones whose evacuation is in force.
  double EvacuatedZones() { return Gauge("zones.evacuated"); }
  // Age of this daemon's information about the store, in seconds.
  double ContactAge() { return Gauge("store.contact_age_s"); }

private:
  double Gauge(const std::string& aName)
  {
    return OnLoop<double>([&] {
      for (const auto& it : mProxy->Gauges()) {
        if (it.mName == aName) {
          return it.mValue;
        }
      }
      return -1.0;
    });
  }
  template<typename Value>
  Value OnLoop(std::function<Value()> aFunction)
  {
    std::promise<Value> value;
    mLoop.Post([&] { value.set_value(aFunction()); });
    return value.get_future().get();
  }

  Loop mLoop;
  std::shared_ptr<FakeStore> mStore;
  FakeDatabases mDatabases;
  NoPromotion mPromotion;
  std::string mConfiguration;
  std::unique_ptr<Proxy> mProxy;
  std::unique_ptr<peer::CapnpPeers> mPeers;
  proxy::CallerSessionPtr mSession;
  std::thread mThread;
};

} // namespace sesameway::test
