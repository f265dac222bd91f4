// The platform's metadata store and its duty address, as PROTOCOL.md describes them.
#pragma once

#include "Net.h"
#include "Record.h"

#include <nlohmann/json.hpp>

#include <condition_variable>
#include <deque>
#include <vector>

namespace review {

using nlohmann::json;

class Store
{
public:
  bool Listen(const std::string& aAddress)
  {
    return mListener.Open(aAddress, [this](SocketPtr aSocket) { Serve(*aSocket); });
  }

  // A write of the operator or of a database. Its return is the acknowledgement.
  void Put(const std::string& aKind, const std::string& aName, const json& aSpec)
  {
    std::lock_guard lock(mMutex);
    PutLocked(aKind, aName, aSpec);
  }
  void Remove(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(mMutex);
    RemoveLocked(aKind, aName);
  }
  // The body of one of the system's own objects; empty if there is none.
  std::string Body(const std::string& aKind, const std::string& aName)
  {
    std::lock_guard lock(mMutex);
    auto it = mKinds[aKind].find(aName);
    bool isText = it != mKinds[aKind].end() && it->second["spec"].is_string();
    return isText ? it->second["spec"].get<std::string>() : std::string();
  }
  // Called with kind, name and body after each accepted write of the system, before the
  // answer is sent.
  std::function<void(const std::string&, const std::string&, const std::string&)>
    mOnWritten;

  // In bodies that the store sends, this text stands for something that the JSON
  // library of this stand-in can't hold. Set both before the store is used.
  std::string mRawMarker;
  std::string mRawText;

private:
  static constexpr std::size_t kPage = 500;
  struct Event
  {
    std::uint64_t mRevision;
    std::string mKind;
    json mBody;
  };

  void PutLocked(const std::string& aKind, const std::string& aName, const json& aSpec)
  {
    auto& object = mKinds[aKind][aName];
    if (!object.is_null() && object["spec"] == aSpec) {
      return;
    }
    ++mRevision;
    auto created =
      object.is_null() ? mRevision : object["meta"]["created"].get<std::uint64_t>();
    object = { { "meta",
                 { { "name", aName },
                   { "rev", mRevision },
                   { "created", created },
                   { "finalizers", json::array() },
                   { "deletion", false } } },
               { "spec", aSpec },
               { "status", nullptr } };
    AddEvent(aKind, object, false);
  }

  void RemoveLocked(const std::string& aKind, const std::string& aName)
  {
    auto it = mKinds[aKind].find(aName);
    if (it != mKinds[aKind].end()) {
      ++mRevision;
      AddEvent(aKind, it->second, true);
      mKinds[aKind].erase(it);
    }
  }

  void AddEvent(const std::string& aKind, const json& aObject, bool aIsDeleted)
  {
    mEvents.push_back(
      { mRevision, aKind, { { "object", aObject }, { "deleted", aIsDeleted } } });
    mChanged.notify_all();
  }

  void Serve(Socket& aSocket)
  {
    while (auto request = ReadHttp(aSocket)) {
      int status = 400;
      std::string body;
      {
        std::unique_lock lock(mMutex);
        std::tie(status, body) = Answer(*request, lock);
      }
      if (!mRawMarker.empty()) {
        for (auto at = body.find(mRawMarker); at != std::string::npos;
             at = body.find(mRawMarker, at)) {
          body.replace(at, mRawMarker.size(), mRawText);
        }
      }
      if (!WriteHttp(aSocket, status, body)) {
        return;
      }
    }
  }

  std::pair<int, std::string> Answer(const HttpRequest& aRequest,
                                     std::unique_lock<std::mutex>& aLock)
  {
    constexpr std::string_view kPrefix = "/objects/";
    if (!aRequest.mPath.starts_with(kPrefix)) {
      return { 404, {} };
    }
    auto path = aRequest.mPath.substr(kPrefix.size());
    auto kind = path.substr(0, path.find('/'));
    auto name =
      kind.size() < path.size() ? path.substr(kind.size() + 1) : std::string();
    if (aRequest.mMethod != "GET") {
      return Change(aRequest, kind, name);
    }
    if (!name.empty()) {
      auto it = mKinds[kind].find(name);
      return it == mKinds[kind].end() ? std::pair(404, std::string())
                                      : std::pair(200, it->second.dump());
    }
    if (aRequest.mQuery.count("watch") > 0) {
      return Watch(aRequest, kind, aLock);
    }
    return List(aRequest, kind);
  }

