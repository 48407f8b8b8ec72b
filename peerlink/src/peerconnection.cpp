#include "peerconnection.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <string_view>

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "hint.h"
#include "waitforsocket.h"

namespace gooseberry {

namespace {

constexpr std::uint32_t kMaxStreams = 16;
constexpr std::size_t kReadBufferBytes = 8192;
constexpr Millis kWriteTimeout{ 1000 };

// Builds a header field that refers to the given texts. nghttp2 copies them
// when the message is submitted; both must stay valid until then.
auto
MakeHeaderField(std::string_view aName, std::string_view aValue) -> nghttp2_nv
{
  const auto bytes = [](std::string_view aText) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(aText.data()));
  };
  return { bytes(aName),
           bytes(aValue),
           aName.size(),
           aValue.size(),
           NGHTTP2_NV_FLAG_NONE };
}

} // namespace

PeerConnection::PeerConnection(int aSocket, Handler aHandler)
  : socket(aSocket)
  , handler(std::move(aHandler))
{
  nghttp2_session_callbacks* callbacks = nullptr;
  nghttp2_session_callbacks_new(&callbacks);
  nghttp2_session_callbacks_set_on_header_callback(callbacks, OnHeader);
  nghttp2_session_callbacks_set_on_data_chunk_recv_callback(callbacks,
                                                            OnDataChunk);
  nghttp2_session_callbacks_set_on_frame_recv_callback(callbacks,
                                                       OnFrameReceived);
  nghttp2_session_callbacks_set_on_stream_close_callback(callbacks,
                                                         OnStreamClose);
  if (this->handler) {
    nghttp2_session_server_new(&this->session, callbacks, this);
  } else {
    nghttp2_session_client_new(&this->session, callbacks, this);
  }
  nghttp2_session_callbacks_del(callbacks);
  const auto limit =
    nghttp2_settings_entry{ NGHTTP2_SETTINGS_MAX_CONCURRENT_STREAMS,
                            kMaxStreams };
  nghttp2_submit_settings(this->session, NGHTTP2_FLAG_NONE, &limit, 1);
}

PeerConnection::~PeerConnection()
{
  nghttp2_session_del(this->session);
  ::close(this->socket);
}

auto
PeerConnection::Post(const std::string& aBody, Millis aTimeout) -> bool
{
  const std::array<nghttp2_nv, 4> headers{ MakeHeaderField(":method", "POST"),
                                           MakeHeaderField(":scheme", "http"),
                                           MakeHeaderField(":authority",
                                                           "peer"),
                                           MakeHeaderField(":path", "/hint") };
  auto provider = nghttp2_data_provider{};
  provider.read_callback = ReadBody;
  const auto id = nghttp2_submit_request(
    this->session, nullptr, headers.data(), headers.size(), &provider, nullptr);
  if (id < 0) {
    return false;
  }
  this->streams[id].body = aBody;
  const auto deadline = std::chrono::steady_clock::now() + aTimeout;
  while (!this->streams[id].ended) {
    const auto remaining =
      std::chrono::ceil<Millis>(deadline - std::chrono::steady_clock::now());
    if (remaining <= Millis{ 0 } || !this->ProcessIo(remaining)) {
      return false;
    }
  }
  const auto accepted = this->streams[id].status == "204";
  this->streams.erase(id);
  return accepted;
}

auto
PeerConnection::ProcessIo(Millis aTimeout) -> bool
{
  if (!this->Flush()) {
    return false;
  }
  if (WaitForSocket(this->socket, POLLIN, aTimeout)) {
    auto bytes = std::array<std::uint8_t, kReadBufferBytes>{};
    const auto count = ::recv(this->socket, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
      return false;
    }
    const auto size = static_cast<std::size_t>(count);
    if (nghttp2_session_mem_recv(this->session, bytes.data(), size) != count) {
      return false;
    }
  }
  return this->Flush() && (nghttp2_session_want_read(this->session) != 0 ||
                           nghttp2_session_want_write(this->session) != 0);
}

auto
PeerConnection::AcceptedMessages() const -> std::size_t
{
  return this->acceptedMessages;
}

auto
PeerConnection::FromUserData(void* aUserData) -> PeerConnection&
{
  return *static_cast<PeerConnection*>(aUserData);
}

