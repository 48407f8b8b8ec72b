#ifndef GOOSEBERRY_PEERCONNECTION_H
#define GOOSEBERRY_PEERCONNECTION_H

// One HTTP/2 connection between two instances, by nghttp2: the end that opened
// it posts messages, each on a stream of its own; the other end answers 204 for
// a message that it took and 400 for one that it could not read.

#include <functional>
#include <map>
#include <string>

#include <nghttp2/nghttp2.h>

#include "types.h"

namespace gooseberry {

class PeerConnection
{
public:
  // True if the message was understood.
  using Handler = std::function<bool(const std::string&)>;

  // Takes the socket over. Without a handler this is the end that posts.
  PeerConnection(int aSocket, Handler aHandler);
  PeerConnection(const PeerConnection&) = delete;
  auto operator=(const PeerConnection&) -> PeerConnection& = delete;
  ~PeerConnection();

  // Posts one message; true once the other end has taken it.
  auto Post(const std::string& aBody, Millis aTimeout) -> bool;
  // Sends what is due and takes what arrives within the time; false when the
  // connection has ended.
  auto Pump(Millis aTimeout) -> bool;

private:
  struct Stream
  {
    std::string body;
    std::size_t sent = 0;
    std::string status;
    bool tooLong = false;
    bool ended = false;
  };

  static auto Self(void* aUser) -> PeerConnection&;
  static auto OnHeader(nghttp2_session* aSession,
                       const nghttp2_frame* aFrame,
                       const std::uint8_t* aName,
                       std::size_t aNameSize,
                       const std::uint8_t* aValue,
                       std::size_t aValueSize,
                       std::uint8_t aFlags,
                       void* aUser) -> int;
  static auto OnData(nghttp2_session* aSession,
                     std::uint8_t aFlags,
                     std::int32_t aStream,
                     const std::uint8_t* aBytes,
                     std::size_t aSize,
                     void* aUser) -> int;
  static auto OnFrame(nghttp2_session* aSession,
                      const nghttp2_frame* aFrame,
                      void* aUser) -> int;
  static auto OnClose(nghttp2_session* aSession,
                      std::int32_t aStream,
                      std::uint32_t aError,
                      void* aUser) -> int;
  static auto ReadBody(nghttp2_session* aSession,
                       std::int32_t aStream,
                       std::uint8_t* aBuffer,
                       std::size_t aSize,
                       std::uint32_t* aFlags,
                       nghttp2_data_source* aSource,
                       void* aUser) -> ssize_t;

  auto Answer(std::int32_t aStream) -> void;
  auto Flush() -> bool;

  const int socket;
  const Handler handler;
  nghttp2_session* session = nullptr;
  std::map<std::int32_t, Stream> streams;
};

} // namespace gooseberry

#endif
