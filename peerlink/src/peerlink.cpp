#include "peerlink.h"

#include <algorithm>
#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "httpplatform.h"
#include "waitforsocket.h"

namespace gooseberry {

namespace {

// Connections that are served concurrently; further ones wait in a queue.
constexpr std::size_t kMaxConnections = 64;
// Connections that may wait; further ones are closed.
constexpr std::size_t kMaxQueuedConnections = 64;
// A connection ends when no valid message arrives for this long: the first one,
// a later one, and any while other connections wait. A peer that finds its
// connection closed opens another.
constexpr std::chrono::seconds kFirstMessageTimeout{ 5 };
constexpr std::chrono::seconds kMessageTimeout{ 60 };
constexpr std::chrono::seconds kMessageTimeoutUnderPressure{ 1 };
// Pause after a failed accept, such as when there is no free descriptor.
constexpr Millis kAcceptRetryDelay{ 100 };
constexpr int kListenBacklog = 64;
constexpr Millis kStopCheckInterval{ 500 };
constexpr Millis kConnectTimeout{ 300 };
constexpr Millis kPostTimeout{ 500 };
// Time for which a peer that could not be reached gets no hints.
constexpr std::chrono::seconds kRest{ 2 };
constexpr std::size_t kMaxPeers = 64;

constexpr std::array<const char*,
                     static_cast<std::size_t>(PeerEvent::PeerEvent_NB)>
  kEventTexts{ "sent", "unreachable", "received", "refused" };

auto
ToSocketAddress(const HostPort& aAddress) -> std::optional<sockaddr_in>
{
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aAddress.port));
  if (::inet_pton(AF_INET, aAddress.host.c_str(), &address.sin_addr) != 1) {
    return std::nullopt;
  }
  return address;
}

// Returns a connected blocking socket, or -1 if the address is malformed or the
// connection is not established within kConnectTimeout.
auto
Connect(const std::string& aAddress) -> int
{
  const auto parsed = ParseHostPort(aAddress);
  const auto address = parsed ? ToSocketAddress(*parsed) : std::nullopt;
  if (!address) {
    return -1;
  }
  const auto socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  constexpr int kOn = 1;
  ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &kOn, sizeof kOn);
  const auto connectResult = ::connect(
    socket, reinterpret_cast<const sockaddr*>(&*address), sizeof *address);
  if (connectResult != 0 && errno != EINPROGRESS) {
    ::close(socket);
    return -1;
  }
  auto socketError = 0;
  auto size = socklen_t{ sizeof socketError };
  if (!WaitForSocket(socket, POLLOUT, kConnectTimeout) ||
      ::getsockopt(socket, SOL_SOCKET, SO_ERROR, &socketError, &size) != 0 ||
      socketError != 0) {
    ::close(socket);
    return -1;
  }
  ::fcntl(socket, F_SETFL, ::fcntl(socket, F_GETFL) & ~O_NONBLOCK);
  return socket;
}

auto
MergeHint(Hint& aTarget, const Hint& aHint) -> void
{
  aTarget.document = std::max(aTarget.document, aHint.document);
  for (const auto shard : aHint.inboxes) {
    const auto known =
      std::find(aTarget.inboxes.begin(), aTarget.inboxes.end(), shard);
    if (known == aTarget.inboxes.end()) {
      aTarget.inboxes.push_back(shard);
    }
  }
}

} // namespace

auto
ToText(PeerEvent aEvent) -> const char*
{
  return kEventTexts[static_cast<std::size_t>(aEvent)];
}

PeerLink::PeerLink(OnHint aOnHint, OnEvent aOnEvent)
  : onHint(std::move(aOnHint))
  , onEvent(std::move(aOnEvent))
  , connectionThreads(kMaxConnections, kMaxQueuedConnections)
{
}

PeerLink::~PeerLink()
{
  this->Stop();
}

auto
PeerLink::Start(const std::string& aAddress, std::string& aReason) -> bool
{
  const auto parsed = ParseHostPort(aAddress);
  const auto address = parsed ? ToSocketAddress(*parsed) : std::nullopt;
  this->listenSocket = ::socket(AF_INET, SOCK_STREAM, 0);
  constexpr int kOn = 1;
  ::setsockopt(this->listenSocket, SOL_SOCKET, SO_REUSEADDR, &kOn, sizeof kOn);
  if (!address ||
      ::bind(this->listenSocket,
             reinterpret_cast<const sockaddr*>(&*address),
             sizeof *address) != 0 ||
      ::listen(this->listenSocket, kListenBacklog) != 0) {
    ::close(this->listenSocket);
    this->listenSocket = -1;
    aReason = "cannot bind " + aAddress;
    return false;
  }
  this->acceptThread = std::thread([this] { this->AcceptLoop(); });
  this->senderThread = std::thread([this] { this->SendLoop(); });
  return true;
}