auto
PeerConnection::OnHeader(nghttp2_session* /*aSession*/,
                         const nghttp2_frame* aFrame,
                         const std::uint8_t* aName,
                         std::size_t aNameSize,
                         const std::uint8_t* aValue,
                         std::size_t aValueSize,
                         std::uint8_t /*aFlags*/,
                         void* aUserData) -> int
{
  const auto text = [](const std::uint8_t* aBytes, std::size_t aSize) {
    return std::string{ reinterpret_cast<const char*>(aBytes), aSize };
  };
  if (text(aName, aNameSize) == ":status") {
    FromUserData(aUserData).streams[aFrame->hd.stream_id].status =
      text(aValue, aValueSize);
  }
  return 0;
}

auto
PeerConnection::OnDataChunk(nghttp2_session* /*aSession*/,
                            std::uint8_t /*aFlags*/,
                            std::int32_t aStreamId,
                            const std::uint8_t* aBytes,
                            std::size_t aSize,
                            void* aUserData) -> int
{
  auto& self = FromUserData(aUserData);
  if (!self.handler) {
    return 0;
  }
  auto& stream = self.streams[aStreamId];
  if (stream.body.size() + aSize > kMaxHintBytes) {
    stream.tooLong = true;
    return 0;
  }
  stream.body.append(reinterpret_cast<const char*>(aBytes), aSize);
  return 0;
}

auto
PeerConnection::OnFrameReceived(nghttp2_session* /*aSession*/,
                                const nghttp2_frame* aFrame,
                                void* aUserData) -> int
{
  auto& self = FromUserData(aUserData);
  const auto message =
    aFrame->hd.type == NGHTTP2_DATA || aFrame->hd.type == NGHTTP2_HEADERS;
  const auto last = (aFrame->hd.flags & NGHTTP2_FLAG_END_STREAM) != 0;
  if (self.handler && message && last) {
    self.SendResponse(aFrame->hd.stream_id);
  }
  return 0;
}

auto
PeerConnection::OnStreamClose(nghttp2_session* /*aSession*/,
                              std::int32_t aStreamId,
                              std::uint32_t /*aError*/,
                              void* aUserData) -> int
{
  auto& self = FromUserData(aUserData);
  if (self.handler) {
    self.streams.erase(aStreamId);
  } else {
    self.streams[aStreamId].ended = true;
  }
  return 0;
}

auto
PeerConnection::ReadBody(nghttp2_session* /*aSession*/,
                         std::int32_t aStreamId,
                         std::uint8_t* aBuffer,
                         std::size_t aSize,
                         std::uint32_t* aFlags,
                         nghttp2_data_source* /*aSource*/,
                         void* aUserData) -> ssize_t
{
  auto& stream = FromUserData(aUserData).streams[aStreamId];
  const auto count = std::min(aSize, stream.body.size() - stream.sentBytes);
  std::copy_n(stream.body.data() + stream.sentBytes, count, aBuffer);
  stream.sentBytes += count;
  if (stream.sentBytes == stream.body.size()) {
    *aFlags |= NGHTTP2_DATA_FLAG_EOF;
  }
  return static_cast<ssize_t>(count);
}

auto
PeerConnection::SendResponse(std::int32_t aStreamId) -> void
{
  const auto& stream = this->streams[aStreamId];
  const auto accepted = !stream.tooLong && this->handler(stream.body);
  if (accepted) {
    ++this->acceptedMessages;
  }
  const auto header = MakeHeaderField(":status", accepted ? "204" : "400");
  nghttp2_submit_response(this->session, aStreamId, &header, 1, nullptr);
}

auto
PeerConnection::Flush() -> bool
{
  for (;;) {
    const std::uint8_t* bytes = nullptr;
    auto remaining = nghttp2_session_mem_send(this->session, &bytes);
    if (remaining < 0) {
      return false;
    }
    if (remaining == 0) {
      return true;
    }
    while (remaining > 0) {
      if (!WaitForSocket(this->socket, POLLOUT, kWriteTimeout)) {
        return false;
      }
      const auto sent = ::send(
        this->socket, bytes, static_cast<std::size_t>(remaining), MSG_NOSIGNAL);
      if (sent <= 0) {
        return false;
      }
      bytes += sent;
      remaining -= sent;
    }
  }
}

} // namespace gooseberry
