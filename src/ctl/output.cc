// Flattens JSON values into lines and columns.
#include "src/ctl/output.h"

#include <json/json.h>

#include <algorithm>
#include <map>
#include <utility>
#include <vector>

namespace dotterelbarrow::ctl {
namespace {

using Line = std::pair<std::string, std::string>;

bool IsTable(const Json::Value& value) {
  return value.isArray() && !value.empty() && value[0].isObject();
}

// Replaces control characters, which could otherwise control the terminal.
std::string Printable(std::string text) {
  std::replace_if(
      text.begin(), text.end(),
      [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; },
      '?');
  return text;
}

std::string ScalarText(const Json::Value& value) {
  if (!value.isArray()) {
    return value.isNull() ? "" : Printable(value.asString());
  }
  std::string text;
  for (const Json::Value& item : value) {
    text += text.empty() ? "" : ",";
    text += item.isObject() ? "{}" : ScalarText(item);
  }
  return text;
}

// Appends the members of `value` to `lines`, and its arrays of objects to
// `tables`. If `tables` is null, as for the rows of a table, only one level of
// nested objects is included, and arrays of objects become lines.
void Flatten(const Json::Value& value, const std::string& prefix,
             std::vector<Line>* lines,
             std::vector<std::pair<std::string, const Json::Value*>>* tables) {
  for (const std::string& name : value.getMemberNames()) {
    const Json::Value& member = value[name];
    std::string path = prefix;
    path.append(prefix.empty() ? "" : ".").append(name);
    if (member.isObject()) {
      if (tables != nullptr || prefix.empty()) {
        Flatten(member, path, lines, tables);
      }
    } else if (IsTable(member) && tables != nullptr) {
      tables->emplace_back(path, &member);
    } else {
      lines->emplace_back(path, ScalarText(member));
    }
  }
}

std::string Padded(const std::string& text, std::size_t width) {
  return text + std::string(width > text.size() ? width - text.size() : 0, ' ');
}

std::string RenderRows(const Json::Value& array) {
  std::vector<std::string> columns;
  std::vector<std::map<std::string, std::string>> rows;
  std::map<std::string, std::size_t> widths;
  for (const Json::Value& item : array) {
    std::vector<Line> lines;
    if (item.isObject()) {
      Flatten(item, "", &lines, nullptr);
    }
    std::map<std::string, std::string>& row = rows.emplace_back();
    for (const auto& [name, text] : lines) {
      if (!widths.contains(name)) {
        columns.push_back(name);
        widths[name] = name.size();
      }
      widths[name] = std::max(widths[name], text.size());
      row[name] = text;
    }
  }
  std::string table;
  for (const std::string& column : columns) {
    table += Padded(column, widths[column] + 2);
  }
  for (auto& row : rows) {
    table += "\n";
    for (const std::string& column : columns) {
      table += Padded(row[column], widths[column] + 2);
    }
  }
  return table + "\n";
}

}  // namespace

std::string RenderTable(const Json::Value& value) {
  if (!value.isObject()) {
    return RenderJson(value);
  }
  std::vector<Line> lines;
  std::vector<std::pair<std::string, const Json::Value*>> tables;
  Flatten(value, "", &lines, &tables);
  std::size_t width = 0;
  for (const auto& [name, text] : lines) {
    width = std::max(width, name.size());
  }
  std::string rendered;
  for (const auto& [name, text] : lines) {
    if (!text.empty()) {
      rendered += Padded(name, width + 2) + text + "\n";
    }
  }
  for (const auto& [name, table] : tables) {
    rendered += "\n" + name + ":\n" + RenderRows(*table);
  }
  return rendered;
}

std::string RenderJson(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "  ";
  return Json::writeString(builder, value) + "\n";
}

}  // namespace dotterelbarrow::ctl
