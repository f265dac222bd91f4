#pragma once

#include "sesameway/NameTable.h"
#include "sesameway/Token.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace sesameway {

// What the coordinator knows of one database that may become the primary.
struct PromotionCandidate
{
  std::string mDatabase;
  // The last log position that the database has received, as reported since no daemon
  // uses the old primary any more; none if it has not reported since.
  std::optional<LogPosition> mReceived;
  // False if the database leaves or its zone is evacuated: it could be the primary for
  // a moment only.
  bool mMayStay = true;
  // Whether it has answered since the platform last refused to promote it.
  bool mIsRunning = true;
};

// What the choice of a new primary depends on, once no daemon uses the old one.
struct PromotionSurvey
{
  // All databases of the group except the old primary, also those that may not stay.
  std::vector<PromotionCandidate> mCandidates;
  // How many replicas have received a commit before it is acknowledged. 0 if commits
  // wait for none: then the group is to have a primary soon, whatever its log lacks.
  std::uint32_t mSyncReplicas = 0;
  // The end of the old primary's log when it took over. Replicas that have not caught
  // up with it since may lack commits that were acknowledged before.
  LogPosition mTakenOverAt{};
  // The end of the old primary's log; none if it has not reported.
  std::optional<LogPosition> mOldPrimary;
  // Whether the old primary has answered lately, so that replicas may receive more from
  // it.
  bool mDoesOldPrimaryAnswer = false;
  // Whether the change was planned: the old primary leaves or its zone is evacuated.
  bool mIsPlanned = false;
  // Whether the candidates have had enough time to report, and to receive the rest of
  // the old primary's log.
  bool mIsReportTimeOver = false;
  bool mIsCatchUpTimeOver = false;
  // Whether a database that is gone has had enough time to come back with its log.
  bool mIsHolderTimeOver = false;
  // Whether every running database of the group is among the candidates. The list of a
  // coordinator that has just started may lack some.
  bool mIsListComplete = true;
};

// Why no database can be promoted yet.
enum class PromotionWait : std::uint8_t
{
  None,
  // No candidate may become the primary.
  NoCandidate,
  // Databases that may hold acknowledged commits have not reported.
  Reports,
  // Replicas are still receiving the old primary's log.
  CatchUp,
  // The database that holds the acknowledged commits can't be promoted, or is gone.
  Holder,
  // An order to promote another database may still take effect.
  EarlierOrder,
};
inline constexpr NameTable<PromotionWait, 6> kPromotionWaitNames{
  { "none", "no_candidate", "reports", "catch_up", "holder", "earlier_order" }
};

// Returns a log position that no commit lies beyond which was acknowledged since the
// old primary took over, or none if too few candidates have reported to know one.
// `aSyncReplicas` is at least 1.
std::optional<LogPosition> AcknowledgedBound(
  const std::vector<PromotionCandidate>& aCandidates,
  std::uint32_t aSyncReplicas);

// Returns the database to promote. If commits wait for replicas, its log holds every
// acknowledged commit; a database that may not stay is then chosen if no other one
// holds them. The group is left without a primary rather than without such a commit, as
// long as a database that may hold it is listed, and a while longer.
tl::expected<std::string, PromotionWait> ChoosePromotionTarget(
  const PromotionSurvey& aSurvey);

// Whether the old primary may be given up, as another one is in sight.
// `aIsReplaced`: another database has already been promoted, not by the coordinator.
bool MayBeginChange(const PromotionSurvey& aSurvey, bool aIsReplaced);

} // namespace sesameway
