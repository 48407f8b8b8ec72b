#ifndef GOOSEBERRY_PEERCONNECTION_H
#define GOOSEBERRY_PEERCONNECTION_H

// One HTTP/2 connection between two instances, using nghttp2. The client end
// posts messages, each on its own stream. The server end answers 204 for a
// message that it accepted, and 400 for one that is malformed or too long.

#include <functional>
#include <map>
#include <string>

#include <nghttp2/nghttp2.h>

#include "types.h"

namespace gooseberry {

class PeerConnection
{
public:
  // Receives the body of a message; returns true if the message is valid.
  using Handler = std::function<bool(const std::string&)>;

  // Takes ownership of the socket. Without a handler, this is the client end.
  PeerConnection(int aSocket, Handler aHandler);
  PeerConnection(const PeerConnection&) = delete;
  auto operator=(const PeerConnection&) -> PeerConnection& = delete;
  ~PeerConnection();

  // Posts one message. Returns true if the other end answers 204 within the
  // timeout.
  auto Post(const std::string& aBody, Millis aTimeout) -> bool;
  // Sends all pending output, waits up to aTimeout for input, processes it and
  // sends the resulting output. Returns false if the connection has ended.
  auto ProcessIo(Millis aTimeout) -> bool;
  // Number of messages that the server end has accepted.
  auto AcceptedMessages() const -> std::size_t;

private:
  struct Stream
  {
    std::string body;
    std::size_t sentBytes = 0;
    std::string status;
    bool tooLong = false;
    bool ended = false;
  };

  static auto FromUserData(void* aUserData) -> PeerConnection&;
  static auto OnHeader(nghttp2_session* aSession,
                       const nghttp2_frame* aFrame,
                       const std::uint8_t* aName,
                       std::size_t aNameSize,
                       const std::uint8_t* aValue,
                       std::size_t aValueSize,
                       std::uint8_t aFlags,
                       void* aUserData) -> int;
  static auto OnDataChunk(nghttp2_session* aSession,
                          std::uint8_t aFlags,
                          std::int32_t aStreamId,
                          const std::uint8_t* aBytes,
                          std::size_t aSize,
                          void* aUserData) -> int;
  static auto OnFrameReceived(nghttp2_session* aSession,
                              const nghttp2_frame* aFrame,
                              void* aUserData) -> int;
  static auto OnStreamClose(nghttp2_session* aSession,
                            std::int32_t aStreamId,
                            std::uint32_t aError,
                            void* aUserData) -> int;
  static auto ReadBody(nghttp2_session* aSession,
                       std::int32_t aStreamId,
                       std::uint8_t* aBuffer,
                       std::size_t aSize,
                       std::uint32_t* aFlags,
                       nghttp2_data_source* aSource,
                       void* aUserData) -> ssize_t;

  auto SendResponse(std::int32_t aStreamId) -> void;
  auto Flush() -> bool;

  const int socket;
  const Handler handler;
  nghttp2_session* session = nullptr;
  std::map<std::int32_t, Stream> streams;
  std::size_t acceptedMessages = 0;
};

} // namespace gooseberry

#endif
