#ifndef GOOSEBERRY_REQUESTLOAD_H
#define GOOSEBERRY_REQUESTLOAD_H

// Open load on entries or on a service: requests arrive by a Poisson process,
// whether or not earlier ones were answered. A latency counts from the planned
// arrival, so that a stall is seen by every request that it delays.

#include <array>
#include <cstdint>
#include <string>
#include <vector>

#include "httpplatform.h"
#include "types.h"

namespace gooseberry {

struct LoadShape
{
  // The balancer in front of them is a turn per request.
  std::vector<HostPort> targets;
  std::string service;
  std::string path = "/work";
  double perSecond = 100.0;
  Millis duration{ 5000 };
  // Callers, each with one kept-alive connection per target.
  int callers = 64;
  int markedPercent = 0;
  std::size_t bodyBytes = 0;
  // Sent along as the request's deadline; 0 sends none.
  Millis deadline{ 0 };
  std::uint64_t seed = 1;
};

// What became of one request, from the caller's point of view.
enum class LoadAnswer
{
  Served,     // 2xx
  NotRun,     // refused with the verdict that it did not run
  MayHaveRun, // failed with any other verdict, or an error without one
  NoAnswer,
  LoadAnswer_NB
};

auto
ToText(LoadAnswer aAnswer) -> const char*;

struct LoadFigures
{
  std::array<std::size_t, static_cast<std::size_t>(LoadAnswer::LoadAnswer_NB)>
    answers{};
  // Latencies of the served requests, ascending.
  std::vector<Micros> latencies;
  // From the start to the last outcome.
  double seconds = 0.0;

  auto Count(LoadAnswer aAnswer) const -> std::size_t;
  // Served requests per second.
  auto Goodput() const -> double;
  // aShare from 0 to 1; zero if nothing was served.
  auto Quantile(double aShare) const -> Micros;
};

// Blocks until every request has its outcome.
auto
RunLoad(const LoadShape& aShape) -> LoadFigures;

} // namespace gooseberry

#endif
