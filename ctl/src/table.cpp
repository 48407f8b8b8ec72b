#include "table.h"

#include <algorithm>
#include <iostream>

namespace gooseberry {

namespace {

constexpr std::size_t kColumnGap = 2;

auto
CellText(const nlohmann::json& aRow, const char* aPointer) -> std::string
{
  const auto pointer = nlohmann::json::json_pointer(aPointer);
  if (!aRow.contains(pointer)) {
    return "-";
  }
  const auto& value = aRow.at(pointer);
  return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

auto
PrintTable(const std::vector<Column>& aColumns, const nlohmann::json& aRows)
  -> void
{
  auto lines = std::vector<std::vector<std::string>>{};
  auto widths = std::vector<std::size_t>{};
  lines.emplace_back();
  for (const auto& column : aColumns) {
    lines.back().emplace_back(column.title);
    widths.push_back(lines.back().back().size());
  }
  for (const auto& row : aRows) {
    lines.emplace_back();
    for (auto index = std::size_t{ 0 }; index < aColumns.size(); ++index) {
      lines.back().push_back(CellText(row, aColumns[index].pointer));
      widths[index] = std::max(widths[index], lines.back().back().size());
    }
  }
  for (const auto& line : lines) {
    auto text = std::string{};
    for (auto index = std::size_t{ 0 }; index < line.size(); ++index) {
      text += line[index];
      text.append(widths[index] - line[index].size() + kColumnGap, ' ');
    }
    text.erase(text.find_last_not_of(' ') + 1);
    std::cout << text << '\n';
  }
}

} // namespace gooseberry
