#pragma once

#include "sesameway/SharedConnection.h"
#include "sesameway/Time.h"

#include <string>

namespace sesameway::proxy {

// Makes a reply that comes from the proxy itself and not from a database.
ConnectionReply OwnReply(ReplyCode aCode, std::string aDetail, TransactionState aState);
// Formats a reason with the time in milliseconds after which the caller should retry.
std::string RetryText(const std::string& aReason, TimePoint aRetryAt, TimePoint aNow);

} // namespace sesameway::proxy
