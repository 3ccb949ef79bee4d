#pragma once

#include <cmath>
#include <concepts>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <type_traits>
#include <vector>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include "absl/status/statusor.h"
#include "absl/strings/str_cat.h"

#include "by_core/Findings.h"
#include "by_core/Identifier.h"
#include "by_core/Time.h"
#include "by_json/Secrets.h"
#include "by_json/TypeTag.h"

namespace by::detail {

/// Reads the fields of one JSON object and adds every fault to the findings.
class JsonObjectReader
{
public:
  /// @param aPath the path of the object, empty for the outermost.
  JsonObjectReader(const boost::json::value& aValue, std::string_view aPath, Findings& aFindings)
    : mObject(aValue.if_object())
    , mPath(aPath)
    , mFindings(aFindings)
  {
    if (mObject == nullptr) {
      mFindings.Add(mPath.empty() ? "(top)" : mPath, "is not an object");
    }
  }

  /// @returns whether the key is there.
  bool Has(std::string_view aKey) const { return mObject != nullptr && mObject->contains(aKey); }

  /// Reads a field; a key that is left out keeps the field's default.
  template<class T>
  void Read(std::string_view aKey, T& aField)
  {
    const auto* value = Find(aKey);
    if (value != nullptr) {
      ReadValue(*value, PathOf(aKey), aField);
    }
  }

  /// Reads a field that holds a name out of an enumeration.
  template<class Parse, class T>
  void ReadEnum(std::string_view aKey, T& aField, Parse aParse)
  {
    const auto* value = Find(aKey);
    if (value == nullptr) {
      return;
    }
    ReadEnumValue(*value, PathOf(aKey), aField, aParse);
  }

  /// Adds a finding unless exactly one of several keys was there.
  void ExpectOne(int aFound, std::string_view aKeys)
  {
    if (mObject != nullptr && aFound != 1) {
      mFindings.Add(mPath.empty() ? "(top)" : mPath,
                    absl::StrCat("needs exactly one of ", std::string(aKeys)));
    }
  }

  /// Adds a finding for each key that was not asked for.
  void RejectUnknownKeys()
  {
    if (mObject == nullptr) {
      return;
    }
    for (const auto& item : *mObject) {
      if (!mKnown.contains(std::string(item.key()))) {
        mFindings.Add(PathOf(item.key()), "is not a known key");
      }
    }
  }

private:
  const boost::json::value* Find(std::string_view aKey)
  {
    mKnown.emplace(aKey);
    return mObject == nullptr ? nullptr : mObject->if_contains(aKey);
  }

  std::string PathOf(std::string_view aKey) const
  {
    return mPath.empty() ? std::string(aKey) : absl::StrCat(mPath, ".", std::string(aKey));
  }

  void ReadValue(const boost::json::value& aValue, const std::string& aPath, std::string& aField)
  {
    const auto* text = aValue.if_string();
    if (text == nullptr) {
      mFindings.Add(aPath, "is not a string");
      return;
    }
    aField.assign(text->data(), text->size());
  }

  void ReadValue(const boost::json::value& aValue, const std::string& aPath, bool& aField)
  {
    const auto* flag = aValue.if_bool();
    if (flag == nullptr) {
      mFindings.Add(aPath, "is not true or false");
      return;
    }
    aField = *flag;
  }

  void ReadValue(const boost::json::value& aValue, const std::string& aPath, double& aField)
  {
    boost::json::error_code ec;
    const auto number = aValue.to_number<double>(ec);
    if (ec || !std::isfinite(number)) {
      mFindings.Add(aPath, "is not a number");
      return;
    }
    aField = number;
  }

  template<std::integral T>
  void ReadValue(const boost::json::value& aValue, const std::string& aPath, T& aField)
  {
    boost::json::error_code ec;
    const auto number = aValue.to_number<T>(ec);
    if (ec) {
      mFindings.Add(aPath, "is not a whole number in range");
      return;
    }
    aField = number;
  }

  void ReadValue(const boost::json::value& aValue, const std::string& aPath, Time& aField)
  {
    std::int64_t n = 0;
    ReadValue(aValue, aPath, n);
    aField = Time::FromMilliseconds(n);
  }

