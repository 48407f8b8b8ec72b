#ifndef GOOSEBERRY_LOAD_H
#define GOOSEBERRY_LOAD_H

// Callers that send requests through the entries and check each answer.

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "observer.h"

namespace gooseberry::test {

struct LoadOptions
{
  // Ports of the entries; a caller that finds one closed goes to the next.
  std::vector<int> entries;
  int callers = 8;
  // Share of requests that are marked as not repeatable, in percent.
  int markedPercent = 30;
  // Share that asks for a chunked answer, in percent.
  int chunkedPercent = 20;
  int pauseMs = 1;
  std::uint64_t seed = 1;
};

class Load
{
public:
  explicit Load(LoadOptions aOptions);
  Load(const Load&) = delete;
  auto operator=(const Load&) -> Load& = delete;
  ~Load();

  // Ends all callers and returns what they saw.
  auto Finish() -> std::vector<CallerView>;
  auto Sent() const -> int;
  // The balancer stops choosing this entry.
  auto TakeOut(int aEntry) -> void;
  auto PutBack(int aEntry) -> void;

private:
  auto RunCaller(int aIndex) -> void;

  const LoadOptions options;
  std::vector<std::thread> callers;
  std::vector<std::unique_ptr<std::atomic<bool>>> usable;
  std::atomic<bool> ending = false;
  std::atomic<int> sent = 0;
  std::mutex mutex;
  std::vector<CallerView> views;
};

} // namespace gooseberry::test

#endif
