#ifndef GOOSEBERRY_PEERLINK_H
#define GOOSEBERRY_PEERLINK_H

// Exchange of hints between instances. Sending never blocks the sender: the
// newest hints for each peer wait for one thread, and a peer that does not
// answer is left alone for a while.

#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>

#include "connectionthreads.h"
#include "hint.h"
#include "peerconnection.h"

namespace gooseberry {

// Where hints go; tests and benches put another in its place.
class HintSender
{
public:
  virtual ~HintSender() = default;
  // aAddress: host:port of the peer's link.
  virtual auto Send(const std::string& aAddress, const Hint& aHint) -> void = 0;
};

// Events that are counted.
enum class PeerEvent
{
  Sent,
  Unreachable, // not sent, or not taken in time
  Received,
  Refused, // not a hint
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

  // Listens on host:port; false with the reason if it can't.
  auto Start(const std::string& aAddress, std::string& aReason) -> bool;
  auto Stop() -> void;
  auto Send(const std::string& aAddress, const Hint& aHint) -> void override;

private:
  struct Peer
  {
    std::unique_ptr<PeerConnection> connection;
    std::chrono::steady_clock::time_point notBefore{};
  };

  auto AcceptAll() -> void;
  auto Serve(int aSocket) -> void;
  auto SendAll() -> void;
  auto SendOne(const std::string& aAddress, const Hint& aHint) -> bool;

  const OnHint onHint;
  const OnEvent onEvent;
  std::atomic<bool> stopping = false;
  int listener = -1;
  std::thread accepting;
  std::thread sending;
  ConnectionThreads serving;

  std::mutex mutex;
  std::condition_variable queued;
  std::map<std::string, Hint> queue;
  // The sending thread's own.
  std::map<std::string, Peer> peers;
};

} // namespace gooseberry

#endif
