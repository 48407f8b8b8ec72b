#ifndef GOOSEBERRY_EXCHANGE_H
#define GOOSEBERRY_EXCHANGE_H

// One attempt of a request at one backend server. It runs on a thread of its
// own and keeps itself alive until it has ended, also when nobody waits for it
// any more; only then is its place at the backend server given back.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <httplib.h>

#include "backendpool.h"
#include "connectionthreads.h"
#include "pipe.h"
#include "routing.h"
#include "verdict.h"

namespace gooseberry {

// What is sent to the backend server.
struct OutgoingRequest
{
  std::string method;
  std::string target;
  httplib::Headers headers;
  // The whole body, or nothing if upload is set.
  std::string body;
  std::shared_ptr<Pipe> upload;
  // Length of the upload; absent if it is chunked.
  std::optional<std::size_t> uploadLength;
};

// Tells that some exchange of a request has news.
class Signal
{
public:
  auto Raise() -> void;
  // Waits for the next Raise() after aSeen; returns the count of raises.
  auto Wait(std::uint64_t aSeen, std::chrono::steady_clock::time_point aUntil)
    -> std::uint64_t;

private:
  std::mutex mutex;
  std::condition_variable raised;
  std::uint64_t count = 0;
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(std::shared_ptr<const OutgoingRequest> aRequest,
           std::shared_ptr<Backend> aBackend,
           std::shared_ptr<BackendPool> aPool,
           const Clock& aClock,
           std::shared_ptr<Signal> aSignal);

  // Runs on the given threads. aOnEnd is called last, when the place at the
  // backend server is free again.
  auto Start(ConnectionThreads& aThreads,
             Millis aTimeout,
             ConnectionChoice aChoice,
             std::function<void()> aOnEnd) -> void;
  // Breaks the connection off; the outcome is then Cancelled.
  auto Cancel() -> void;

  // Valid once HasHeaders().
  auto HasHeaders() const -> bool;
  auto Status() const -> int;
  auto Headers() const -> const httplib::Headers&;
  auto Body() -> Pipe&;
  // Whether the answer says that the backend server takes nothing now and when
  // to come back.
  auto SaysUnavailable() const -> bool;
  // Set once the exchange has ended.
  auto End() const -> std::optional<AttemptEnd>;
  auto OnReusedConnection() const -> bool;
  auto Target() const -> const std::shared_ptr<Backend>&;
  auto StartedAt() const -> Time;

private:
  auto Run(ConnectionChoice aChoice) -> void;
  auto AwaitAbandoned() const -> void;
  auto EndUnsent() -> void;
  auto Build() -> httplib::Request;
  auto OnHeaders(const httplib::Response& aResponse) -> bool;
  auto Judge(bool aSucceeded, httplib::Error aError, Time aSentAt) const
    -> AttemptEnd;
  auto Record(AttemptEnd aEnd, bool aWholeAnswer, Time aSentAt) -> void;

  const std::shared_ptr<const OutgoingRequest> request;
  const std::shared_ptr<Backend> backend;
  const std::shared_ptr<BackendPool> pool;
  const Clock& clock;
  const std::shared_ptr<Signal> signal;
  const Time startedAt;
  Millis timeout{ 0 };
  Pipe body;

  mutable std::mutex mutex;
  std::unique_ptr<BackendConnection> connection;
  int status = 0;
  httplib::Headers headers;
  std::optional<AttemptEnd> end;
  std::atomic<bool> hasHeaders = false;
  std::atomic<bool> cancelled = false;
  std::atomic<bool> reused = false;
};

} // namespace gooseberry

#endif
