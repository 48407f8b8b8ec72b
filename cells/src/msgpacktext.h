#ifndef GOOSEBERRY_MSGPACKTEXT_H
#define GOOSEBERRY_MSGPACKTEXT_H

// Decoding of values that are stored as MessagePack, by any writer.

#include <optional>
#include <string>

#include <msgpack.hpp>

namespace gooseberry {

// Decodes bytes that may mean anything: each array, map and text is at most as
// long as the bytes, and nesting is bounded, so that neither memory nor the
// stack grows beyond the input. Throws a std::exception if the bytes are not a
// value.
inline auto
UnpackBounded(const std::string& aBytes) -> msgpack::object_handle
{
  constexpr std::size_t kMaxDepth = 16;
  const auto size = aBytes.size();
  return msgpack::unpack(
    aBytes.data(),
    size,
    nullptr,
    nullptr,
    msgpack::unpack_limit{ size, size, size, size, size, kMaxDepth });
}

} // namespace gooseberry

#endif
