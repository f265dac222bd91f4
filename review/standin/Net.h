// Blocking TCP sockets with line and HTTP framing, for the stand-ins of the review.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cstring>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

inline sockaddr_in ToSockaddr(const std::string& aAddress)
{
  sockaddr_in address{};
  auto colon = aAddress.rfind(':');
  address.sin_family = AF_INET;
  address.sin_port =
    htons(static_cast<std::uint16_t>(std::stoi(aAddress.substr(colon + 1))));
  ::inet_pton(AF_INET, aAddress.substr(0, colon).c_str(), &address.sin_addr);
  return address;
}

// One end of a connection. Not thread safe, but Shutdown may be called from any thread.
class Socket
{
public:
  explicit Socket(int aFd)
    : mFd(aFd)
  {
    int on = 1;
    ::setsockopt(mFd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  }
  Socket(const Socket&) = delete;
  Socket& operator=(const Socket&) = delete;
  ~Socket() { ::close(mFd); }

  static std::shared_ptr<Socket> Connect(const std::string& aAddress)
  {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    auto address = ToSockaddr(aAddress);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
      ::close(fd);
      return nullptr;
    }
    return std::make_shared<Socket>(fd);
  }

  // Resets the connection if `aReset`, as the end of a process with unread input does.
  void Shutdown() { ::shutdown(mFd, SHUT_RDWR); }

  bool Write(const std::string& aText)
  {
    std::size_t done = 0;
    while (done < aText.size()) {
      auto n = ::send(mFd, aText.data() + done, aText.size() - done, MSG_NOSIGNAL);
      if (n <= 0) {
        return false;
      }
      done += static_cast<std::size_t>(n);
    }
    return true;
  }

  // Returns the next line without CR LF; none if the connection ended or, with a time
  // limit, if no line came in time (IsOpen tells which).
  std::optional<std::string> Line(int aTimeoutMs = -1)
  {
    for (;;) {
      auto end = mBuffer.find("\r\n");
      if (end != std::string::npos) {
        auto line = mBuffer.substr(0, end);
        mBuffer.erase(0, end + 2);
        return line;
      }
      if (!Fill(aTimeoutMs)) {
        return std::nullopt;
      }
    }
  }

  std::optional<std::string> Bytes(std::size_t aCount)
  {
    while (mBuffer.size() < aCount) {
      if (!Fill(-1)) {
        return std::nullopt;
      }
    }
    auto bytes = mBuffer.substr(0, aCount);
    mBuffer.erase(0, aCount);
    return bytes;
  }

  bool IsOpen() const { return mIsOpen; }

private:
  bool Fill(int aTimeoutMs)
  {
    pollfd it{ mFd, POLLIN, 0 };
    if (aTimeoutMs >= 0 && ::poll(&it, 1, aTimeoutMs) <= 0) {
      return false;
    }
    char bytes[4096];
    auto n = ::recv(mFd, bytes, sizeof bytes, 0);
    if (n <= 0) {
      mIsOpen = false;
      return false;
    }
    mBuffer.append(bytes, static_cast<std::size_t>(n));
    return true;
  }

  int mFd;
  bool mIsOpen = true;
  std::string mBuffer;
};
using SocketPtr = std::shared_ptr<Socket>;

// Accepts connections and serves each on a thread of its own. Threads are detached: the
// program leaves with _exit.
class Listener
{
public:
  using Serve = std::function<void(SocketPtr)>;

  bool Open(const std::string& aAddress, Serve aServe)
  {
    mFd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int on = 1;
    ::setsockopt(mFd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = ToSockaddr(aAddress);
    if (::bind(mFd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 ||
        ::listen(mFd, 256) != 0) {
      return false;
    }
    std::thread([this, fd = mFd, aServe] {
      for (;;) {
        int peer = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC);
        if (peer < 0) {
          return;
        }
        auto socket = std::make_shared<Socket>(peer);
        {
          std::lock_guard lock(mMutex);
          mSockets.insert(socket);
        }
        std::thread([this, socket, aServe] {
          aServe(socket);
          socket->Shutdown();
          std::lock_guard lock(mMutex);
          mSockets.erase(socket);
        }).detach();
      }
    }).detach();
    return true;
  }

  // The process behind it has ended: nothing listens, and all connections end.
  void Close()
  {
    ::shutdown(mFd, SHUT_RDWR);
    ::close(mFd);
    std::lock_guard lock(mMutex);
    for (const auto& it : mSockets) {
      it->Shutdown();
    }
  }

private:
  int mFd = -1;
  std::mutex mMutex;
  std::set<SocketPtr> mSockets;
};

inline std::string TakeWord(std::string& aText)
{
  auto blank = aText.find(' ');
  auto word = aText.substr(0, blank);
  aText = blank == std::string::npos ? std::string() : aText.substr(blank + 1);
  return word;
}

struct HttpRequest
{
  std::string mMethod;
  std::string mPath;
  std::map<std::string, std::string> mQuery;
  std::map<std::string, std::string> mHeaders;
  std::string mBody;
};

inline std::optional<HttpRequest> ReadHttp(Socket& aSocket)
{
  auto line = aSocket.Line();
  if (!line) {
    return std::nullopt;
  }
  HttpRequest request;
  request.mMethod = TakeWord(*line);
  auto target = TakeWord(*line);
  auto mark = target.find('?');
  request.mPath = target.substr(0, mark);
  auto rest = mark == std::string::npos ? std::string() : target.substr(mark + 1);
  while (!rest.empty()) {
    auto part = rest.substr(0, rest.find('&'));
    rest = part.size() < rest.size() ? rest.substr(part.size() + 1) : std::string();
    auto equals = part.find('=');
    if (equals != std::string::npos) {
      request.mQuery[part.substr(0, equals)] = part.substr(equals + 1);
    }
  }
  for (;;) {
    auto header = aSocket.Line();
    if (!header) {
      return std::nullopt;
    }
    if (header->empty()) {
      break;
    }
    auto colon = header->find(':');
    auto name = header->substr(0, colon);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char aIt) {
      return static_cast<char>(std::tolower(aIt));
    });
    auto value = colon == std::string::npos ? std::string() : header->substr(colon + 1);
    value.erase(0, value.find_first_not_of(' '));
    request.mHeaders[name] = value;
  }
  auto length = request.mHeaders.find("content-length");
  if (length != request.mHeaders.end()) {
    auto body = aSocket.Bytes(std::stoul(length->second));
    if (!body) {
      return std::nullopt;
    }
    request.mBody = std::move(*body);
  }
  return request;
}

inline bool WriteHttp(Socket& aSocket, int aStatus, const std::string& aBody)
{
  return aSocket.Write("HTTP/1.1 " + std::to_string(aStatus) +
                       " -\r\nContent-Type: application/json\r\nStore-Era: 1\r\n"
                       "Content-Length: " +
                       std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
}

} // namespace review
