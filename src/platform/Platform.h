#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesameway::platform {

struct Object
{
  std::string mName;
  std::uint64_t mVersion = 0;
  std::uint64_t mRevision = 0;
  std::string mBody;
  bool mDeleted = false;
};

struct Listing
{
  std::vector<Object> mObjects;
  // Of the whole store when the list was made.
  std::uint64_t mRevision = 0;
};

struct PutResult
{
  bool mApplied = false;
  // As it stands after the call; the one in the way when not applied.
  Object mObject;
};

struct Vm
{
  std::string mName;
  std::string mZone;
  std::string mPeerAddress;
  std::uint64_t mIncarnation = 0;
  bool mLeaving = false;
};

// None as a result means no answer: the call may have had its effect or not.
class Platform
{
public:
  virtual ~Platform() = default;
  virtual void List(const std::string& aPrefix,
                    TimePoint aDeadline,
                    std::function<void(std::optional<Listing>)> aDone) = 0;
  // Answers an object of version 0 if there is none.
  virtual void Get(const std::string& aName,
                   TimePoint aDeadline,
                   std::function<void(std::optional<Object>)> aDone) = 0;
  // Applied only if the object's version is the expected one; 0 creates.
  virtual void Put(const std::string& aName,
                   const std::string& aBody,
                   std::uint64_t aExpectedVersion,
                   bool aRemove,
                   TimePoint aDeadline,
                   std::function<void(std::optional<PutResult>)> aDone) = 0;
  // Each change after the revision until the handle is dropped; none once, at the end.
  virtual std::shared_ptr<void> Watch(
    const std::string& aPrefix,
    std::uint64_t aAfterRevision,
    std::function<void(std::optional<Object>)> aOnChange) = 0;
  // When a call was sent that the store itself answered with "out", the latest such;
  // the clock's epoch if none was. It then takes no change from anyone.
  virtual TimePoint LastOutageAt() const { return {}; }
  virtual void Vms(TimePoint aDeadline,
                   std::function<void(std::optional<std::vector<Vm>>)> aDone) = 0;
};

struct Changes
{
  std::vector<Object> mObjects;
  // All changes of the kind up to it are here.
  std::uint64_t mRevision = 0;
  // The store no longer has all changes since the revision asked for: list anew.
  bool mIsHistoryGone = false;
};

// What changes in the store, kind by kind: the part of a name before its first slash.
class ChangeFeed
{
public:
  virtual ~ChangeFeed() = default;
  virtual void ListKind(const std::string& aKind,
                        TimePoint aDeadline,
                        std::function<void(std::optional<Listing>)> aDone) = 0;
  // Answers as soon as there is a change after the revision, else at `aWaitUntil`.
  virtual void ChangesAfter(const std::string& aKind,
                            std::uint64_t aRevision,
                            TimePoint aWaitUntil,
                            std::function<void(std::optional<Changes>)> aDone) = 0;
};

std::shared_ptr<Platform> MakeGrpcPlatform(const std::string& aAddress);

} // namespace sesameway::platform
