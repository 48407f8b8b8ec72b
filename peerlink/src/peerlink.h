#ifndef GOOSEBERRY_PEERLINK_H
#define GOOSEBERRY_PEERLINK_H

// Exchange of hints between instances. Send() never waits for the network: it
// merges the hint into one pending hint for each peer, which a single sender
// thread delivers. A peer that could not be reached gets no hints for 2 s.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "connectionthreadpool.h"
#include "hint.h"
#include "peerconnection.h"

namespace gooseberry {

// Interface for sending hints; tests and benchmarks substitute their own.
class HintSender
{
public:
  virtual ~HintSender() = default;
  // aAddress: host:port on which the peer's link listens.
  virtual auto Send(const std::string& aAddress, const Hint& aHint) -> void = 0;
};

// Events that the link reports for its counters.
enum class PeerEvent
{
  Sent,
  Unreachable, // not sent, or not acknowledged in time
  Received,
  Invalid, // received, but not a valid hint
  PeerEvent_NB
};

auto
ToText(PeerEvent aEvent) -> const char*;

class PeerLink : public HintSender
{
public:
  using OnHint = std::function<void(const Hint&)>;
  using OnEvent = std::function<void(PeerEvent)>;

  PeerLink(OnHint aOnHint, OnEvent aOnEvent);
  PeerLink(const PeerLink&) = delete;
  auto operator=(const PeerLink&) -> PeerLink& = delete;
  ~PeerLink() override;

  // Listens on host:port and starts the threads. Returns false, with the reason
  // in aReason, if it can't listen there.
  auto Start(const std::string& aAddress, std::string& aReason) -> bool;
  auto Stop() -> void;
  auto Send(const std::string& aAddress, const Hint& aHint) -> void override;

private:
  struct Peer
  {
    std::unique_ptr<PeerConnection> connection;
    std::chrono::steady_clock::time_point retryAt{};
  };

  auto AcceptLoop() -> void;
  auto Serve(int aSocket) -> void;
  auto SendLoop() -> void;
  auto SendToPeer(const std::string& aAddress, const Hint& aHint) -> bool;

  const OnHint onHint;
  const OnEvent onEvent;
  std::atomic<bool> stopping = false;
  int listenSocket = -1;
  std::thread acceptThread;
  std::thread senderThread;
  ConnectionThreadPool connectionThreads;

  std::mutex mutex;
  std::condition_variable queueChanged;
  std::map<std::string, Hint> queue;
  // Accessed only by the sender thread.
  std::map<std::string, Peer> peers;
};

} // namespace gooseberry

#endif
