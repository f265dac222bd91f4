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

// Speed of a daemon that does not state a valid one, as a share of a core.
inline constexpr double kDefaultSpeed = 0.25;

// Returns `aSpeed` if it is a positive finite number, otherwise kDefaultSpeed.
double ValidSpeed(double aSpeed);

// A daemon's record in the store. Before a change of primary, every daemon that has a
// record is asked to stop using the old primary.
struct MemberRecord
{
  std::string mName;
  std::string mZone;
  std::string mAddress;
  std::uint64_t mIncarnation = 0;
  // Set by the coordinator when the daemon has not answered for a long time. The record
  // is then removed unless the daemon writes it again.
  bool mIsMissing = false;
  // Processing speed of the daemon's VM, as a share of a core. Records of earlier
  // versions lack it.
  double mSpeed = kDefaultSpeed;
  bool operator==(const MemberRecord&) const = default;
};

// Parses TOML. The error says what was expected.
tl::expected<MemberRecord, std::string> ParseMemberRecord(std::string_view aBody);
std::string FormatMemberRecord(const MemberRecord& aRecord);

// Tracks whether this daemon has a valid record in the store. Only then does contact
// with the store prove that no change of primary is in progress, as a coordinator does
// not wait for a daemon without a record.
class Registration
{
public:
  Registration(std::string aName, std::string aAddress);

  // Takes in the daemon's own record from the store; nullptr if it has none.
  void OnRecord(const MemberRecord* aRecord, TimePoint aNow);
  // Whether a store call that was sent at `aSentAt`, and has been answered since, was
  // sent after the daemon had registered.
  bool Covers(TimePoint aSentAt) const;

private:
  std::string mName;
  std::string mAddress;
  // Since when the daemon has been registered; TimePoint::max() if it is not.
  TimePoint mSince = TimePoint::max();
};

// Removes the records of daemons that are gone for good; used by the coordinator. A
// record is first marked as missing. A daemon that is still running sees the mark, no
// longer relies on its contact with the store and writes its record again before the
// record is removed.
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
  // Call every 50 to 100 ms with the records in the store. An action is repeated until
  // the records show its effect.
  std::vector<Action> Step(const std::vector<MemberRecord>& aRecords,
                           std::string_view aSelf,
                           TimePoint aNow);

private:
  struct WatchedMember
  {
    std::uint64_t mIncarnation = 0;
    // When the daemon last answered, or when its record appeared.
    TimePoint mSeenAt;
    // When the record was first seen marked as missing; TimePoint{} if it is not
    // marked.
    TimePoint mMissingSince{};
    TimePoint mActAgainAt{};
  };
  std::map<std::string, WatchedMember> mKnown;
};

} // namespace sesameway
