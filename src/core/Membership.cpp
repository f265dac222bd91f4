#include "sesameway/Membership.h"

#include "sesameway/Leadership.h"

#include <cmath>
#include <set>
#include <sstream>
#include <toml++/toml.h>

namespace sesameway {

namespace {

// A daemon that has not answered for this long is marked as missing. The time allows
// for several queries to a large fleet and is longer than most network partitions.
constexpr Duration kMissingAfter = seconds(15);
// Within this time, any contact that the daemon had before it was marked as missing
// expires.
constexpr Duration kRemoveAfter = kContactLimit + kContactMargin;
// Pause after an action, for the record in the store to show its effect.
constexpr Duration kActPause = seconds(2);

} // namespace

double ValidSpeed(double aSpeed)
{
  return std::isfinite(aSpeed) && aSpeed > 0 ? aSpeed : kDefaultSpeed;
}

tl::expected<MemberRecord, std::string> ParseMemberRecord(std::string_view aBody)
{
  toml::table table;
  try {
    table = toml::parse(aBody);
  } catch (const toml::parse_error& error) {
    return tl::unexpected(std::string(error.description()));
  }
  MemberRecord record;
  record.mName = table["name"].value_or(std::string());
  record.mZone = table["zone"].value_or(std::string());
  record.mAddress = table["address"].value_or(std::string());
  auto incarnation = table["incarnation"].value_or(std::string());
  record.mIncarnation = std::strtoull(incarnation.c_str(), nullptr, 10);
  record.mIsMissing = table["missing"].value_or(false);
  record.mSpeed = ValidSpeed(table["speed"].value_or(kDefaultSpeed));
  if (record.mName.empty() || record.mAddress.empty()) {
    return tl::unexpected(std::string("a name and an address"));
  }
  return record;
}

std::string FormatMemberRecord(const MemberRecord& aRecord)
{
  toml::table table{ { "name", aRecord.mName },
                     { "zone", aRecord.mZone },
                     { "address", aRecord.mAddress },
                     { "incarnation", std::to_string(aRecord.mIncarnation) },
                     { "speed", aRecord.mSpeed } };
  if (aRecord.mIsMissing) {
    table.insert("missing", true);
  }
  std::ostringstream text;
  text << table;
  return text.str();
}

Registration::Registration(std::string aName, std::string aAddress)
  : mName(std::move(aName))
  , mAddress(std::move(aAddress))
{
}

// The record of a previous process is sufficient, as the coordinator reaches daemons by
// name and address.
void Registration::OnRecord(const MemberRecord* aRecord, TimePoint aNow)
{
  bool isRegistered = aRecord != nullptr && !aRecord->mIsMissing &&
                      aRecord->mName == mName && aRecord->mAddress == mAddress;
  if (!isRegistered) {
    mSince = TimePoint::max();
  } else if (mSince == TimePoint::max()) {
    mSince = aNow;
  }
}

bool Registration::Covers(TimePoint aSentAt) const
{
  return aSentAt >= mSince;
}

void MemberWatch::OnAnswer(const std::string& aName, TimePoint aNow)
{
  auto it = mKnown.find(aName);
  if (it != mKnown.end()) {
    it->second.mSeenAt = aNow;
  }
}

std::vector<MemberWatch::Action> MemberWatch::Step(
  const std::vector<MemberRecord>& aRecords,
  std::string_view aSelf,
  TimePoint aNow)
{
  std::vector<Action> actions;
  std::set<std::string_view> names;
  for (const auto& it : aRecords) {
    names.insert(it.mName);
  }
  std::erase_if(mKnown,
                [&](const auto& aKnown) { return names.count(aKnown.first) == 0; });
  for (const auto& it : aRecords) {
    if (it.mName == aSelf) {
      continue;
    }
    auto& known =
      mKnown.try_emplace(it.mName, WatchedMember{ it.mIncarnation, aNow, {}, {} })
        .first->second;
    bool isNew = known.mIncarnation != it.mIncarnation;
    bool isBack = known.mMissingSince != TimePoint{} && !it.mIsMissing;
    if (isNew || isBack) {
      known = { it.mIncarnation, aNow, {}, {} };
    }
    if (it.mIsMissing && known.mMissingSince == TimePoint{}) {
      known.mMissingSince = aNow;
    }
    if (aNow < known.mActAgainAt) {
      continue;
    }
    if (it.mIsMissing && aNow - known.mMissingSince > kRemoveAfter) {
      actions.emplace_back(Remove{ it.mName });
      known.mActAgainAt = aNow + kActPause;
    } else if (!it.mIsMissing && aNow - known.mSeenAt > kMissingAfter) {
      actions.emplace_back(MarkMissing{ it.mName });
      known.mActAgainAt = aNow + kActPause;
    }
  }
  return actions;
}

} // namespace sesameway
