#include "HttpClient.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::platform;

namespace {

using boost::asio::ip::tcp;

// Answers one request with a body whose packets come at a fixed interval.
class SlowServer
{
public:
  SlowServer(proxy::Loop& aLoop, int aPackets, Duration aInterval)
    : mAcceptor(aLoop.Io(), { boost::asio::ip::address_v4::loopback(), 0 })
    , mSocket(aLoop.Io())
    , mTimer(aLoop)
    , mPackets(aPackets)
    , mInterval(aInterval)
  {
    mAcceptor.async_accept(mSocket, [this](auto aError) {
      if (!aError) {
        Send("HTTP/1.1 200 OK\r\nContent-Length: " +
             std::to_string(kPackets * kPacket.size()) + "\r\n\r\n");
      }
    });
  }
  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

  // Number of packets of the whole body. The server may stop earlier.
  static constexpr int kPackets = 20;
  const std::string kPacket = std::string(1000, 'x');

private:
  void Send(const std::string& aBytes)
  {
    boost::system::error_code error;
    boost::asio::write(mSocket, boost::asio::buffer(aBytes), error);
    if (!error && mPackets-- > 0) {
      mTimer.Set(Clock::now() + mInterval, [this] { Send(kPacket); });
    }
  }

  tcp::acceptor mAcceptor;
  tcp::socket mSocket;
  proxy::Timer mTimer;
  int mPackets;
  Duration mInterval;
};

} // namespace

class HttpClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(RequestBlockedAtTheDeadlineIsNotSentLater);
  CPPUNIT_TEST(ResponseThatKeepsArrivingIsReceivedAfterTheDeadline);
  CPPUNIT_TEST(ResponseThatStopsArrivingFails);
  CPPUNIT_TEST(ResponseAfterTheDeadlineFailsUnlessTheCallAllowsIt);
  CPPUNIT_TEST_SUITE_END();

  // Guards against a promotion order that reaches the platform after the call has timed
  // out. Unless the connection is reset, the rest of the request in the send buffer is
  // sent as soon as the server reads.
  void RequestBlockedAtTheDeadlineIsNotSentLater()
  {
    proxy::Loop loop;
    tcp::acceptor acceptor(loop.Io(), { boost::asio::ip::address_v4::loopback(), 0 });
    auto port = std::to_string(acceptor.local_endpoint().port());
    auto client = std::make_shared<HttpClient>(loop, "127.0.0.1:" + port);
    HttpCall call;
    call.mMethod = boost::beast::http::verb::post;
    call.mTarget = "/failover";
    // Larger than the socket buffers, so that part of it isn't sent until the server
    // reads.
    call.mBody = std::string(16 << 20, 'x');
    call.mDeadline = Clock::now() + milliseconds(200);
    bool isDone = false;
    client->Call(std::move(call), [&](const std::optional<HttpResponse>& aResponse) {
      isDone = true;
      CPPUNIT_ASSERT(!aResponse);
      loop.Stop();
    });
    loop.Run();
    CPPUNIT_ASSERT(isDone);
    tcp::socket server(loop.Io());
    acceptor.accept(server);
    boost::system::error_code error;
    std::string received(16 << 20, ' ');
    boost::asio::read(server, boost::asio::buffer(received), error);
    CPPUNIT_ASSERT_EQUAL(std::string("Connection reset by peer"), error.message());
  }

  // Makes a call whose deadline is in 300 ms. Returns the size of the response's body,
  // or no value if the call failed.
  static std::optional<std::size_t> ReadFrom(proxy::Loop& aLoop,
                                             const SlowServer& aServer,
                                             bool aMayOutlastDeadline)
  {
    auto client = std::make_shared<HttpClient>(aLoop, aServer.Address());
    HttpCall call;
    call.mTarget = "/objects/config";
    call.mDeadline = Clock::now() + milliseconds(300);
    call.mMayOutlastDeadline = aMayOutlastDeadline;
    std::optional<std::size_t> size;
    client->Call(std::move(call), [&](const std::optional<HttpResponse>& aResponse) {
      if (aResponse) {
        size = aResponse->mBody.size();
      }
      aLoop.Stop();
    });
    aLoop.Run();
    return size;
  }

  // Guards against a large object that is never received where the link is slow: the
  // call is given up while the response arrives, and the next one begins anew.
  void ResponseThatKeepsArrivingIsReceivedAfterTheDeadline()
  {
    proxy::Loop loop;
    SlowServer server(loop, SlowServer::kPackets, milliseconds(50));
    auto size = ReadFrom(loop, server, true);
    CPPUNIT_ASSERT(size == SlowServer::kPackets * server.kPacket.size());
  }

  void ResponseThatStopsArrivingFails()
  {
    proxy::Loop loop;
    SlowServer server(loop, 10, milliseconds(50));
    auto start = Clock::now();
    CPPUNIT_ASSERT(!ReadFrom(loop, server, true));
    CPPUNIT_ASSERT(Clock::now() - start < seconds(3));
  }

  void ResponseAfterTheDeadlineFailsUnlessTheCallAllowsIt()
  {
    proxy::Loop loop;
    SlowServer server(loop, SlowServer::kPackets, milliseconds(50));
    auto start = Clock::now();
    CPPUNIT_ASSERT(!ReadFrom(loop, server, false));
    CPPUNIT_ASSERT(Clock::now() - start < milliseconds(900));
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
