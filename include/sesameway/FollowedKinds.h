#pragma once

#include "sesameway/ObjectTable.h"
#include "sesameway/Time.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sesameway {

// The time up to which all changes of each kind are known, and how long ago that was.
using KindContacts = std::map<std::string, TimePoint, std::less<>>;
using KindAges = std::map<std::string, Duration, std::less<>>;

// A kind of the store's objects that a daemon keeps a copy of.
struct FollowedKind
{
  std::string mName;
  // Timeout of one call that waits for changes.
  Duration mPollTimeout{};
};

enum class StoreCallType
{
  List,
  // Waits for changes after a revision.
  Watch,
};

// A call to the store that is to be made now.
struct StoreCall
{
  StoreCallType mType = StoreCallType::List;
  std::string mKind;
  std::uint64_t mRevision = 0;
  TimePoint mDeadline{};
};

// Decides which calls to the store are due for each kind of its objects, and tracks up
// to which revision and time this daemon has all changes of each kind, from the store
// or from peers. At most one call for a kind is in progress.
class FollowedKinds
{
public:
  // The calls for the first kind show whether the store answers: after a failed call
  // the other kinds wait until one for the first kind has been answered.
  explicit FollowedKinds(std::vector<FollowedKind> aKinds);

  // Whether to watch the store for changes. Kinds that have not been received are
  // listed in any case.
  void SetFollowing(bool aIsFollowing);
  bool IsFollowing() const { return mIsFollowing; }
  // Returns the calls that are due, and counts them as in progress.
  std::vector<StoreCall> Due(TimePoint aNow);
  // When a call that is due after a pause becomes due; no value if none is.
  std::optional<TimePoint> NextDue() const;

  // The outcome of a call. The objects of an answer are applied before OnAnswer is
  // called; `aSentAt` is when the call was sent.
  void OnAnswer(std::string_view aKind, std::uint64_t aRevision, TimePoint aSentAt);
  void OnHistoryGone(std::string_view aKind);
  void OnFailure(std::string_view aKind, TimePoint aNow);
  // Takes in a peer's answer, whose objects have been applied. It was complete for the
  // kinds in `aRevisions`, and reflects each of them at its time in `aContacts`.
  void OnPeerAnswer(const KindRevisions& aRevisions, const KindContacts& aContacts);
  // Notes that a part of an object of the kind has been received from a peer.
  void OnProgress(std::string_view aKind, TimePoint aNow);

  // Whether each kind has been received.
  bool IsComplete() const;
  // The revision up to which all changes of all kinds have been applied.
  std::uint64_t Revision() const;
  // The same for each kind; kinds that have not been received are left out.
  KindRevisions Revisions() const;
  // The latest time at which no change of the first kind is known to have been missing.
  TimePoint Contact() const { return mKinds.front().mContact; }
  // The same for each kind that has been received.
  KindContacts Contacts() const;
  // How recent this daemon's information is as a whole: the contact of the kind that is
  // most behind. A kind whose calls wait longer than those of the first kind may be
  // behind by twice the difference, and one that is being received counts as recent for
  // a while.
  TimePoint OldestContact() const;

private:
  struct State
  {
    FollowedKind mKind;
    std::uint64_t mRevision = 0;
    TimePoint mContact{};
    // The first and the latest part that has been received since the last contact.
    TimePoint mPartsSince{};
    TimePoint mPartAt{};
    bool mIsReceived = false;
    bool mMustList = true;
    bool mIsCalling = false;
    // Whether calls wait until one for the first kind has been answered.
    bool mWaitsForStore = false;
    int mFailures = 0;
    TimePoint mNotBefore{};
  };

  State& Find(std::string_view aKind);
  static void NoteContact(State& aState, TimePoint aContact);
  bool IsWanted(const State& aState) const;

  std::vector<State> mKinds;
  bool mIsFollowing = false;
};

} // namespace sesameway
