#pragma once

#include "sesameway/Statement.h"

#include <functional>
#include <memory>
#include <string>

namespace sesameway::caller {

// A caller's session at this daemon. Execute must not be called again before the
// previous statement's callback has run.
class Session
{
public:
  virtual ~Session() = default;
  virtual void Execute(Statement aStatement, std::function<void(Answer)> aDone) = 0;
};

// Opens sessions. `aKey` is the key that the caller presented, empty if it presented
// none.
class SessionFactory
{
public:
  virtual ~SessionFactory() = default;
  virtual std::shared_ptr<Session> Open(const std::string& aKey) = 0;
};

} // namespace sesameway::caller
