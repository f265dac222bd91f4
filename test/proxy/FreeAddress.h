#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>

namespace sesameway::test {

// Returns a loopback address, IP:port, whose port is free.
inline std::string FreeAddress()
{
  boost::asio::io_context io;
  boost::asio::ip::tcp::acceptor acceptor(
    io, { boost::asio::ip::address_v4::loopback(), 0 });
  return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port());
}

} // namespace sesameway::test
