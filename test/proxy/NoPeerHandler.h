#pragma once

#include "peer/Peer.h"

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace sesameway::test {

// A peer that offers nothing, as a base for handlers that serve a few calls.
class NoPeerHandler : public peer::Handler
{
public:
  peer::Member OnHello(const peer::Member&, bool*) override { return {}; }
  void OnExecute(GroupRequest, peer::AnswerCallback) override {}
  void OnBegin(GroupRequest, peer::BeginCallback) override {}
  peer::CatalogueDelta OnCatalogue(const peer::CatalogueQuery&) override { return {}; }
  peer::TokenGrant OnTakeTokens(const std::string&, std::uint64_t, double) override
  {
    return {};
  }
  peer::PrimaryHint OnPrimary(const std::string&) override { return {}; }
  peer::PrimaryHints OnPrimaries(const std::vector<std::string>&) override
  {
    return {};
  }
  void OnAnnounce(const std::string&, const peer::PrimaryHint&) override {}
  void OnStandDown(const std::string&, std::uint64_t, std::function<void()>) override {}
};

} // namespace sesameway::test
