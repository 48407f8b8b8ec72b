// Tests the encoding of hints and their delivery between two links on loopback.

#include <algorithm>
#include <array>
#include <chrono>
#include <condition_variable>
#include <mutex>
#include <thread>

#include <criterion/criterion.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "peerlink.h"

using namespace gooseberry;

namespace {

auto
FreePort() -> int
{
  const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto size = socklen_t{ sizeof address };
  cr_assert_eq(::bind(socket, reinterpret_cast<sockaddr*>(&address), size), 0);
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&address), &size);
  ::close(socket);
  return ntohs(address.sin_port);
}

// A port on which nothing listens, and that nothing else gets meanwhile.
class RefusingPort
{
public:
  RefusingPort()
    : socket(::socket(AF_INET, SOCK_STREAM, 0))
  {
    auto address = sockaddr_in{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto size = socklen_t{ sizeof address };
    cr_assert_eq(
      ::bind(this->socket, reinterpret_cast<sockaddr*>(&address), size), 0);
    ::getsockname(this->socket, reinterpret_cast<sockaddr*>(&address), &size);
    this->number = ntohs(address.sin_port);
  }
  RefusingPort(const RefusingPort&) = delete;
  auto operator=(const RefusingPort&) -> RefusingPort& = delete;
  ~RefusingPort() { ::close(this->socket); }

  auto Address() const -> std::string
  {
    return "127.0.0.1:" + std::to_string(this->number);
  }

private:
  const int socket;
  int number = 0;
};

// Records the hints and events that a link reports, and waits for events.
class LinkRecorder
{
public:
  auto OnHint(const Hint& aHint) -> void
  {
    const auto lock = std::lock_guard{ this->mutex };
    this->hints.push_back(aHint);
    this->changed.notify_all();
  }

  auto OnEvent(PeerEvent aEvent) -> void
  {
    const auto lock = std::lock_guard{ this->mutex };
    this->events.push_back(aEvent);
    this->changed.notify_all();
  }

  auto WaitForEvents(PeerEvent aEvent, int aCount) -> void
  {
    const auto seen = this->WaitFor([&] {
      return std::count(this->events.begin(), this->events.end(), aEvent) >=
             aCount;
    });
    cr_assert(seen, "no event '%s' number %d", ToText(aEvent), aCount);
  }

  // Waits for the next event after aKnown ones and returns it.
  auto EventAfter(std::size_t aKnown) -> PeerEvent
  {
    const auto seen =
      this->WaitFor([&] { return this->events.size() > aKnown; });
    cr_assert(seen, "no event after %zu", aKnown);
    const auto lock = std::lock_guard{ this->mutex };
    return this->events[aKnown];
  }

  auto Events() -> std::size_t
  {
    const auto lock = std::lock_guard{ this->mutex };
    return this->events.size();
  }

  auto Hints() -> std::vector<Hint>
  {
    const auto lock = std::lock_guard{ this->mutex };
    return this->hints;
  }

private:
  template<class Condition>
  auto WaitFor(Condition aCondition) -> bool
  {
    constexpr std::chrono::seconds kPatience{ 30 };
    auto lock = std::unique_lock{ this->mutex };
    return this->changed.wait_for(lock, kPatience, aCondition);
  }

  std::mutex mutex;
  std::condition_variable changed;
  std::vector<PeerEvent> events;
  std::vector<Hint> hints;
};

auto
MakeLink(LinkRecorder& aCollector) -> std::unique_ptr<PeerLink>
{
  return std::make_unique<PeerLink>(
    [&aCollector](const Hint& aHint) { aCollector.OnHint(aHint); },
    [&aCollector](PeerEvent aEvent) { aCollector.OnEvent(aEvent); });
}

// Sends the hint until the peer acknowledges it, and returns how often. Only a
// peer that is too slow to answer may lose one; it gets no more for 2 s.
auto
Deliver(PeerLink& aSender,
        LinkRecorder& aRecorder,
        const std::string& aAddress,
        const Hint& aHint) -> std::size_t
{
  constexpr std::size_t kTries = 6;
  constexpr std::chrono::milliseconds kShortestTimeout{ 300 };
  constexpr std::chrono::milliseconds kPause{ 2100 };
  for (auto tries = std::size_t{ 1 }; tries <= kTries; ++tries) {
    const auto known = aRecorder.Events();
    const auto sentAt = std::chrono::steady_clock::now();
    aSender.Send(aAddress, aHint);
    if (aRecorder.EventAfter(known) == PeerEvent::Sent) {
      return tries;
    }
    cr_assert(std::chrono::steady_clock::now() >= sentAt + kShortestTimeout,
              "the peer was taken for unreachable without a wait");
    std::this_thread::sleep_for(kPause);
  }
  cr_assert(false, "not sent in %zu tries", kTries);
  return kTries;
}

} // namespace

