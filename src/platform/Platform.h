#pragma once

#include "sesameway/CatalogueTable.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace sesameway::platform {

using Object = StoredObject;

struct Listing
{
  std::vector<Object> mObjects;
  // Revision of the whole store at the time of the listing.
  std::uint64_t mRevision = 0;
};

struct PutResult
{
  bool mApplied = false;
  // The object after the call. If the put was not applied, the object whose version
  // conflicts with the expected one.
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

// Client of the platform's metadata store. A callback that receives no value got no
// answer by the deadline; the call may or may not have taken effect.
class Platform
{
public:
  virtual ~Platform() = default;
  virtual void List(const std::string& aPrefix,
                    TimePoint aDeadline,
                    std::function<void(std::optional<Listing>)> aDone) = 0;
  // Passes an object with version 0, in the store's generation, if it does not exist.
  virtual void Get(const std::string& aName,
                   TimePoint aDeadline,
                   std::function<void(std::optional<Object>)> aDone) = 0;
  // Replaces the object, or removes it, if its version is the expected one. An expected
  // version of 0, in any generation, creates the object if it does not exist.
  virtual void Put(const std::string& aName,
                   const std::string& aBody,
                   std::uint64_t aExpectedVersion,
                   bool aRemove,
                   TimePoint aDeadline,
                   std::function<void(std::optional<PutResult>)> aDone) = 0;
  // Reports each change after the revision until the returned handle is dropped. Passes
  // no value once, when the stream ends.
  virtual std::shared_ptr<void> Watch(
    const std::string& aPrefix,
    std::uint64_t aAfterRevision,
    std::function<void(std::optional<Object>)> aOnChange) = 0;
  // The time at which the latest call was sent that the store itself answered with an
  // outage error; the clock's epoch if there was none. During an outage the store
  // accepts no changes from any client.
  virtual TimePoint LastOutageAt() const { return {}; }
  virtual void Vms(TimePoint aDeadline,
                   std::function<void(std::optional<std::vector<Vm>>)> aDone) = 0;
};

struct Changes
{
  std::vector<Object> mObjects;
  // The changes are complete up to this revision.
  std::uint64_t mRevision = 0;
  // The store no longer has all changes since the requested revision. The kind must be
  // listed again.
  bool mIsHistoryGone = false;
};

// Reports changes in the store for one kind of object at a time. The kind is the part
// of an object's name before the first slash.
class ChangeFeed
{
public:
  virtual ~ChangeFeed() = default;
  virtual void ListKind(const std::string& aKind,
                        TimePoint aDeadline,
                        std::function<void(std::optional<Listing>)> aDone) = 0;
  // Long poll: passes the changes as soon as there is one after the revision, or an
  // empty list at `aWaitUntil`.
  virtual void ChangesAfter(const std::string& aKind,
                            std::uint64_t aRevision,
                            TimePoint aWaitUntil,
                            std::function<void(std::optional<Changes>)> aDone) = 0;
};

std::shared_ptr<Platform> MakeGrpcPlatform(const std::string& aAddress);

} // namespace sesameway::platform
