#ifndef GOOSEBERRY_IMAGEREGISTRY_H
#define GOOSEBERRY_IMAGEREGISTRY_H

// Assigns numbers to image names, because images are compared very often.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberry::cells {

using ImageId = std::uint32_t;

class ImageRegistry
{
public:
  // The id of an image; assigns the next one to a new name.
  auto IdOf(const std::string& aName) -> ImageId;
  auto NameOf(ImageId aImage) const -> const std::string&;
  // All names, indexed by id.
  auto Names() const -> const std::vector<std::string>&;

private:
  std::map<std::string, ImageId> idsByName;
  std::vector<std::string> names;
};

} // namespace gooseberry::cells

#endif
