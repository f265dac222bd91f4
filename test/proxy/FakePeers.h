#pragma once

#include "peer/Peer.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace sesameway::test {

// Peers that answer only requests for connections, on the caller's thread. Those whose
// address has no handler do not answer.
class FakePeers : public peer::Peers
{
public:
  using Lend =
    std::function<void(const peer::LinkRequest&, std::function<void(peer::LinkOffer)>)>;

  void Hello(const std::string&,
             const peer::Member&,
             TimePoint,
             std::function<void(std::optional<peer::HelloReply>)> aDone) override
  {
    aDone(std::nullopt);
  }
  void Execute(const std::string&, GroupRequest, peer::AnswerCallback) override {}
  void Begin(const std::string&, GroupRequest, peer::BeginCallback) override {}
  void Catalogue(
    const std::string&,
    const peer::CatalogueQuery&,
    TimePoint,
    std::function<void(std::optional<peer::CatalogueDelta>)> aDone) override
  {
    aDone(std::nullopt);
  }
  void TakeTokens(const std::string&,
                  const std::string&,
                  std::uint64_t,
                  double,
                  TimePoint,
                  std::function<void(peer::TokenGrant)> aDone) override
  {
    aDone({});
  }
  void Primary(const std::string&,
               const std::string&,
               TimePoint,
               std::function<void(std::optional<peer::PrimaryHint>)> aDone) override
  {
    aDone(std::nullopt);
  }
  void Primaries(const std::string&,
                 std::vector<std::string>,
                 TimePoint,
                 std::function<void(std::optional<peer::PrimaryHints>)> aDone) override
  {
    aDone(std::nullopt);
  }
  void Announce(const std::string&,
                const std::string&,
                const peer::PrimaryHint&,
                TimePoint) override
  {
  }
  void StandDown(const std::string&,
                 const std::string&,
                 std::uint64_t,
                 TimePoint,
                 std::function<void(bool)> aDone) override
  {
    aDone(false);
  }
  void OpenLink(const std::string& aAddress,
                peer::LinkRequest aRequest,
                TimePoint,
                std::function<void(std::optional<peer::LinkOffer>)> aDone) override
  {
    mAsked.push_back(aAddress);
    auto it = mLenders.find(aAddress);
    if (it == mLenders.end()) {
      aDone(std::nullopt);
      return;
    }
    it->second(aRequest, [done = std::move(aDone)](peer::LinkOffer aOffer) {
      done(std::move(aOffer));
    });
  }

  std::map<std::string, Lend> mLenders;
  std::vector<std::string> mAsked;
};

} // namespace sesameway::test
