#pragma once

#include "sesameway/SharedConnection.h"
#include "sesameway/Time.h"

#include <string>

namespace sesameway::proxy {

// Makes a reply that comes from the proxy itself and not from a database.
ConnectionReply OwnReply(ReplyCode aCode, std::string aDetail, TransactionState aState);
// Makes the reply to a batch of which nothing was sent to a database.
ConnectionReply UnsentReply(ReplyCode aCode, std::string aDetail, TimePoint aRetryAt);
// Formats a reason with the time in milliseconds after which the caller should retry.
std::string RetryText(const std::string& aReason, TimePoint aRetryAt, TimePoint aNow);

} // namespace sesameway::proxy
