#pragma once

#include "sesameway/Statement.h"

#include <functional>
#include <memory>
#include <string>

namespace sesameway::caller {

// One caller's session at this daemon. Statements are taken one after the other.
class Session
{
public:
  virtual ~Session() = default;
  virtual void Execute(Statement aStatement, std::function<void(Answer)> aDone) = 0;
};

// Makes a session for the key that came with it; empty if none came.
class SessionFactory
{
public:
  virtual ~SessionFactory() = default;
  virtual std::shared_ptr<Session> Open(const std::string& aKey) = 0;
};

} // namespace sesameway::caller
