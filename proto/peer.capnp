@0xd3a1f0b7c2e94d51;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("sesameway::peer::wire");

struct Operation {
  kind @0 :UInt8;
  key @1 :Text;
  value @2 :Data;
}

struct Row {
  key @0 :Text;
  value @1 :Data;
}

struct TokenEntry {
  group @0 :Text;
  term @1 :UInt64;
  position @2 :UInt64;
}

struct Statement {
  id @0 :UInt64;
  group @1 :Text;
  route @2 :Text;
  organisation @3 :Text;
  kind @4 :UInt8;
  operations @5 :List(Operation);
  requestId @6 :Text;
  token @7 :List(TokenEntry);
  # Time left until the deadline when the message was sent. The receiver turns it into a
  # deadline by its own clock.
  timeoutUs @8 :UInt64;
  maxAgeUs @9 :UInt64;
  tokenKnown @10 :Bool;
}

struct Answer {
  id @0 :UInt64;
  outcome @1 :UInt8;
  reason @2 :UInt8;
  detail @3 :Text;
  rows @4 :List(Row);
  token @5 :List(TokenEntry);
  retryAfterUs @6 :UInt64;
  servedBy @7 :Text;
}

# An open transaction. Dropping the capability rolls it back.
interface Transaction {
  execute @0 (statement :Statement) -> (answer :Answer);
}

# The current state of a catalogue object that has changed, as in the store.
struct CatalogueChange {
  name @0 :Text;
  version @1 :UInt64;
  revision @2 :UInt64;
  body @3 :Data;
  deleted @4 :Bool;
}

struct MemberInfo {
  name @0 :Text;
  zone @1 :Text;
  address @2 :Text;
  incarnation @3 :UInt64;
  leaving @4 :Bool;
}

# The revision up to which the sender has all changes of the store's objects of a kind.
# In an answer, `contactAgeUs` is the time since the sender last knew that this revision
# was the newest; senders of former versions do not say it.
struct KindRevision {
  kind @0 :Text;
  revision @1 :UInt64;
  contactAgeUs @2 :UInt64 = 0xffffffffffffffff;
}

# The end of a group's log, as reported by its primary. The log ended there at some time
# within the last `ageUs` microseconds.
struct GroupHead {
  group @0 :Text;
  term @1 :UInt64;
  position @2 :UInt64;
  ageUs @3 :UInt64;
}

# A group's primary as far as the sender knows. `seenAgeUs` is the time since the sender
# last heard from it; `database` is empty if the sender knows none.
struct GroupPrimary {
  group @0 :Text;
  term @1 :UInt64;
  database @2 :Text;
  seenAgeUs @3 :UInt64;
}

# A version of an object in compressed form. `digest` is the XXH3 hash of that form.
struct EncodedObjectId {
  name @0 :Text;
  revision @1 :UInt64;
  digest @2 :UInt64;
}

# The part of an object that the sender has received: its first `bytes` bytes.
struct ReceivedPart {
  id @0 :EncodedObjectId;
  bytes @1 :UInt64;
  complete @2 :Bool;
}

# A part of an object's compressed body, whose whole size is `size`.
struct ObjectPiece {
  id @0 :EncodedObjectId;
  version @1 :UInt64;
  size @2 :UInt64;
  offset @3 :UInt64;
  bytes @4 :Data;
}

# What a statement needs of the database that runs it. Times are the time left, 0 once it
# has passed; a goal of 0 means that there is none. A missing organisation stands for that
# of `openLink`.
struct Terms {
  priority @0 :UInt32;
  goalUs @1 :UInt64;
  deadlineUs @2 :UInt64;
  inTransaction @3 :Bool;
  organisation @4 :Text;
  costClass @5 :Text;
}

# A command to a database over a lent connection.
struct LinkCommand {
  kind @0 :UInt8;
  id @1 :Text;
  text @2 :Data;
  name @3 :Text;
  preparesWrite @4 :Bool;
  # Whether `afterTerm` and `afterPosition` are meant.
  hasAfter @5 :Bool;
  afterTerm @6 :UInt64;
  afterPosition @7 :UInt64;
  term @8 :UInt64;
}

