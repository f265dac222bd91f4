#pragma once

#include "platform/Platform.h"

#include <memory>
#include <optional>
#include <string>

namespace sesameway::operators {

// Outcome of a change to an object in the store.
enum class Change : std::uint8_t
{
  Applied,
  // Another change was made to the object first. ChangeResult::mObject shows it.
  Conflict,
  // The change may or may not have been applied: the store answered neither the change
  // nor the read after it, or the object has several new versions, and one of them may
  // come from this change.
  Unknown,
};

struct ChangeResult
{
  Change mChange = Change::Unknown;
  // The object after the change, or as last read; version 0 if it could not be read.
  platform::Object mObject;
};

// Makes blocking calls to the platform's store, for the command line. List and Get
// return no value if the store does not answer within 3 s.
class StoreClient
{
public:
  explicit StoreClient(std::shared_ptr<platform::Platform> aPlatform)
    : mPlatform(std::move(aPlatform))
  {
  }
  std::optional<platform::Listing> List(const std::string& aPrefix);
  // Returns an object with version 0 if it does not exist.
  std::optional<platform::Object> Get(const std::string& aName);
  // Replaces or removes the object if its version is the expected one. If there is no
  // answer, reads the object and sends the change again if it had no effect.
  ChangeResult Put(const std::string& aName,
                   const std::string& aBody,
                   std::uint64_t aExpectedVersion,
                   bool aRemove = false);

private:
  std::shared_ptr<platform::Platform> mPlatform;
};

} // namespace sesameway::operators
