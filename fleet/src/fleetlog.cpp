#include "fleetlog.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace gooseberry::fleet {

namespace {

// Lines that may wait for the writer; some hundred kilobytes at most.
constexpr std::size_t kMaxQueued = 200000;
// An empty line asks the writer to end.
const std::string kEnd;

auto
Quoted(const std::string& aValue) -> std::string
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
MakeLogger() -> log4cxx::LoggerPtr
{
  const auto layout = std::make_shared<log4cxx::PatternLayout>(
    LOG4CXX_STR("time=%d{yyyy-MM-ddTHH:mm:ss.SSS} %m%n"));
  const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
    layout, log4cxx::ConsoleAppender::getSystemOut());
  auto logger = log4cxx::Logger::getLogger("decisions");
  logger->removeAllAppenders();
  logger->setAdditivity(false);
  logger->addAppender(appender);
  logger->setLevel(log4cxx::Level::getInfo());
  return logger;
}

} // namespace

FleetLog::FleetLog(std::string aInstance)
  : instance(std::move(aInstance))
{
  this->lines.set_capacity(kMaxQueued);
  this->writer = std::thread([this] { this->Run(); });
}

FleetLog::~FleetLog()
{
  this->lines.push(kEnd);
  this->writer.join();
}

auto
FleetLog::Follows(const cells::JobId& /*aJob*/) const -> bool
{
  return true;
}

auto
FleetLog::Write(const char* aEvent,
                std::initializer_list<cells::DecisionField> aFields) -> void
{
  auto line = std::string{ "instance=" } + this->instance + " event=" + aEvent;
  for (const auto& field : aFields) {
    line += ' ';
    line += field.key;
    line += '=';
    line += Quoted(field.value);
  }
  if (!this->lines.try_push(std::move(line))) {
    this->dropped.fetch_add(1, std::memory_order_relaxed);
  }
}

auto
FleetLog::Dropped() const -> std::uint64_t
{
  return this->dropped.load(std::memory_order_relaxed);
}

auto
FleetLog::Run() -> void
{
  const auto logger = MakeLogger();
  auto line = std::string{};
  for (;;) {
    this->lines.pop(line);
    if (line.empty()) {
      return;
    }
    logger->forcedLog(log4cxx::Level::getInfo(), line);
  }
}

} // namespace gooseberry::fleet
