#include "log.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace gooseberry {

namespace {

auto
DaemonLogger() -> const log4cxx::LoggerPtr&
{
  static const auto logger = log4cxx::Logger::getLogger("gooseberryd");
  return logger;
}

// Quotes values that are empty or contain a space, a quote, '=' or a line
// break. Line breaks become spaces.
auto
QuoteIfNeeded(const std::string& aValue) -> std::string
{
  if (!aValue.empty() &&
      aValue.find_first_of(" \"\n\r=") == std::string::npos) {
    return aValue;
  }
  auto text = std::string{ "\"" };
  for (const auto character : aValue) {
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character == '\n' || character == '\r' ? ' ' : character;
  }
  return text + "\"";
}

auto
FormatLine(const char* aEvent, std::initializer_list<LogField> aFields)
  -> std::string
{
  auto text = std::string{ "event=" } + aEvent;
  for (const auto& field : aFields) {
    text += std::string{ " " } + field.key + "=" + QuoteIfNeeded(field.value);
  }
  return text;
}

} // namespace

auto
InitLog(const std::string& aLevel) -> void
{
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
    LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSSZ} level=%p %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
    layout, log4cxx::ConsoleAppender::getSystemErr());
  const auto root = log4cxx::Logger::getRootLogger();
  root->removeAllAppenders();
  root->addAppender(appender);
  root->setLevel(log4cxx::Level::toLevel(aLevel));
}

auto
LogInfo(const char* aEvent, std::initializer_list<LogField> aFields) -> void
{
  if (DaemonLogger()->isInfoEnabled()) {
    DaemonLogger()->forcedLog(log4cxx::Level::getInfo(),
                              FormatLine(aEvent, aFields));
  }
}

auto
LogWarn(const char* aEvent, std::initializer_list<LogField> aFields) -> void
{
  if (DaemonLogger()->isWarnEnabled()) {
    DaemonLogger()->forcedLog(log4cxx::Level::getWarn(),
                              FormatLine(aEvent, aFields));
  }
}

} // namespace gooseberry