  std::pair<int, std::string> List(const HttpRequest& aRequest,
                                   const std::string& aKind)
  {
    json list{ { "items", json::array() },
               { "hasMore", false },
               { "currentRev", mRevision } };
    auto after = aRequest.mQuery.find("after");
    auto& objects = mKinds[aKind];
    auto it = after == aRequest.mQuery.end() ? objects.begin()
                                             : objects.upper_bound(after->second);
    for (; it != objects.end(); ++it) {
      if (list["items"].size() == kPage) {
        list["hasMore"] = true;
        break;
      }
      list["items"].push_back(it->second);
    }
    return { 200, list.dump() };
  }

  std::pair<int, std::string> Watch(const HttpRequest& aRequest,
                                    const std::string& aKind,
                                    std::unique_lock<std::mutex>& aLock)
  {
    auto from = std::stoull(aRequest.mQuery.at("watch"));
    auto wait =
      aRequest.mQuery.count("waitMs") > 0 ? std::stol(aRequest.mQuery.at("waitMs")) : 0;
    auto until = Clock::now() + Ms(wait);
    for (;;) {
      json events = json::array();
      for (const auto& it : mEvents) {
        if (it.mRevision > from && it.mKind == aKind) {
          events.push_back(it.mBody);
        }
      }
      if (!events.empty() ||
          mChanged.wait_until(aLock, until) == std::cv_status::timeout) {
        return { 200,
                 json{ { "events", events }, { "currentRev", mRevision } }.dump() };
      }
    }
  }

  std::pair<int, std::string> Change(const HttpRequest& aRequest,
                                     const std::string& aKind,
                                     std::string aName)
  {
    auto body = json::parse(aRequest.mBody, nullptr, false);
    std::uint64_t expected = 0;
    if (aRequest.mMethod == "DELETE") {
      auto rev = aRequest.mQuery.find("rev");
      expected = rev == aRequest.mQuery.end() ? 0 : std::stoull(rev->second);
    } else {
      if (!body.is_object() || !body.contains("meta")) {
        return { 400, {} };
      }
      aName = body["meta"].value("name", aName);
      expected = body["meta"].value("rev", std::uint64_t{ 0 });
    }
    auto it = mKinds[aKind].find(aName);
    bool isThere = it != mKinds[aKind].end();
    if (aRequest.mMethod == "POST" && isThere) {
      return { 409, it->second.dump() };
    }
    if (aRequest.mMethod != "POST" && !isThere) {
      return { 404, {} };
    }
    if (isThere && expected != 0 && it->second["meta"]["rev"] != expected) {
      return { 409, it->second.dump() };
    }
    if (aRequest.mMethod == "DELETE") {
      auto removed = it->second.dump();
      RemoveLocked(aKind, aName);
      return { 200, removed };
    }
    PutLocked(aKind, aName, body["spec"]);
    auto& object = mKinds[aKind][aName];
    if (mOnWritten && object["spec"].is_string()) {
      mOnWritten(aKind, aName, object["spec"].get<std::string>());
    }
    return { isThere ? 200 : 201, object.dump() };
  }

  Listener mListener;
  std::mutex mMutex;
  std::condition_variable mChanged;
  std::uint64_t mRevision = 100;
  std::map<std::string, std::map<std::string, json>> mKinds;
  std::vector<Event> mEvents;
};

// The address of the singleton duties: POST /failover.
class Duties
{
public:
  // Returns the status for an order to promote a database of a service.
  using Promote =
    std::function<int(const std::string& aService, const std::string& aDatabase)>;

  bool Listen(const std::string& aAddress, Promote aPromote)
  {
    return mListener.Open(aAddress, [aPromote](SocketPtr aSocket) {
      while (auto request = ReadHttp(*aSocket)) {
        auto body = json::parse(request->mBody, nullptr, false);
        auto service = body.is_object() ? body.value("service", "") : "";
        auto database = body.is_object() ? body.value("id", "") : "";
        int status = request->mPath == "/failover" ? aPromote(service, database) : 404;
        Note("duty: POST /failover database=",
             database,
             " holder=",
             request->mHeaders["sesameway-lease-holder"],
             " fence=",
             request->mHeaders["sesameway-fence-token"],
             " -> ",
             status);
        if (!WriteHttp(*aSocket, status, "{}")) {
          return;
        }
      }
    });
  }

private:
  Listener mListener;
};

} // namespace review
