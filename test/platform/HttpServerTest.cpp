#include "HttpServer.h"
#include "HttpClient.h"
#include "proxy/FreeAddress.h"

#include <boost/asio/write.hpp>

#include <cppunit/extensions/HelperMacros.h>

#include <ctime>
#include <fcntl.h>
#include <sys/resource.h>
#include <unistd.h>

using namespace sesameway;
using namespace sesameway::platform;

namespace {

using boost::asio::ip::tcp;

// While it exists, this process can open no file descriptor.
class NoDescriptors
{
public:
  NoDescriptors()
  {
    ::getrlimit(RLIMIT_NOFILE, &mBefore);
    int lowestFree = ::open("/dev/null", O_RDONLY);
    ::close(lowestFree);
    auto limit = mBefore;
    limit.rlim_cur = static_cast<rlim_t>(lowestFree);
    ::setrlimit(RLIMIT_NOFILE, &limit);
  }
  ~NoDescriptors() { ::setrlimit(RLIMIT_NOFILE, &mBefore); }
  NoDescriptors(const NoDescriptors&) = delete;
  NoDescriptors& operator=(const NoDescriptors&) = delete;

private:
  rlimit mBefore{};
};

} // namespace

class HttpServerTest : public CppUnit::TestFixture
{
  CPPUNIT_TEST_SUITE(HttpServerTest);
  CPPUNIT_TEST(WaitsWhileThereIsNoDescriptor);
  CPPUNIT_TEST_SUITE_END();

  static void RunFor(proxy::Loop& aLoop, Duration aTime)
  {
    proxy::Timer timer(aLoop);
    timer.Set(Clock::now() + aTime, [&] { aLoop.Stop(); });
    aLoop.Io().restart();
    aLoop.Run();
  }

  // Processor time of this process, in seconds.
  static double ProcessorTime()
  {
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
  }

  // Guards against a daemon that has no free file descriptor and spends all its
  // processor time on accepting in vain.
  void WaitsWhileThereIsNoDescriptor()
  {
    proxy::Loop loop;
    auto address = test::FreeAddress();
    auto server = std::make_shared<HttpServer>(loop, [](const std::string&) {
      return HttpServerResponse{ 200, "ready" };
    });
    CPPUNIT_ASSERT(server->Listen(address));
    tcp::socket client(loop.Io(), tcp::v4());
    {
      NoDescriptors limit;
      client.connect(ToEndpoint(address));
      auto before = ProcessorTime();
      RunFor(loop, milliseconds(500));
      CPPUNIT_ASSERT(ProcessorTime() - before < 0.1);
    }
    boost::asio::write(
      client, boost::asio::buffer(std::string("GET / HTTP/1.1\r\nHost: a\r\n\r\n")));
    RunFor(loop, milliseconds(500));
    CPPUNIT_ASSERT(client.available() > 0);
  }
};

CPPUNIT_TEST_SUITE_REGISTRATION(HttpServerTest);
