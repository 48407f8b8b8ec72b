#include "slowlink.h"

#include <algorithm>
#include <array>

#include <boost/asio/write.hpp>

namespace gooseberry::review {

namespace {

namespace asio = boost::asio;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t kChunkBytes = 8192;
constexpr double kBitsPerByte = 8.0;

} // namespace

// One connection of the instance, and the one to the server that stands for it.
class SlowLink::Channel : public std::enable_shared_from_this<SlowLink::Channel>
{
public:
  Channel(SlowLink& aLink, tcp::socket aClient)
    : link(aLink)
    , client(std::move(aClient))
    , upstream(aLink.loop.Context())
  {
  }

  auto Start() -> void
  {
    auto error = error_code{};
    this->upstream.connect(this->link.server, error);
    if (error) {
      this->Close();
      return;
    }
    this->client.set_option(tcp::no_delay{ true }, error);
    this->upstream.set_option(tcp::no_delay{ true }, error);
    this->Copy(this->client, this->upstream, this->sent, false);
    this->Copy(this->upstream, this->client, this->received, true);
  }

private:
  using Buffer = std::array<char, kChunkBytes>;

  // Copies a chunk, and then the next one.
  auto Copy(tcp::socket& aFrom, tcp::socket& aTo, Buffer& aBuffer, bool aSlow)
    -> void
  {
    aFrom.async_read_some(
      asio::buffer(aBuffer),
      [self = this->shared_from_this(), &aFrom, &aTo, &aBuffer, aSlow](
        const error_code& aError, std::size_t aBytes) {
        if (aError) {
          self->Close();
          return;
        }
        auto& timer = aSlow ? self->receivedTimer : self->sentTimer;
        timer = self->link.loop.After(
          aSlow ? self->link.Reserve(aBytes) : Micros{ 0 },
          [self, &aFrom, &aTo, &aBuffer, aSlow, aBytes] {
            self->Write(aFrom, aTo, aBuffer, aBytes, aSlow);
          });
      });
  }

  auto Write(tcp::socket& aFrom,
             tcp::socket& aTo,
             Buffer& aBuffer,
             std::size_t aBytes,
             bool aSlow) -> void
  {
    asio::async_write(
      aTo,
      asio::buffer(aBuffer.data(), aBytes),
      [self = this->shared_from_this(), &aFrom, &aTo, &aBuffer, aSlow](
        const error_code& aError, std::size_t /*aBytes*/) {
        if (aError) {
          self->Close();
        } else {
          self->Copy(aFrom, aTo, aBuffer, aSlow);
        }
      });
  }

  auto Close() -> void
  {
    auto ignored = error_code{};
    this->client.close(ignored);
    this->upstream.close(ignored);
  }

  SlowLink& link;
  tcp::socket client;
  tcp::socket upstream;
  Buffer sent{};
  Buffer received{};
  TimerHandle sentTimer;
  TimerHandle receivedTimer;
};

SlowLink::SlowLink(EventLoop& aLoop,
                   std::uint16_t aServerPort,
                   double aMegabits)
  : loop(aLoop)
  , server(asio::ip::address_v4::loopback(), aServerPort)
  , bytesPerMicro(aMegabits / kBitsPerByte)
  , acceptor(aLoop.Context(),
             tcp::endpoint{ asio::ip::address_v4::loopback(), 0 })
{
  this->Accept();
}

SlowLink::~SlowLink() = default;

auto
SlowLink::Port() const -> std::uint16_t
{
  return this->acceptor.local_endpoint().port();
}

auto
SlowLink::Accept() -> void
{
  this->acceptor.async_accept(
    [this](const error_code& aError, tcp::socket aSocket) {
      if (aError) {
        return;
      }
      std::make_shared<Channel>(*this, std::move(aSocket))->Start();
      this->Accept();
    });
}

auto
SlowLink::Reserve(std::size_t aBytes) -> Micros
{
  const auto now = this->loop.Now();
  this->free = std::max(this->free, now) + Micros{
    static_cast<Micros::rep>(static_cast<double>(aBytes) / this->bytesPerMicro)
  };
  return this->free - now;
}

} // namespace gooseberry::review