Test(hint, round_trips_and_rejects_malformed_input)
{
  const auto hint = Hint{ 7, { 1, 300 } };
  auto reason = std::string{};
  const auto bytes = EncodeHint(hint);
  cr_expect(DecodeHint(bytes, reason) == hint);
  for (auto size = std::size_t{ 0 }; size < bytes.size(); ++size) {
    cr_expect_not(DecodeHint(bytes.substr(0, size), reason), "%zu", size);
    cr_expect_neq(reason, "");
  }
  cr_expect_not(DecodeHint("\x93\x01\x02\x03", reason));
  cr_expect_not(DecodeHint(std::string(5000, 'x'), reason));
  // Unknown keys, as a newer version may send them, are ignored.
  cr_expect(DecodeHint("\x82\xa8"
                       "document\x05\xa3new\x01",
                       reason) == (Hint{ 5, {} }));
}

Test(peer_link, delivers_hints_and_reconnects_after_peer_restart)
{
  auto senderRecorder = LinkRecorder{};
  auto receiverRecorder = LinkRecorder{};
  auto reason = std::string{};
  const auto address = "127.0.0.1:" + std::to_string(FreePort());
  const auto sender = MakeLink(senderRecorder);
  cr_assert(sender->Start("127.0.0.1:" + std::to_string(FreePort()), reason));
  auto receiver = MakeLink(receiverRecorder);
  cr_assert(receiver->Start(address, reason));
  auto sends = std::size_t{ 0 };
  for (auto round = std::uint64_t{ 1 }; round <= 3; ++round) {
    sends += Deliver(*sender, senderRecorder, address, { round, {} });
    const auto hints = receiverRecorder.Hints();
    cr_assert_geq(hints.size(), round);
    cr_assert_leq(hints.size(), sends);
    cr_expect_eq(hints.back().document, round);
  }
  receiver->Stop();
  receiver = MakeLink(receiverRecorder);
  cr_assert(receiver->Start(address, reason));
  Deliver(*sender, senderRecorder, address, { 4, { 9 } });
  cr_expect(receiverRecorder.Hints().back() == (Hint{ 4, { 9 } }));
}

Test(peer_link, unreachable_and_malformed_addresses_are_counted)
{
  auto senderRecorder = LinkRecorder{};
  auto reason = std::string{};
  const auto sender = MakeLink(senderRecorder);
  cr_assert(sender->Start("127.0.0.1:" + std::to_string(FreePort()), reason));
  const auto refusing = RefusingPort{};
  sender->Send(refusing.Address(), { 1, {} });
  senderRecorder.WaitForEvents(PeerEvent::Unreachable, 1);
  sender->Send("not an address", { 1, {} });
  senderRecorder.WaitForEvents(PeerEvent::Unreachable, 2);
}

Test(peer_link, malformed_input_closes_only_its_own_connection)
{
  auto senderRecorder = LinkRecorder{};
  auto receiverRecorder = LinkRecorder{};
  auto reason = std::string{};
  const auto port = FreePort();
  const auto receiver = MakeLink(receiverRecorder);
  cr_assert(receiver->Start("127.0.0.1:" + std::to_string(port), reason));
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
  cr_assert_eq(
    ::connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address),
    0);
  const std::string malformedInput = "GET / HTTP/1.1\r\n\r\n\xff\xff\xff\xff";
  ::send(socket, malformedInput.data(), malformedInput.size(), MSG_NOSIGNAL);
  auto buffer = std::array<char, 256>{};
  while (::recv(socket, buffer.data(), buffer.size(), 0) > 0) {
  }
  ::close(socket);
  const auto sender = MakeLink(senderRecorder);
  cr_assert(sender->Start("127.0.0.1:" + std::to_string(FreePort()), reason));
  const auto sends = Deliver(
    *sender, senderRecorder, "127.0.0.1:" + std::to_string(port), { 2, {} });
  cr_expect_geq(receiverRecorder.Hints().size(), 1);
  cr_expect_leq(receiverRecorder.Hints().size(), sends);
}
