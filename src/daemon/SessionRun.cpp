#include "daemon/SessionRun.h"

#include "daemon/Engine.h"
#include "daemon/Log.h"
#include "sesameway/CataloguePermit.h"
#include "sesameway/CatalogueText.h"

#include <openssl/crypto.h>

namespace sesameway::daemon {

namespace {

bool EqualInConstantTime(const std::string& aLeft, const std::string& aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

} // namespace

SessionRun::SessionRun(Engine& aEngine, const std::string& aKey)
  : mEngine(aEngine)
  , mHasKey(!aKey.empty())
  , mKeyHash(mHasKey ? HashKey(aKey) : std::string())
{
}

SessionRun::~SessionRun()
{
  CloseTransaction();
}

SessionRun::Permit SessionRun::Check(const Catalogue& aCatalogue,
                                     const Statement& aStatement) const
{
  Permit permit;
  permit.mReason = CheckForm(aStatement);
  if (permit.mReason != Reason::None) {
    return permit;
  }
  const auto* key = mHasKey ? aCatalogue.FindKeyByHash(mKeyHash) : nullptr;
  if (key && !EqualInConstantTime(key->mHash, mKeyHash)) {
    key = nullptr;
  }
  bool isIsolated = mEngine.Sync().IsIsolated(Clock::now());
  auto permission = Authorise(aCatalogue, aStatement.mRoute, key, isIsolated);
  bool lacksKey = !mHasKey && permission.mReason == Reason::KeyRefused;
  permit.mReason = lacksKey ? Reason::NoKey : permission.mReason;
  permit.mRoute = permission.mRoute;
  permit.mOrganisation = permission.mOrganisation;
  return permit;
}

void SessionRun::Execute(Statement aStatement, std::function<void(Answer)> aDone)
{
  auto id = aStatement.mId;
  ++mEngine.OpenWorkCount();
  auto done = [self = shared_from_this(), id, done = std::move(aDone)](Answer aAnswer) {
    aAnswer.mId = id;
    aAnswer.mToken = self->mPlan.Token();
    --self->mEngine.OpenWorkCount();
    done(std::move(aAnswer));
  };
  if (mEngine.IsDraining() && !mTransaction) {
    done(NotRun(Reason::Draining, Clock::now()));
    return;
  }
  auto catalogue = mEngine.CurrentCatalogue();
  if (!catalogue) {
    done(NotRun(Reason::NotReady, Clock::now() + seconds(1)));
    return;
  }
  auto permit = Check(*catalogue, aStatement);
  if (permit.mReason != Reason::None) {
    LogStatement(LogLine("refused")
                   .With("route", aStatement.mRoute)
                   .With("reason", kReasonNames.Name(permit.mReason)));
    if (permit.mReason == Reason::KeyRefused) {
      CloseTransaction();
    }
    // Suggests a retry after a second if this daemon is isolated, because it may be in
    // contact with the store or with another daemon again by then.
    bool isIsolated = permit.mReason == Reason::Isolated;
    done(NotRun(permit.mReason, isIsolated ? Clock::now() + seconds(1) : TimePoint{}));
    return;
  }
  auto deadline = aStatement.mDeadline;
  auto onVerdict = [self = shared_from_this(),
                    catalogue,
                    permit,
                    done,
                    statement = std::make_shared<Statement>(std::move(aStatement))](
                     bool aIsAdmitted, TimePoint aRetryAt) {
    if (!aIsAdmitted) {
      LogStatement(LogLine("refused")
                     .With("organisation", permit.mOrganisation->mName)
                     .With("reason", kReasonNames.Name(Reason::RateExceeded)));
      done(NotRun(Reason::RateExceeded, aRetryAt));
      return;
    }
    self->Route(
      std::move(*statement), *permit.mRoute, permit.mOrganisation->mName, done);
  };
  mEngine.AdmissionControl().Admit(*permit.mOrganisation, deadline, onVerdict);
}

void SessionRun::Route(Statement aStatement,
                       const RouteEntry& aRoute,
                       const std::string& aOrganisation,
                       peer::AnswerCallback aDone)
{
  auto step = mPlan.OnStatement(std::move(aStatement), aRoute, aOrganisation);
  std::visit([&](auto& aIt) { On(aIt, std::move(aDone)); }, step);
}

void SessionRun::On(const RefuseStatement& aStep, peer::AnswerCallback aDone)
{
  aDone(NotRun(aStep.mReason));
}

void SessionRun::On(RunStatement& aStep, peer::AnswerCallback aDone)
{
  auto request = aStep.mRequest;
  mEngine.Execute(
    std::move(aStep.mRequest),
    [self = shared_from_this(), request, done = std::move(aDone)](Answer aAnswer) {
      done(self->mPlan.OnAnswer(request, std::move(aAnswer)));
    });
}

void SessionRun::On(BeginTransaction& aStep, peer::AnswerCallback aDone)
{
  auto request = aStep.mRequest;
  mEngine.Begin(std::move(aStep.mRequest),
                [self = shared_from_this(), request, done = std::move(aDone)](
                  Answer aAnswer, peer::TransactionPtr aTransaction) {
                  self->mPlan.OnBegun(request, aTransaction != nullptr);
                  if (aTransaction) {
                    self->mTransaction = std::move(aTransaction);
                    ++self->mEngine.OpenWorkCount();
                  }
                  done(self->mPlan.OnAnswer(request, std::move(aAnswer)));
                });
}

void SessionRun::On(RunInTransaction& aStep, peer::AnswerCallback aDone)
{
  auto request = aStep.mRequest;
  mTransaction->Execute(
    std::move(aStep.mRequest),
    [self = shared_from_this(), request, done = std::move(aDone)](Answer aAnswer) {
      self->OnTransactionAnswer(request, std::move(aAnswer), done);
    });
}

void SessionRun::OnTransactionAnswer(const GroupRequest& aRequest,
                                     Answer aAnswer,
                                     const peer::AnswerCallback& aDone)
{
  auto step = mPlan.OnTransactionAnswer(aRequest, std::move(aAnswer));
  if (auto* settle = std::get_if<ResolveCommit>(&step)) {
    LOG(INFO) << LogLine("settle_commit").With("group", aRequest.mGroup);
    CloseTransaction();
    RunStatement lookup{ std::move(settle->mLookup) };
    On(lookup, aDone);
    return;
  }
  auto& deliver = std::get<DeliverAnswer>(step);
  if (deliver.mIsTransactionOver) {
    CloseTransaction();
  }
  aDone(std::move(deliver.mAnswer));
}

void SessionRun::CloseTransaction()
{
  mPlan.OnTransactionDropped();
  if (mTransaction) {
    mTransaction.reset();
    --mEngine.OpenWorkCount();
  }
}

} // namespace sesameway::daemon
