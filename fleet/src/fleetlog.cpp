#include "fleetlog.h"

#include <algorithm>
#include <array>
#include <string_view>

#include <fcntl.h>
#include <unistd.h>

#include <log4cxx/consoleappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

namespace gooseberry::fleet {

namespace {

// Most lines that wait for the writer; some hundred kilobytes.
constexpr std::size_t kMaxQueuedLines = 4000;
// How long the destructor waits for the queued lines to be written; any reader
// that still reads takes far less.
constexpr Millis kFlushTimeout{ 500 };
// Interval at which it retries to queue the stop line.
constexpr Millis kShutdownCheckInterval{ 5 };
// An empty line tells the writer to stop.
const std::string kStopLine;

// Adds quotation marks and escapes where the value needs them; line breaks
// become blanks.
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

// Events that occur many times per job; refusals, losses and ends of jobs are
// not among them.
auto
IsFrequentJobEvent(std::string_view aEvent) -> bool
{
  constexpr std::array<std::string_view, 4> kSteps{
    "run_planned", "start_answered", "run_ended", "run_paced"
  };
  return std::find(kSteps.begin(), kSteps.end(), aEvent) != kSteps.end();
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

LogBudget::LogBudget(LogLimits aLimits)
  : limits(aLimits)
  , shareOfJobs(aLimits.shareOfJobs)
{
}

auto
LogBudget::IsSampled(const cells::JobId& aJob) const -> bool
{
  constexpr std::uint64_t kParts = 10000;
  return static_cast<double>(aJob.Hash() % kParts) <
         this->shareOfJobs * static_cast<double>(kParts);
}

auto
LogBudget::ShareOfJobs() const -> double
{
  return this->shareOfJobs;
}

auto
LogBudget::EndSecond(Time aNow) -> void
{
  constexpr double kLeastShare = 1.0 / 64;
  constexpr std::int64_t kFewParts = 3;
  if (this->refusedThisSecond > 0) {
    this->shareOfJobs =
      std::max(this->shareOfJobs / 2, std::min(kLeastShare, this->shareOfJobs));
  } else if (this->linesTaken * kFewParts < this->limits.linesPerSecond) {
    this->shareOfJobs =
      std::min(this->shareOfJobs * 2, this->limits.shareOfJobs);
  }
  this->secondStart = aNow;
  this->linesTaken = 0;
  this->refusedBefore += std::exchange(this->refusedThisSecond, 0);
}

auto
LogBudget::TryTake(Time aNow, bool aIsFrequentEvent) -> bool
{
  if (aNow >= this->secondStart + std::chrono::seconds{ 1 }) {
    this->EndSecond(aNow);
  }
  // The last fifth is reserved for lines other than frequent events of jobs.
  constexpr std::int64_t kParts = 5;
  const auto lineLimit =
    this->limits.linesPerSecond -
    (aIsFrequentEvent ? this->limits.linesPerSecond / kParts : 0);
  if (this->linesTaken >= lineLimit) {
    ++this->refusedThisSecond;
    return false;
  }
  ++this->linesTaken;
  return true;
}

auto
LogBudget::TakeRefusedLines() -> std::uint64_t
{
  return std::exchange(this->refusedBefore, 0);
}

FleetLog::FleetLog(std::string aInstance, LogLimits aLimits)
  : instance(std::move(aInstance))
  , budget(aLimits)
{
  this->lineQueue->set_capacity(kMaxQueuedLines);
  auto writerTask = std::packaged_task<void()>{ [queue = this->lineQueue] {
    RunWriter(*queue);
  } };
  this->writerDone = writerTask.get_future();
  this->writer = std::thread(std::move(writerTask));
}

FleetLog::~FleetLog()
{
  const auto deadline = std::chrono::steady_clock::now() + kFlushTimeout;
  auto stopQueued = this->lineQueue->try_push(kStopLine);
  while (!stopQueued && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kShutdownCheckInterval);
    stopQueued = this->lineQueue->try_push(kStopLine);
  }
  if (stopQueued &&
      this->writerDone.wait_until(deadline) == std::future_status::ready) {
    this->writer.join();
    return;
  }
  // The writer is blocked because nobody reads the output. Redirect standard
  // output, so that the end of the process does not block on it as well.
  this->writer.detach();
  if (const auto devNull = ::open("/dev/null", O_WRONLY | O_CLOEXEC);
      devNull >= 0) {
    ::dup2(devNull, STDOUT_FILENO);
    ::close(devNull);
  }
}

auto
FleetLog::IsSampled(const cells::JobId& aJob) const -> bool
{
  return this->budget.IsSampled(aJob);
}

auto
FleetLog::Write(const char* aEvent,
                std::initializer_list<cells::DecisionField> aFields) -> void
{
  const auto now = std::chrono::floor<Micros>(std::chrono::steady_clock::now());
  if (!this->budget.TryTake(now, IsFrequentJobEvent(aEvent))) {
    this->droppedLines.fetch_add(1, std::memory_order_relaxed);
    return;
  }
  if (const auto leftOut = this->budget.TakeRefusedLines(); leftOut > 0) {
    this->Enqueue("instance=" + this->instance +
                  " event=lines_left_out lines=" + std::to_string(leftOut) +
                  " share=" + std::to_string(this->budget.ShareOfJobs()));
  }
  auto line = std::string{ "instance=" } + this->instance + " event=" + aEvent;
  for (const auto& field : aFields) {
    line += ' ';
    line += field.key;
    line += '=';
    line += QuoteIfNeeded(field.value);
  }
  this->Enqueue(std::move(line));
}

auto
FleetLog::Enqueue(std::string aLine) -> void
{
  if (!this->lineQueue->try_push(std::move(aLine))) {
    this->droppedLines.fetch_add(1, std::memory_order_relaxed);
  }
}

auto
FleetLog::DroppedLines() const -> std::uint64_t
{
  return this->droppedLines.load(std::memory_order_relaxed);
}

auto
FleetLog::RunWriter(LineQueue& aLines) -> void
{
  const auto logger = MakeLogger();
  auto line = std::string{};
  for (;;) {
    aLines.pop(line);
    if (line.empty()) {
      return;
    }
    logger->forcedLog(log4cxx::Level::getInfo(), line);
  }
}

} // namespace gooseberry::fleet
