#pragma once

#include "sesameway/SharedConnection.h"
#include "sesameway/Time.h"

#include <string>

namespace sesameway::proxy {

// Answers that a session gives by itself.
ConnectionReply OwnReply(ReplyCode aCode, std::string aDetail, TransactionState aState);
// A reason with the time after which to come back, in milliseconds.
std::string RetryText(const std::string& aReason, TimePoint aRetryAt, TimePoint aNow);

} // namespace sesameway::proxy
