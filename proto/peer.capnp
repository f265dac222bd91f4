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
  # Time left when sent; the receiver stores a deadline of its own clock.
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

# Dropping the capability rolls back.
interface Transaction {
  execute @0 (statement :Statement) -> (answer :Answer);
}

# One change of one catalogue object, as the store holds it.
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

# The end of a primary's log, as it was known that long ago.
struct GroupHead {
  group @0 :Text;
  term @1 :UInt64;
  position @2 :UInt64;
  ageUs @3 :UInt64;
}

interface Peer {
  hello @0 (from :MemberInfo) -> (to :MemberInfo, ready :Bool);
  execute @1 (statement :Statement) -> (answer :Answer);
  begin @2 (statement :Statement) -> (answer :Answer, transaction :Transaction);
  # Anti-entropy: the caller's revision in, all that is newer out.
  # The members come along only where the caller's list, by its hash, is another one.
  catalogue @3 (revision :UInt64, contactAgeUs :UInt64, membersHash :UInt64) ->
      (revision :UInt64, contactAgeUs :UInt64, changes :List(CatalogueChange),
       members :List(MemberInfo), membersAgeUs :UInt64, serving :Bool,
       heads :List(GroupHead));
  # Asks for unused tokens of an organisation. The giver subtracts before it answers.
  # `nextUs`: if none is given, how long until there may be one.
  takeTokens @4 (organisation :Text, incarnation :UInt64, wanted :Float64) ->
      (given :Float64, nextUs :UInt64);
  # Who is primary, as far as the callee knows.
  # `seenAgeUs`: how long ago the callee last heard from it.
  primary @5 (group :Text) -> (term :UInt64, database :Text, seenAgeUs :UInt64);
  # A new primary, told to the other homes so that they need not find out.
  announce @6 (group :Text, term :UInt64, database :Text) -> ();
  # The callee sends nothing more to the group's primary until the group's record shows
  # that this change of primary, or a later one, is over. Answered once nothing is under
  # way there.
  standDown @7 (group :Text, change :UInt64) -> ();
}
