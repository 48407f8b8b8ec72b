#include "hint.h"

#include <msgpack.hpp>

namespace gooseberry {

namespace {

constexpr std::size_t kMaxInboxes = 512;
// Maximum nesting depth; no hint nests deeper.
constexpr std::size_t kMaxDepth = 4;

} // namespace

auto
EncodeHint(const Hint& aHint) -> std::string
{
  auto buffer = msgpack::sbuffer{};
  auto packer = msgpack::packer<msgpack::sbuffer>{ buffer };
  packer.pack_map(2);
  packer.pack(std::string{ "document" });
  packer.pack(aHint.document);
  packer.pack(std::string{ "inboxes" });
  packer.pack(aHint.inboxes);
  return { buffer.data(), buffer.size() };
}

auto
DecodeHint(const std::string& aBytes, std::string& aReason)
  -> std::optional<Hint>
{
  if (aBytes.size() > kMaxHintBytes) {
    aReason = "hint is longer than " + std::to_string(kMaxHintBytes) + " bytes";
    return std::nullopt;
  }
  const auto limits =
    msgpack::unpack_limit{ kMaxInboxes,   kMaxInboxes,   kMaxHintBytes,
                           kMaxHintBytes, kMaxHintBytes, kMaxDepth };
  try {
    const auto handle =
      msgpack::unpack(aBytes.data(), aBytes.size(), nullptr, nullptr, limits);
    auto hint = Hint{};
    if (handle.get().type != msgpack::type::MAP) {
      aReason = "hint is not a MessagePack map";
      return std::nullopt;
    }
    const auto& map = handle.get().via.map;
    for (auto index = std::uint32_t{ 0 }; index < map.size; ++index) {
      const auto& item = map.ptr[index];
      const auto key = item.key.as<std::string>();
      if (key == "document") {
        hint.document = item.val.as<std::uint64_t>();
      } else if (key == "inboxes") {
        hint.inboxes = item.val.as<std::vector<ShardNumber>>();
      }
    }
    return hint;
  } catch (const std::exception& error) {
    aReason = error.what();
    return std::nullopt;
  }
}

} // namespace gooseberry