auto
PeerLink::Stop() -> void
{
  {
    // Without the lock, the sender thread may miss the notification between its
    // look at `stopping` and its wait, and never end.
    const auto lock = std::lock_guard{ this->mutex };
    if (this->stopping.exchange(true) || this->listenSocket < 0) {
      return;
    }
  }
  this->queueChanged.notify_all();
  this->acceptThread.join();
  this->senderThread.join();
  this->connectionThreads.shutdown();
  ::close(this->listenSocket);
}

auto
PeerLink::Send(const std::string& aAddress, const Hint& aHint) -> void
{
  const auto lock = std::lock_guard{ this->mutex };
  MergeHint(this->queue[aAddress], aHint);
  this->queueChanged.notify_one();
}

auto
PeerLink::AcceptLoop() -> void
{
  while (!this->stopping) {
    if (!WaitForSocket(this->listenSocket, POLLIN, kStopCheckInterval)) {
      continue;
    }
    const auto socket = ::accept(this->listenSocket, nullptr, nullptr);
    if (socket >= 0) {
      this->connectionThreads.enqueue([this, socket] { this->Serve(socket); });
    } else {
      std::this_thread::sleep_for(kAcceptRetryDelay);
    }
  }
}

auto
PeerLink::Serve(int aSocket) -> void
{
  if (ConnectionThreadPool::IsRefusing()) {
    ::close(aSocket);
    return;
  }
  auto connection = PeerConnection{ aSocket, [this](const std::string& aBody) {
                                     auto reason = std::string{};
                                     const auto hint =
                                       DecodeHint(aBody, reason);
                                     this->onEvent(hint ? PeerEvent::Received
                                                        : PeerEvent::Invalid);
                                     if (hint) {
                                       this->onHint(*hint);
                                     }
                                     return hint.has_value();
                                   } };
  auto messages = std::size_t{ 0 };
  auto messageAt = std::chrono::steady_clock::now();
  while (!this->stopping && connection.ProcessIo(kStopCheckInterval)) {
    const auto now = std::chrono::steady_clock::now();
    if (messages != connection.AcceptedMessages()) {
      messages = connection.AcceptedMessages();
      messageAt = now;
    }
    const auto timeout = ConnectionThreadPool::HasWaitingWork()
                           ? kMessageTimeoutUnderPressure
                         : messages == 0 ? kFirstMessageTimeout
                                         : kMessageTimeout;
    if (now - messageAt >= timeout) {
      return;
    }
  }
}

auto
PeerLink::SendLoop() -> void
{
  for (;;) {
    auto pendingHints = std::map<std::string, Hint>{};
    {
      auto lock = std::unique_lock{ this->mutex };
      this->queueChanged.wait(
        lock, [this] { return this->stopping || !this->queue.empty(); });
      if (this->stopping) {
        return;
      }
      pendingHints.swap(this->queue);
    }
    for (const auto& [address, hint] : pendingHints) {
      const auto sent = this->SendToPeer(address, hint);
      this->onEvent(sent ? PeerEvent::Sent : PeerEvent::Unreachable);
    }
  }
}

auto
PeerLink::SendToPeer(const std::string& aAddress, const Hint& aHint) -> bool
{
  const auto now = std::chrono::steady_clock::now();
  if (this->peers.size() > kMaxPeers) {
    this->peers.clear();
  }
  auto& peer = this->peers[aAddress];
  if (now < peer.retryAt) {
    return false;
  }
  const auto body = EncodeHint(aHint);
  // The peer may have closed the connection while it was idle: if the post
  // fails, tries once more on a new connection.
  if (peer.connection && peer.connection->Post(body, kPostTimeout)) {
    return true;
  }
  peer.connection.reset();
  const auto socket = Connect(aAddress);
  if (socket >= 0) {
    peer.connection = std::make_unique<PeerConnection>(socket, nullptr);
  }
  if (peer.connection && peer.connection->Post(body, kPostTimeout)) {
    return true;
  }
  peer.connection.reset();
  peer.retryAt = now + kRest;
  return false;
}

} // namespace gooseberry
