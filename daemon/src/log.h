#ifndef GOOSEBERRY_LOG_H
#define GOOSEBERRY_LOG_H

// Structured log lines, key=value, for changes of state only; what happens
// often is counted instead.

#include <initializer_list>
#include <string>
#include <utility>

namespace gooseberry {

struct LogField
{
  const char* key;
  std::string value;
};

// Sends lines to standard error from the given level on.
auto
StartLog(const std::string& aLevel) -> void;

auto
LogInfo(const char* aEvent, std::initializer_list<LogField> aFields) -> void;
auto
LogWarn(const char* aEvent, std::initializer_list<LogField> aFields) -> void;

} // namespace gooseberry

#endif
