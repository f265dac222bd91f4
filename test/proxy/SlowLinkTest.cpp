#include "SlowLink.h"
#include "FakeDatabases.h"
#include "peer/CapnpPeers.h"
#include "proxy/Proxy.h"

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <future>
#include <random>
#include <thread>

using namespace sesameway;
using namespace sesameway::proxy;
using namespace sesameway::test;

namespace {

constexpr const char* kConfiguration = "config/main";
constexpr const char* kDatabaseKind = "servers";
// A link of 10 Mbit/s.
constexpr std::size_t kBytesPerSecond = 1'250'000;
// The largest object that the store takes.
constexpr std::size_t kLargestObject = 1 << 20;
// Time in which a configuration must be in force everywhere.
constexpr Duration kInForceWithin = seconds(5);

// Text that can't be compressed.
std::string RandomText(std::size_t aBytes)
{
  std::mt19937_64 random(20261204);
  std::string text(aBytes, ' ');
  for (auto& it : text) {
    it = static_cast<char>(random());
  }
  return text;
}

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
      mIsCutOff ? aDone(std::nullopt)
                : aDone(platform::Changes{ Newer(aKind, aRevision), mRevision, false });
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
  void Put(const std::string&,
           const std::string&,
           std::uint64_t,
           bool,
           TimePoint,
           std::function<void(std::optional<platform::PutResult>)> aDone) override
  {
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

// A daemon in this process. It is never destroyed, because its worker threads refer to
// it until the process ends.
class Daemon
{
public:
  Daemon(const std::string& aName,
         const std::string& aAddress,
         std::vector<std::string> aSeeds,
         bool aIsCutOff)
    : mStore(std::make_shared<FakeStore>(mLoop, aIsCutOff))
  {
    Settings settings;
    settings.mName = aName;
    settings.mZone = "z";
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
      mConfiguration = aObject.mBody;
      return Catalogue{};
    };
    adapters.mReadDatabase = [](const StoredObject&) {
      return tl::expected<ListedDatabase, std::string>(tl::make_unexpected("none"));
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
  // Age of this daemon's information about the store, in seconds.
  double ContactAge()
  {
    return OnLoop<double>([this] {
      for (const auto& it : mProxy->Gauges()) {
        if (it.mName == "store.contact_age_s") {
          return it.mValue;
        }
      }
      return -1.0;
    });
  }

private:
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
  std::thread mThread;
};

std::string FreeAddress()
{
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
    io, { boost::asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace

// Covers the transfer of the store's objects from one daemon to another over a link
// that takes longer for an object than a call may take.
class SlowLinkTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(SlowLinkTest);
  CPPUNIT_TEST(ALargeConfigurationIsInForceInTimeBehindASlowLink);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a configuration that is never in force where its transfer takes
  // longer than one call to a peer may take.
  void ALargeConfigurationIsInForceInTimeBehindASlowLink()
  {
    auto address = FreeAddress();
    auto* near = new Daemon("a", address, {}, false);
    SlowLink link(address, kBytesPerSecond);
    auto* far = new Daemon("b", FreeAddress(), { link.Address() }, true);
    near->Write({ kConfiguration, 1, 2, "small", false });
    near->Write({ "sesameway/member.a",
                  1,
                  3,
                  FormatMemberRecord({ "a", "z", link.Address(), 1, false }),
                  false });
    near->Run();
    far->Run();
    bool isStarted = far->Receives("small", Clock::now() + seconds(20));
    auto text = RandomText(kLargestObject);
    near->Write({ kConfiguration, 2, 4, text, false });
    bool isInForce = far->Receives(text, Clock::now() + kInForceWithin);
    // The daemon gets other changes all the while.
    double contactAge = far->ContactAge();
    near->Stop();
    far->Stop();
    CPPUNIT_ASSERT(isStarted);
    CPPUNIT_ASSERT(isInForce);
    CPPUNIT_ASSERT(contactAge < 2);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(SlowLinkTest);
