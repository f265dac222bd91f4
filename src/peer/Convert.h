#pragma once

#include "peer.capnp.h"

#include "peer/Peer.h"

// Converts between the core's types and the Cap'n Proto messages that peer daemons
// exchange. A message holds the time left until a deadline, because clocks differ
// between daemons; `aNow` is the current time on the converting side.
namespace sesameway::peer {

void Fill(const GroupRequest& aFrom, TimePoint aNow, wire::Statement::Builder aTo);
GroupRequest Read(wire::Statement::Reader aFrom, TimePoint aNow);

void Fill(const Answer& aFrom, TimePoint aNow, wire::Answer::Builder aTo);
Answer Read(wire::Answer::Reader aFrom, TimePoint aNow);

void Fill(const Member& aFrom, wire::MemberInfo::Builder aTo);
Member Read(wire::MemberInfo::Reader aFrom);

} // namespace sesameway::peer