# A database's reply to a command. `retryAfterUs` is 0 unless the command was refused
# before it was sent to the database.
struct LinkReply {
  code @0 :UInt8;
  detail @1 :Text;
  rows @2 :List(Data);
  digest @3 :Text;
  transaction @4 :UInt8;
  # Whether `term` and `position` are meant.
  hasPosition @5 :Bool;
  term @6 :UInt64;
  position @7 :UInt64;
  retryAfterUs @8 :UInt64;
}

# A connection to a database that its home lends to another daemon. Dropping the
# capability without `return` closes the connection, which rolls back its transaction.
interface Link {
  # Runs a batch on the lent connection. One batch at a time. `waitUs` is the expected
  # wait of a new statement at this database.
  send @0 (commands :List(LinkCommand), terms :Terms) ->
      (replies :List(LinkReply), waitUs :UInt64);
  # Returns the connection in a clean state.
  return @1 () -> ();
}

interface Peer {
  hello @0 (from :MemberInfo) -> (to :MemberInfo, ready :Bool);
  execute @1 (statement :Statement) -> (answer :Answer);
  begin @2 (statement :Statement) -> (answer :Answer, transaction :Transaction);
  # Anti-entropy: returns all changes after the caller's revision, or after the caller's
  # revision of each kind if it names any. Members are returned only if the hash of the
  # caller's list differs from that of the callee's list. If the caller takes pieces, the
  # answer is limited in size: a large object comes as one piece, after what the caller
  # has received of it, and `incompleteKinds` names the kinds of which more is to come.
  catalogue @3 (revision :UInt64, contactAgeUs :UInt64, membersHash :UInt64,
                kinds :List(KindRevision), takesPieces :Bool,
                received :ReceivedPart) ->
      (revision :UInt64, contactAgeUs :UInt64, changes :List(CatalogueChange),
       members :List(MemberInfo), membersAgeUs :UInt64, serving :Bool,
       heads :List(GroupHead), kinds :List(KindRevision), piece :ObjectPiece,
       incompleteKinds :List(Text));
  # Asks for unused rate limit tokens of an organisation. The callee subtracts the
  # tokens that it gives before it answers. If it gives none, `nextUs` is the time until
  # one may be available.
  takeTokens @4 (organisation :Text, incarnation :UInt64, wanted :Float64) ->
      (given :Float64, nextUs :UInt64);
  # Returns the group's primary as far as the callee knows. `seenAgeUs` is the time
  # since the callee last heard from it.
  primary @5 (group :Text) -> (term :UInt64, database :Text, seenAgeUs :UInt64);
  # Tells another home of the group about a new primary, so that it need not detect the
  # change itself.
  announce @6 (group :Text, term :UInt64, database :Text) -> ();
  # Asks the callee to send nothing more to the group's primary until the group's record
  # shows that this change of primary, or a later one, is complete. The callee answers
  # once nothing is in progress at the primary.
  standDown @7 (group :Text, change :UInt64) -> ();
  # The same as `primary` for several groups. If none is named, returns the groups whose
  # primary the callee has not heard from for a while.
  primaries @8 (groups :List(Text)) -> (primaries :List(GroupPrimary));
  # Asks a home of the database for a connection of this organisation and runs a first
  # batch on it, unless `commands` is empty. `refusal` is 0 if the request is not refused;
  # 1: the callee is not a home of the database, 2: it is leaving, 3: it is overloaded, 4:
  # the database does not answer it. `retryAfterUs` belongs to the refusal, 0 for none.
  # `waitUs` is the expected wait of a new statement. There are as many replies as
  # commands, or a single one with a retry time if the batch was refused before it was
  # sent. After a first batch there may be no link: the batch left no transaction open,
  # and the callee has taken the connection back.
  openLink @9 (database :Text, group :Text, organisation :Text, terms :Terms,
               commands :List(LinkCommand)) ->
      (link :Link, refusal :UInt8, retryAfterUs :UInt64, waitUs :UInt64,
       replies :List(LinkReply));
}
