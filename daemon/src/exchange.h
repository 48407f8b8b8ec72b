#ifndef GOOSEBERRY_EXCHANGE_H
#define GOOSEBERRY_EXCHANGE_H

// One attempt to send a request to one backend server. It runs on its own
// thread and keeps itself alive until it has ended, even if no session waits
// for it any more. Only then is its slot at the backend server released.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>

#include <httplib.h>

#include "backendpool.h"
#include "connectionthreadpool.h"
#include "pipe.h"
#include "routing.h"
#include "verdict.h"

namespace gooseberry {

// Responses up to this length are buffered completely before they are
// forwarded, so that another attempt can still replace a truncated one.
constexpr std::size_t kMaxBufferedResponseBytes = 65536;

// What is sent to the backend server.
struct OutgoingRequest
{
  std::string method;
  std::string target;
  httplib::Headers headers;
  // The complete body; empty if upload is set.
  std::string body;
  std::shared_ptr<Pipe> upload;
  // Memory of the body or the upload, until the last attempt has ended; null if
  // there is neither.
  std::shared_ptr<ByteLease> bodyLease;
  // Length of the upload in bytes; absent if it is sent chunked.
  std::optional<std::size_t> uploadLength;
};

// Wakes a session when the state of one of its exchanges changes.
class ChangeNotifier
{
public:
  auto Notify() -> void;
  // Waits until more than aSeen notifications were made, at most until aUntil;
  // returns the number made so far.
  auto Wait(std::uint64_t aSeen, std::chrono::steady_clock::time_point aUntil)
    -> std::uint64_t;

private:
  std::mutex mutex;
  std::condition_variable changed;
  std::uint64_t changeCount = 0;
};

class Exchange : public std::enable_shared_from_this<Exchange>
{
public:
  Exchange(std::shared_ptr<const OutgoingRequest> aRequest,
           std::shared_ptr<Backend> aBackend,
           std::shared_ptr<BackendPool> aPool,
           const Clock& aClock,
           std::shared_ptr<ChangeNotifier> aSignal,
           std::shared_ptr<ByteBudget> aBodyBudget);

  // Runs the attempt on one of the given threads. aOnEnd is called last, after
  // the slot at the backend server was released.
  auto Start(ConnectionThreadPool& aThreads,
             Millis aTimeout,
             ConnectionChoice aConnectionChoice,
             std::function<void()> aOnEnd) -> void;
  // Closes the connection. The exchange ends as Cancelled, or as ConnectFailed
  // if nothing was sent, unless it already ended.
  auto Cancel() -> void;

  // Status, Headers, DeclaredLength and IsUnavailableResponse are valid once
  // this returns true.
  auto HasHeaders() const -> bool;
  auto Status() const -> int;
  auto Headers() const -> const httplib::Headers&;
  // Length of the response's body, if its headers declare one.
  auto DeclaredLength() const -> std::optional<std::size_t>;
  auto Body() -> Pipe&;
  // Whether the response is 503 with a Retry-After header: the backend server
  // accepts no requests now.
  auto IsUnavailableResponse() const -> bool;
  // How the exchange ended; empty while it runs.
  auto Outcome() const -> std::optional<AttemptEnd>;
  auto UsesReusedConnection() const -> bool;
  auto TargetBackend() const -> const std::shared_ptr<Backend>&;
  auto StartedAt() const -> Time;

private:
  auto Run(ConnectionChoice aConnectionChoice) -> void;
  auto HoldSlotIfAbandoned() const -> void;
  auto FinishUnsent() -> void;
  auto BuildRequest() -> httplib::Request;
  auto AddBufferedBody(httplib::Request& aOutgoing) const -> void;
  auto OnHeaders(const httplib::Response& aResponse) -> bool;
  auto ClassifyOutcome(bool aComplete,
                       httplib::Error aError,
                       Time aSentAt) const -> AttemptEnd;
  auto RecordOutcome(AttemptEnd aEnd, bool aComplete, Time aSentAt) -> void;

  const std::shared_ptr<const OutgoingRequest> request;
  const std::shared_ptr<Backend> backend;
  const std::shared_ptr<BackendPool> pool;
  const Clock& clock;
  const std::shared_ptr<ChangeNotifier> changeNotifier;
  const Time startedAt;
  Millis timeout{ 0 };
  Pipe body;

  mutable std::mutex mutex;
  std::unique_ptr<BackendConnection> connection;
  int status = 0;
  httplib::Headers headers;
  std::optional<AttemptEnd> outcome;
  std::atomic<bool> hasHeaders = false;
  std::atomic<bool> cancelled = false;
  std::atomic<bool> reusedConnection = false;
};

} // namespace gooseberry

#endif
