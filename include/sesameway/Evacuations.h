#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// How long transactions that are open when an evacuation comes into force may go on.
inline constexpr Duration kEvacuatedTransactionTime = seconds(2);

// The zones that are being evacuated, according to the store's objects. An evacuation
// ends only if its object is removed in the store's generation in which this daemon has
// seen the object. A store that returns with an older copy may merely lack the object;
// the evacuation then stays in force and is lost in the store until it is written back.
class Evacuations
{
public:
  enum class Effect : std::uint8_t
  {
    None,
    Begun,
    Ended,
    LostInStore,
  };

  // Takes in the object of a zone as of a revision. Calls may come in any order.
  Effect OnStored(const std::string& aZone,
                  const std::string& aBody,
                  std::uint64_t aRevision,
                  TimePoint aNow);
  // The store does not have the object as of a revision.
  Effect OnRemoved(const std::string& aZone, std::uint64_t aRevision, TimePoint aNow);

  bool IsEmpty() const { return mZones.empty(); }
  bool Contains(std::string_view aZone) const;
  // Whether transactions at databases of the zone are to be ended.
  bool EndsTransactions(std::string_view aZone, TimePoint aNow) const;
  // The zones in force.
  std::set<std::string> Zones() const;

  struct Lost
  {
    std::string mZone;
    std::string mBody;
  };
  // Evacuations in force that the store lost no later than `aUntil`.
  std::vector<Lost> LostUntil(TimePoint aUntil) const;

private:
  struct Entry
  {
    std::string mBody;
    // The revision of the object, and of the loss of it; 0 if it was not lost.
    std::uint64_t mRevision = 0;
    std::uint64_t mLostRevision = 0;
    TimePoint mBegunAt{};
    TimePoint mLostAt = TimePoint::max();
  };
  const Entry* Find(std::string_view aZone) const;

  std::map<std::string, Entry, std::less<>> mZones;
  // The revision of the last removal of each zone that is not in force.
  std::map<std::string, std::uint64_t> mRemoved;
};
inline constexpr NameTable<Evacuations::Effect, 4> kEvacuationEffectNames{
  { "none", "begun", "ended", "lost_in_store" }
};

} // namespace sesameway
