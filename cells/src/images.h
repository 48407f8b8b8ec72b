#ifndef GOOSEBERRY_IMAGES_H
#define GOOSEBERRY_IMAGES_H

// Numbers for the names of images, which are compared all the time.

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace gooseberry::cells {

using ImageId = std::uint32_t;

class Images
{
public:
  // The image's number; the same for the same name.
  auto Number(const std::string& aName) -> ImageId;
  auto Name(ImageId aImage) const -> const std::string&;
  // All names, by number.
  auto Names() const -> const std::vector<std::string>&;

private:
  std::map<std::string, ImageId> numbers;
  std::vector<std::string> names;
};

} // namespace gooseberry::cells

#endif
