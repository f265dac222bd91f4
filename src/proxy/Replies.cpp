#include "proxy/Replies.h"

#include <algorithm>
#include <utility>

namespace sesameway::proxy {

ConnectionReply OwnReply(ReplyCode aCode, std::string aDetail, TransactionState aState)
{
  ConnectionReply reply;
  reply.mCode = aCode;
  reply.mDetail = std::move(aDetail);
  reply.mTransaction = aState;
  return reply;
}

ConnectionReply UnsentReply(ReplyCode aCode, std::string aDetail, TimePoint aRetryAt)
{
  auto reply = OwnReply(aCode, std::move(aDetail), TransactionState::None);
  reply.mRetryAt = aRetryAt;
  return reply;
}

std::string RetryText(const std::string& aReason, TimePoint aRetryAt, TimePoint aNow)
{
  auto wait = std::max(aRetryAt - aNow, Duration::zero());
  return aReason + " retry_after_ms=" + std::to_string(Millis(wait));
}

} // namespace sesameway::proxy
