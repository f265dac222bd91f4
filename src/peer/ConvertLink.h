#pragma once

#include "peer.capnp.h"

#include "peer/Link.h"

#include <cstddef>
#include <string>
#include <tl/expected.hpp>
#include <vector>

// Converts between the types of a lent link and their messages. A time crosses as the
// time left; `aNow` is the current time on the converting side.
namespace sesameway::peer {

// Limits of a message. The reader refuses what exceeds them, and the sender does not
// send it: a message beyond Cap'n Proto's own limit of 64 MiB would end the connection,
// and with it all links between the two daemons.
inline constexpr std::size_t kMaxBatch = 64;
inline constexpr std::size_t kMaxTextBytes = std::size_t{ 1 } << 20;
inline constexpr std::size_t kMaxMessageBytes = std::size_t{ 32 } << 20;

// A value that was read, or what is wrong with the message.
template<typename Value>
using Readable = tl::expected<Value, std::string>;
using Commands = std::vector<ConnectionCommand>;

// Checks the limits and the numbers of kinds and codes.
Readable<void> Check(const StatementTerms& aTerms);
Readable<void> Check(const Commands& aCommands);
Readable<void> Check(const LinkReplies& aReplies);
Readable<void> Check(const LinkRequest& aRequest);
// Includes the number of replies to a first batch of that many commands, and whether
// there is a link.
Readable<void> Check(const LinkOffer& aOffer, std::size_t aCommands, bool aHasLink);

// Whether the replies have the number that a batch of that many commands requires.
bool IsComplete(const std::vector<ConnectionReply>& aReplies, std::size_t aCommands);

// Fill expects a value that passes its check. It leaves out fields that have their
// default: an empty text or list that is set takes space in the message.

// `aOrganisation` is that of the request for the link, which the message of the terms
// does not repeat.
void Fill(const StatementTerms& aFrom,
          const std::string& aOrganisation,
          TimePoint aNow,
          wire::Terms::Builder aTo);
Readable<StatementTerms> Read(wire::Terms::Reader aFrom,
                              const std::string& aOrganisation,
                              TimePoint aNow);

void Fill(const Commands& aFrom,
          const StatementTerms& aTerms,
          const std::string& aOrganisation,
          TimePoint aNow,
          wire::Link::SendParams::Builder aTo);
Readable<Commands> Read(capnp::List<wire::LinkCommand>::Reader aFrom);

void Fill(const LinkReplies& aFrom,
          TimePoint aNow,
          wire::Link::SendResults::Builder aTo);
Readable<LinkReplies> Read(wire::Link::SendResults::Reader aFrom, TimePoint aNow);

void Fill(const LinkRequest& aFrom,
          TimePoint aNow,
          wire::Peer::OpenLinkParams::Builder aTo);
Readable<LinkRequest> Read(wire::Peer::OpenLinkParams::Reader aFrom, TimePoint aNow);

// The link itself is not converted. `aCommands` is the size of the first batch.
void Fill(const LinkOffer& aFrom,
          TimePoint aNow,
          wire::Peer::OpenLinkResults::Builder aTo);
Readable<LinkOffer> Read(wire::Peer::OpenLinkResults::Reader aFrom,
                         std::size_t aCommands,
                         TimePoint aNow);

} // namespace sesameway::peer
