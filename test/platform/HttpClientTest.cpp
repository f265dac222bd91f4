#include "HttpClient.h"

#include <boost/asio/read.hpp>

#include <cppunit/extensions/HelperMacros.h>

using namespace sesameway;
using namespace sesameway::platform;

namespace {

using boost::asio::ip::tcp;

} // namespace

class HttpClientTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpClientTest);
  CPPUNIT_TEST(RequestBlockedAtTheDeadlineIsNotSentLater);
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
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpClientTest);
