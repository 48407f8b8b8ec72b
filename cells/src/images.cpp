#include "images.h"

namespace gooseberry::cells {

auto
Images::Number(const std::string& aName) -> ImageId
{
  const auto [item, added] =
    this->numbers.try_emplace(aName, static_cast<ImageId>(this->names.size()));
  if (added) {
    this->names.push_back(aName);
  }
  return item->second;
}

auto
Images::Name(ImageId aImage) const -> const std::string&
{
  return this->names.at(aImage);
}

auto
Images::Names() const -> const std::vector<std::string>&
{
  return this->names;
}

} // namespace gooseberry::cells