  template<class Tag>
  void ReadValue(const boost::json::value& aValue,
                 const std::string& aPath,
                 Identifier<Tag>& aField)
  {
    std::string text;
    ReadValue(aValue, aPath, text);
    aField = Identifier<Tag>(std::move(text));
  }

  template<class T>
  void ReadValue(const boost::json::value& aValue,
                 const std::string& aPath,
                 std::optional<T>& aField)
  {
    if (aValue.is_null()) {
      return;
    }
    T value{};
    ReadValue(aValue, aPath, value);
    aField = std::move(value);
  }

  template<class T>
  void ReadValue(const boost::json::value& aValue, const std::string& aPath, std::vector<T>& aField)
  {
    const auto* array = aValue.if_array();
    if (array == nullptr) {
      mFindings.Add(aPath, "is not a list");
      return;
    }
    std::size_t n = 0;
    for (const auto& item : *array) {
      T value{};
      ReadValue(item, absl::StrCat(aPath, "[", n++, "]"), value);
      aField.push_back(std::move(value));
    }
  }

  template<class T>
  requires requires { typename T::Fields; }
  void ReadValue(const boost::json::value& aValue, const std::string& aPath, T& aField)
  {
    aField = ReadJson(TypeTag<T>{}, aValue, aPath, mFindings);
  }

  template<class T, class Parse>
  void ReadEnumValue(const boost::json::value& aValue,
                     const std::string& aPath,
                     T& aField,
                     Parse aParse)
  {
    std::string text;
    ReadValue(aValue, aPath, text);
    auto parsed = aParse(text);
    if (!parsed.ok()) {
      mFindings.Add(aPath, std::string(parsed.status().message()));
      return;
    }
    aField = *parsed;
  }

  template<class T, class Parse>
  void ReadEnumValue(const boost::json::value& aValue,
                     const std::string& aPath,
                     std::vector<T>& aField,
                     Parse aParse)
  {
    const auto* array = aValue.if_array();
    if (array == nullptr) {
      mFindings.Add(aPath, "is not a list");
      return;
    }
    std::size_t n = 0;
    for (const auto& item : *array) {
      T value{};
      ReadEnumValue(item, absl::StrCat(aPath, "[", n++, "]"), value, aParse);
      aField.push_back(value);
    }
  }

  const boost::json::object* mObject;
  std::string mPath;
  Findings& mFindings;
  std::set<std::string, std::less<>> mKnown;
};

/// Builds a value from its fields and adds a finding where a field is out of its bounds.
template<class T>
T
CreateChecked(typename T::Fields aFields, std::string_view aPath, Findings& aFindings)
{
  auto value = T::Create(std::move(aFields));
  if (value.ok()) {
    return *std::move(value);
  }
  const std::string message(value.status().message());
  const auto colon = message.find(": ");
  const auto key = message.substr(0, colon);
  aFindings.Add(aPath.empty() ? key : absl::StrCat(std::string(aPath), ".", key),
                message.substr(colon + 2));
  return T();
}

inline boost::json::value
JsonOf(const std::string& aValue, Secrets)
{
  return boost::json::string(aValue);
}

template<class T>
requires std::is_arithmetic_v<T> boost::json::value
JsonOf(T aValue, Secrets)
{
  return aValue;
}

template<class T>
requires std::is_enum_v<T> boost::json::value
JsonOf(T aValue, Secrets)
{
  const auto text = ToString(aValue);
  return boost::json::string(text.data(), text.size());
}

inline boost::json::value
JsonOf(Time aValue, Secrets)
{
  return aValue.Milliseconds();
}

template<class Tag>
boost::json::value
JsonOf(const Identifier<Tag>& aValue, Secrets)
{
  return boost::json::string(aValue.Text());
}

template<class T>
requires requires
{
  typename T::Fields;
}
boost::json::value
JsonOf(const T& aValue, Secrets aSecrets)
{
  return ToJson(aValue, aSecrets);
}

template<class T>
boost::json::value
JsonOf(const std::vector<T>& aValues, Secrets aSecrets)
{
  boost::json::array array;
  array.reserve(aValues.size());
  for (const auto& value : aValues) {
    array.push_back(JsonOf(value, aSecrets));
  }
  return array;
}

} // namespace by::detail
