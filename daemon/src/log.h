#ifndef GOOSEBERRY_LOG_H
#define GOOSEBERRY_LOG_H

// Structured log lines of key=value pairs. Only state changes are logged;
// frequent events are counted in metrics instead.

#include <initializer_list>
#include <string>
#include <utility>

namespace gooseberry {

struct LogField
{
  const char* key;
  std::string value;
};

// Logs to standard error, from the given log4cxx level upwards.
auto
InitLog(const std::string& aLevel) -> void;

auto
LogInfo(const char* aEvent, std::initializer_list<LogField> aFields) -> void;
auto
LogWarn(const char* aEvent, std::initializer_list<LogField> aFields) -> void;

} // namespace gooseberry

#endif
