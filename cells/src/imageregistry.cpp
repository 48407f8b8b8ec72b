#include "imageregistry.h"

namespace gooseberry::cells {

auto
ImageRegistry::IdOf(const std::string& aName) -> ImageId
{
  const auto [item, added] = this->idsByName.try_emplace(
    aName, static_cast<ImageId>(this->names.size()));
  if (added) {
    this->names.push_back(aName);
  }
  return item->second;
}

auto
ImageRegistry::NameOf(ImageId aImage) const -> const std::string&
{
  return this->names.at(aImage);
}

auto
ImageRegistry::Names() const -> const std::vector<std::string>&
{
  return this->names;
}

} // namespace gooseberry::cells
