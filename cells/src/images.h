#ifndef GOOSEBERRY_IMAGES_H
#define GOOSEBERRY_IMAGES_H

// Assigns numbers to image names, because images are compared very often.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberry::cells {

using ImageId = std::uint32_t;

class Images
{
public:
  // The id of an image; assigns the next one to a new name.
  auto Number(const std::string& aName) -> ImageId;
  auto Name(ImageId aImage) const -> const std::string&;
  // All names, indexed by id.
  auto Names() const -> const std::vector<std::string>&;

private:
  std::map<std::string, ImageId> numbers;
  std::vector<std::string> names;
};

} // namespace gooseberry::cells

#endif
