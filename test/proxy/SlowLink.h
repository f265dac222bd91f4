#pragma once

#include "sesameway/Time.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace sesameway::test {

// A loopback relay to one server whose replies arrive at the speed of a slow link.
// All connections share the link. A reply keeps the link busy until it has arrived or
// its connection is closed.
class SlowLink
{
public:
  SlowLink(const std::string& aServer, std::size_t aBytesPerSecond)
    : mServer(ToEndpoint(aServer))
    , mBytesPerSecond(aBytesPerSecond)
    , mAcceptor(mIo, { boost::asio::ip::address_v4::loopback(), 0 })
  {
    Accept();
    mThread = std::thread([this] { mIo.run(); });
  }
  SlowLink(const SlowLink&) = delete;
  SlowLink& operator=(const SlowLink&) = delete;
  ~SlowLink()
  {
    mIo.stop();
    mThread.join();
  }

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(mAcceptor.local_endpoint().port());
  }

private:
  using Tcp = boost::asio::ip::tcp;
  static constexpr std::size_t kPacketBytes = 4096;
  // Keeps the operating system from buffering replies in front of the link.
  static constexpr int kBufferBytes = 16384;

  struct Pair
  {
    explicit Pair(boost::asio::io_context& aIo)
      : mClient(aIo)
      , mServer(aIo)
      , mDelay(aIo)
    {
    }
    Tcp::socket mClient;
    Tcp::socket mServer;
    boost::asio::steady_timer mDelay;
    std::array<char, kPacketBytes> mRequest{};
    std::array<char, kPacketBytes> mReply{};
  };
  using PairPtr = std::shared_ptr<Pair>;

  static Tcp::endpoint ToEndpoint(const std::string& aAddress)
  {
    auto colon = aAddress.find(':');
    return { boost::asio::ip::make_address(aAddress.substr(0, colon)),
             static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))) };
  }

  static void Close(const PairPtr& aPair)
  {
    boost::system::error_code ignored;
    aPair->mClient.close(ignored);
    aPair->mServer.close(ignored);
  }

  void Accept()
  {
    auto pair = std::make_shared<Pair>(mIo);
    mAcceptor.async_accept(pair->mClient, [this, pair](auto aError) {
      if (aError) {
        return;
      }
      pair->mServer.open(Tcp::v4());
      pair->mServer.set_option(
        boost::asio::socket_base::receive_buffer_size(kBufferBytes));
      pair->mServer.connect(mServer, aError);
      if (aError) {
        Close(pair);
      } else {
        pair->mClient.set_option(Tcp::no_delay(true));
        pair->mServer.set_option(Tcp::no_delay(true));
        ForwardRequests(pair);
        ForwardReplies(pair);
      }
      Accept();
    });
  }

  void ForwardRequests(const PairPtr& aPair)
  {
    aPair->mClient.async_read_some(
      boost::asio::buffer(aPair->mRequest), [this, aPair](auto aError, auto aBytes) {
        if (!aError) {
          boost::asio::write(
            aPair->mServer, boost::asio::buffer(aPair->mRequest, aBytes), aError);
        }
        aError ? Close(aPair) : ForwardRequests(aPair);
      });
  }

  void ForwardReplies(const PairPtr& aPair)
  {
    aPair->mServer.async_read_some(
      boost::asio::buffer(aPair->mReply), [this, aPair](auto aError, auto aBytes) {
        if (aError) {
          Close(aPair);
          return;
        }
        mFreeAt = std::max(mFreeAt, Clock::now()) +
                  std::chrono::duration_cast<Duration>(
                    std::chrono::duration<double>(double(aBytes) / mBytesPerSecond));
        aPair->mDelay.expires_after(mFreeAt - Clock::now());
        aPair->mDelay.async_wait([this, aPair, aBytes](auto aDelayError) {
          boost::system::error_code error = aDelayError;
          if (!error) {
            boost::asio::write(
              aPair->mClient, boost::asio::buffer(aPair->mReply, aBytes), error);
          }
          error ? Close(aPair) : ForwardReplies(aPair);
        });
      });
  }

  Tcp::endpoint mServer;
  double mBytesPerSecond;
  boost::asio::io_context mIo{ 1 };
  Tcp::acceptor mAcceptor;
  // When the link has carried all packets that it was given.
  TimePoint mFreeAt{};
  std::thread mThread;
};

} // namespace sesameway::test
