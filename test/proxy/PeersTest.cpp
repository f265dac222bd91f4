#include "peer/CapnpPeers.h"
#include "proxy/NoPeerHandler.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <atomic>
#include <chrono>
#include <deque>
#include <thread>

using namespace sesameway;
using test::NoPeerHandler;

namespace {

// Accepts connections on a loopback port and answers nothing.
class SilentServer
{
public:
  SilentServer()
    : mAcceptor(mIo, { boost::asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
    mThread = std::thread([this] { mIo.run(); });
  }
  SilentServer(const SilentServer&) = delete;
  SilentServer& operator=(const SilentServer&) = delete;
  ~SilentServer()
  {
    mIo.stop();
    mThread.join();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }
  int Accepted() const { return mAccepted; }

private:
  void Accept()
  {
    mSockets.emplace_back(mIo);
    mAcceptor.async_accept(mSockets.back(), [this](auto aError) {
      if (!aError) {
        ++mAccepted;
        Accept();
      }
    });
  }

  boost::asio::io_context mIo;
  boost::asio::ip::tcp::acceptor mAcceptor;
  std::deque<boost::asio::ip::tcp::socket> mSockets;
  std::atomic<int> mAccepted{ 0 };
  std::thread mThread;
};

} // namespace

// Covers the calls of a daemon to its peers at the size of a large fleet.
class PeersTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(PeersTest);
  CPPUNIT_TEST(CallsToOnePeerAtOnceShareAConnection);
  CPPUNIT_TEST_SUITE_END();

  // A new coordinator asks every daemon about every group at once. With a connection
  // for each call it ran out of descriptors at 300 daemons and 20 groups.
  void CallsToOnePeerAtOnceShareAConnection()
  {
    constexpr int kGroups = 100;
    SilentServer server;
    NoPeerHandler handler;
    auto peers = peer::CapnpPeers::Start("127.0.0.1:0", &handler);
    std::atomic<int> ended{ 0 };
    auto deadline = Clock::now() + milliseconds(400);
    for (int n = 0; n < kGroups; ++n) {
      peers->Primary(
        server.Address(),
        "g" + std::to_string(n),
        deadline,
        [&](std::optional<peer::PrimaryHint> aHint) { ended += aHint ? 0 : 1; });
    }
    while (ended < kGroups && Clock::now() < deadline + seconds(5)) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    CPPUNIT_ASSERT_EQUAL(kGroups, ended.load());
    CPPUNIT_ASSERT_EQUAL(1, server.Accepted());
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(PeersTest);
