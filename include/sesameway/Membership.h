#pragma once

#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace sesameway {

// A daemon's record in the store. All daemons that have one are asked to stand down
// before a primary is changed.
struct MemberRecord
{
  std::string mName;
  std::string mZone;
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  // The coordinator has had no answer for long: the record will be removed, unless the
  // daemon writes it anew.
  bool mIsMissing = false;
  bool operator==(const MemberRecord&) const = default;
};

// TOML. The error says what was expected.
tl::expected<MemberRecord, std::string> ParseMemberRecord(std::string_view aBody);
std::string FormatMemberRecord(const MemberRecord& aRecord);

// Whether a coordinator knows of this daemon. Only then does contact with the store
// show that no change of primary is under way: one that is not known is not waited for.
class Registration
{
public:
  Registration(std::string aName, std::string aAddress);

  // The daemon's own record as the store shows it; nullptr if it has none.
  void OnRecord(const MemberRecord* aRecord, TimePoint aNow);
  // Whether a call that was sent to the store then, and has been answered since, came
  // after the record.
  bool Covers(TimePoint aSentAt) const;

private:
  std::string mName;
  std::string mAddress;
  // TimePoint::max(): not registered.
  TimePoint mSince = TimePoint::max();
};

// The coordinator's watch over daemons that are gone for good. Removes a record in two
// steps: a daemon that lives sees that it is called missing, no longer relies on its
// contact, and writes its record anew before the record is removed.
class MemberWatch
{
public:
  struct MarkMissing
  {
    std::string mName;
  };
  struct Remove
  {
    std::string mName;
  };
  using Action = std::variant<MarkMissing, Remove>;

  void OnAnswer(const std::string& aName, TimePoint aNow);
  // Records as the store shows them. Call every 50 to 100 ms; actions come again until
  // the records show them.
  std::vector<Action> Step(const std::vector<MemberRecord>& aRecords,
                           std::string_view aSelf,
                           TimePoint aNow);

private:
  struct WatchedMember
  {
    std::uint64_t mIncarnation = 0;
    // When it answered, or its record appeared.
    TimePoint mSeenAt;
    // When its record was first seen to call it missing; TimePoint{}: it doesn't.
    TimePoint mMissingSince{};
    TimePoint mActAgainAt{};
  };
  std::map<std::string, WatchedMember> mKnown;
};

} // namespace sesameway
