#include "exchange.h"

#include <algorithm>
#include <array>
#include <thread>

#include "connectionthreadpool.h"
#include "httpstatus.h"

namespace gooseberry {

namespace {

constexpr std::size_t kResponseBufferBytes = 262144;

// Limit on how long an abandoned request keeps its slot.
constexpr Millis kMaxAbandonedSlotHold{ 1000 };

} // namespace

auto
ChangeNotifier::Notify() -> void
{
  const auto lock = std::lock_guard{ this->mutex };
  ++this->changeCount;
  this->changed.notify_all();
}

auto
ChangeNotifier::Wait(std::uint64_t aSeen,
                     std::chrono::steady_clock::time_point aUntil)
  -> std::uint64_t
{
  auto lock = std::unique_lock{ this->mutex };
  this->changed.wait_until(
    lock, aUntil, [&] { return this->changeCount > aSeen; });
  return this->changeCount;
}

Exchange::Exchange(std::shared_ptr<const OutgoingRequest> aRequest,
                   std::shared_ptr<Backend> aBackend,
                   std::shared_ptr<BackendPool> aPool,
                   const Clock& aClock,
                   std::shared_ptr<ChangeNotifier> aSignal,
                   std::shared_ptr<ByteBudget> aBodyBudget)
  : request(std::move(aRequest))
  , backend(std::move(aBackend))
  , pool(std::move(aPool))
  , clock(aClock)
  , changeNotifier(std::move(aSignal))
  , startedAt(aClock.Now())
  , body(kResponseBufferBytes, std::move(aBodyBudget))
{
}

auto
Exchange::Start(ConnectionThreadPool& aThreads,
                Millis aTimeout,
                ConnectionChoice aConnectionChoice,
                std::function<void()> aOnEnd) -> void
{
  this->timeout = aTimeout;
  aThreads.enqueue([self = this->shared_from_this(),
                    aConnectionChoice,
                    onEnd = std::move(aOnEnd)] {
    self->Run(aConnectionChoice);
    self->HoldSlotIfAbandoned();
    self->backend->ReleaseSlot();
    onEnd();
  });
}

auto
Exchange::Cancel() -> void
{
  const auto lock = std::lock_guard{ this->mutex };
  this->cancelled = true;
  this->body.Close(PipeState::Aborted);
  if (this->connection) {
    this->connection->client->stop();
  }
}

auto
Exchange::HasHeaders() const -> bool
{
  return this->hasHeaders;
}

auto
Exchange::Status() const -> int
{
  return this->status;
}

auto
Exchange::Headers() const -> const httplib::Headers&
{
  return this->headers;
}

auto
Exchange::DeclaredLength() const -> std::optional<std::size_t>
{
  const auto length = this->headers.find("Content-Length");
  if (length == this->headers.end()) {
    return std::nullopt;
  }
  return std::strtoull(length->second.c_str(), nullptr, 10);
}

auto
Exchange::Body() -> Pipe&
{
  return this->body;
}

auto
Exchange::IsUnavailableResponse() const -> bool
{
  return this->status == kUnavailable && this->headers.contains("Retry-After");
}

auto
Exchange::Outcome() const -> std::optional<AttemptEnd>
{
  const auto lock = std::lock_guard{ this->mutex };
  return this->outcome;
}

auto
Exchange::UsesReusedConnection() const -> bool
{
  return this->reusedConnection;
}

auto
Exchange::TargetBackend() const -> const std::shared_ptr<Backend>&
{
  return this->backend;
}

auto
Exchange::StartedAt() const -> Time
{
  return this->startedAt;
}

auto
Exchange::Run(ConnectionChoice aConnectionChoice) -> void
{
  auto borrowed = this->pool->Borrow(aConnectionChoice);
  auto* client = borrowed->client.get();
  client->set_read_timeout(this->timeout);
  client->set_write_timeout(this->timeout);
  this->reusedConnection = borrowed->lastResponseAt.has_value();
  {
    const auto lock = std::lock_guard{ this->mutex };
    if (!this->cancelled) {
      this->connection = std::move(borrowed);
    }
  }
  if (borrowed) {
    this->FinishUnsent();
    return;
  }
  auto outgoing = this->BuildRequest();
  auto response = httplib::Response{};
  auto error = httplib::Error::Success;
  const auto sentAt = this->clock.Now();
  const auto succeeded = client->send(outgoing, response, error);
  const auto complete = succeeded && !this->cancelled;
  this->RecordOutcome(
    this->ClassifyOutcome(complete, error, sentAt), complete, sentAt);
}

// A backend server continues to work on a request that was cancelled or timed
// out, so its slot stays taken for the server's usual latency.
auto
Exchange::HoldSlotIfAbandoned() const -> void
{
  const auto attemptEnd = this->Outcome();
  if (attemptEnd != AttemptEnd::Cancelled &&
      attemptEnd != AttemptEnd::TimedOut) {
    return;
  }
  const auto usualLatency = Micros{ this->backend->LatencyMicros() };
  std::this_thread::sleep_for(
    std::min<Micros>(usualLatency, kMaxAbandonedSlotHold));
}

// Ends an exchange that was cancelled before anything was sent.
auto
Exchange::FinishUnsent() -> void
{
  {
    const auto lock = std::lock_guard{ this->mutex };
    this->outcome = AttemptEnd::ConnectFailed;
  }
  this->body.Close(PipeState::Aborted);
  this->changeNotifier->Notify();
}

auto
Exchange::BuildRequest() -> httplib::Request
{
  auto outgoing = httplib::Request{};
  outgoing.method = this->request->method;
  outgoing.path = this->request->target;
  outgoing.headers = this->request->headers;
  outgoing.response_handler = [this](const httplib::Response& aResponse) {
    return this->OnHeaders(aResponse);
  };
  outgoing.content_receiver = [this](const char* aData,
                                     std::size_t aSize,
                                     std::uint64_t /*aOffset*/,
                                     std::uint64_t /*aTotal*/) {
    return this->body.Write(aData, aSize);
  };
  if (!this->request->upload) {
    this->AddBufferedBody(outgoing);
    return outgoing;
  }
  const auto upload = this->request->upload;
  const auto chunked = !this->request->uploadLength.has_value();
  outgoing.is_chunked_content_provider_ = chunked;
  outgoing.content_length_ = this->request->uploadLength.value_or(0);
  outgoing.content_provider_ =
    [upload, chunked](std::size_t, std::size_t, httplib::DataSink& aSink) {
      auto part = std::array<char, kPipeReadBytes>{};
      const auto size = upload->Read(part.data(), part.size());
      if (size > 0) {
        return aSink.write(part.data(), size);
      }
      if (upload->State() != PipeState::Complete) {
        return false;
      }
      if (chunked) {
        aSink.done();
      }
      return chunked;
    };
  return outgoing;
}

// The body is sent from the request that all attempts share: a copy for each
// would take as much memory again.
auto
Exchange::AddBufferedBody(httplib::Request& aOutgoing) const -> void
{
  const auto& buffered = this->request->body;
  if (buffered.empty()) {
    return;
  }
  if (!aOutgoing.has_header("Content-Type")) {
    // The library adds this to a body that it holds itself.
    aOutgoing.set_header("Content-Type", "text/plain");
  }
  aOutgoing.content_length_ = buffered.size();
  aOutgoing.content_provider_ =
    [request = this->request](
      std::size_t aOffset, std::size_t aLength, httplib::DataSink& aSink) {
      return aSink.write(request->body.data() + aOffset, aLength);
    };
}

auto
Exchange::OnHeaders(const httplib::Response& aResponse) -> bool
{
  {
    const auto lock = std::lock_guard{ this->mutex };
    this->status = aResponse.status;
    this->headers = aResponse.headers;
  }
  if (const auto length = this->DeclaredLength();
      length && *length <= kMaxBufferedResponseBytes) {
    // The session forwards it only once the pipe holds all of it.
    this->body.Guarantee(*length);
  }
  this->hasHeaders = true;
  this->changeNotifier->Notify();
  return !this->cancelled;
}

auto
Exchange::ClassifyOutcome(bool aComplete,
                          httplib::Error aError,
                          Time aSentAt) const -> AttemptEnd
{
  if (aComplete) {
    return AttemptEnd::Answered;
  }
  if (aError == httplib::Error::Connection ||
      aError == httplib::Error::ConnectionTimeout) {
    return AttemptEnd::ConnectFailed;
  }
  if (this->cancelled) {
    return AttemptEnd::Cancelled;
  }
  const auto timedOut = this->clock.Now() - aSentAt >= this->timeout;
  return timedOut ? AttemptEnd::TimedOut : AttemptEnd::ConnectionBroken;
}

// Stores the outcome, updates the state of the connection pool and of the
// backend server accordingly, and notifies the session.
auto
Exchange::RecordOutcome(AttemptEnd aEnd, bool aComplete, Time aSentAt) -> void
{
  const auto now = this->clock.Now();
  auto usedConnection = std::unique_ptr<BackendConnection>{};
  {
    const auto lock = std::lock_guard{ this->mutex };
    usedConnection = std::move(this->connection);
    this->outcome = aEnd;
  }
  if (aComplete) {
    const auto header = this->headers.find("Connection");
    const auto announcesClose =
      header != this->headers.end() && header->second == "close";
    if (announcesClose || this->IsUnavailableResponse()) {
      this->backend->OnLeavingNotice(now);
    } else {
      this->pool->Return(std::move(usedConnection));
    }
    this->backend->OnResponse(now, (now - aSentAt).count());
  } else if (aEnd != AttemptEnd::Cancelled) {
    if (usedConnection && usedConnection->lastResponseAt) {
      // The connection alone may have failed, so this does not count as a
      // failure of the backend server.
      this->pool->CloseNotUsedAfter(*usedConnection->lastResponseAt);
    } else {
      this->backend->OnFailure(now);
    }
  }
  this->body.Close(aComplete ? PipeState::Complete : PipeState::Aborted);
  if (this->request->upload) {
    // Nothing reads the upload any more; the caller's thread must not wait for
    // space in it.
    this->request->upload->Close(PipeState::Aborted);
  }
  this->changeNotifier->Notify();
}

} // namespace gooseberry
