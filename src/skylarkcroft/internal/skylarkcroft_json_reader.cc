#include "skylarkcroft/internal/skylarkcroft_json_reader.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "skylarkcroft/internal/skylarkcroft_bounded_json.h"
#include "skylarkcroft/internal/skylarkcroft_error.h"

namespace skylarkcroft {
namespace {

std::string Join(std::initializer_list<std::string_view> words) {
  std::string joined;
  for (std::string_view word : words) {
    if (!joined.empty()) {
      joined += ", ";
    }
    joined += word;
  }
  return joined;
}

[[noreturn]] void ThrowType(const std::string& path,
                            const nlohmann::json& value,
                            const std::string& wanted) {
  throw config_error(path, std::string("is a ") + value.type_name(),
                     "write " + wanted + " here");
}

}  // namespace

json_reader::json_reader(const nlohmann::json& value, std::string path)
    : value_(value), path_(std::move(path)) {
  if (!value_.is_object()) {
    ThrowType(path_, value_, "an object");
  }
}

json_reader::json_reader(const nlohmann::json& value, std::string path,
                         std::initializer_list<std::string_view> allowed)
    : json_reader(value, std::move(path)) {
  for (const auto& item : value_.items()) {
    const bool known =
        std::find(allowed.begin(), allowed.end(), item.key()) != allowed.end();
    if (known) {
      continue;
    }
    throw config_error(PathOf(item.key()), "unknown key",
                       "remove it or use one of: " + Join(allowed));
  }
}

bool json_reader::Has(std::string_view key) const {
  return Find(key) != nullptr;
}

void json_reader::Require(std::string_view key) const {
  static_cast<void>(Member(key));
}

std::string json_reader::PathOf(std::string_view key) const {
  return path_ + "." + std::string(key);
}

const nlohmann::json* json_reader::Find(std::string_view key) const {
  const auto found = value_.find(std::string(key));
  return found == value_.end() ? nullptr : &*found;
}

const nlohmann::json& json_reader::Member(std::string_view key) const {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) {
    throw config_error(PathOf(key), "is missing", "add it");
  }
  return *member;
}

std::string json_reader::String(std::string_view key) const {
  const nlohmann::json& member = Member(key);
  if (!member.is_string()) {
    ThrowType(PathOf(key), member, "a string");
  }
  return member.get<std::string>();
}

std::string json_reader::StringOr(std::string_view key,
                                  const std::string& fallback) const {
  return Has(key) ? String(key) : fallback;
}

std::string json_reader::Name(std::string_view key) const {
  std::string name = String(key);
  if (name.empty()) {
    throw config_error(PathOf(key), "is empty", "give it a value");
  }
  return name;
}

int64_t json_reader::Int(std::string_view key, int_range range) const {
  const nlohmann::json& member = Member(key);
  if (!member.is_number_integer()) {
    ThrowType(PathOf(key), member, "a whole number");
  }
  const auto number = member.get<int64_t>();
  if (number < range.min || number > range.max) {
    throw config_error(PathOf(key), std::to_string(number) + " is out of range",
                       "use a value from " + std::to_string(range.min) +
                           " to " + std::to_string(range.max));
  }
  return number;
}

int64_t json_reader::IntOr(std::string_view key, int_range range,
                           int64_t fallback) const {
  return Has(key) ? Int(key, range) : fallback;
}

double json_reader::NumberOr(std::string_view key, number_range range,
                             double fallback) const {
  if (!Has(key)) {
    return fallback;
  }
  const nlohmann::json& member = Member(key);
  if (!member.is_number()) {
    ThrowType(PathOf(key), member, "a number");
  }
  const auto number = member.get<double>();
  if (!(number >= range.min && number <= range.max)) {
    throw config_error(PathOf(key), member.dump() + " is out of range",
                       "use a value from " + std::to_string(range.min) +
                           " to " + std::to_string(range.max));
  }
  return number;
}

bool json_reader::BoolOr(std::string_view key, bool fallback) const {
  if (!Has(key)) {
    return fallback;
  }
  const nlohmann::json& member = Member(key);
  if (!member.is_boolean()) {
    ThrowType(PathOf(key), member, "true or false");
  }
  return member.get<bool>();
}

std::vector<std::string> json_reader::StringsOr(
    std::string_view key, const std::vector<std::string>& fallback) const {
  if (!Has(key)) {
    return fallback;
  }
  std::vector<std::string> strings;
  Each(key, [&](const nlohmann::json& element, const std::string& path) {
    if (!element.is_string()) {
      ThrowType(path, element, "a string");
    }
    strings.push_back(element.get<std::string>());
  });
  return strings;
}

std::string json_reader::ChoiceOr(
    std::string_view key, std::initializer_list<std::string_view> choices,
    const std::string& fallback) const {
  if (!Has(key)) {
    return fallback;
  }
  std::string choice = String(key);
  if (std::find(choices.begin(), choices.end(), choice) == choices.end()) {
    throw config_error(PathOf(key), "'" + choice + "' is not a valid choice",
                       "use one of: " + Join(choices));
  }
  return choice;
}

void json_reader::Each(
    std::string_view key,
    const std::function<void(const nlohmann::json&, const std::string&)>& visit)
    const {
  const nlohmann::json* member = Find(key);
  if (member == nullptr) {
    return;
  }
  if (!member->is_array()) {
    ThrowType(PathOf(key), *member, "an array");
  }
  size_t index = 0;
  for (const nlohmann::json& element : *member) {
    visit(element, PathOf(key) + "[" + std::to_string(index) + "]");
    ++index;
  }
}

nlohmann::json ParseJson(std::string_view text) {
  try {
    return ParseBoundedJsonOrThrow(text);
  } catch (const nlohmann::json::parse_error& failure) {
    throw config_error(
        "$", "is not valid JSON near byte " + std::to_string(failure.byte),
        "correct the syntax there");
  } catch (const nlohmann::json::out_of_range&) {
    throw config_error("$", "holds a number beyond the range of a double",
                       "use a smaller number");
  } catch (const std::length_error& failure) {
    throw config_error("$", std::string("has ") + failure.what(),
                       "nest it less deeply");
  }
}

}  // namespace skylarkcroft
