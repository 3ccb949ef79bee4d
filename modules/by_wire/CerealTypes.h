#pragma once

#include <cereal/cereal.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include "absl/status/statusor.h"

#include "by_core/Identifier.h"
#include "by_core/Time.h"

namespace by {

/// Writes a Time as milliseconds.
template<class Archive>
std::int64_t
save_minimal(const Archive&, const Time& aValue)
{
  return aValue.Milliseconds();
}

/// Reads a Time from milliseconds.
template<class Archive>
void
load_minimal(const Archive&, Time& aValue, const std::int64_t& aMilliseconds)
{
  aValue = Time::FromMilliseconds(aMilliseconds);
}

/// Writes an identifier as its text.
template<class Archive, class Tag>
std::string
save_minimal(const Archive&, const Identifier<Tag>& aValue)
{
  return aValue.Text();
}

/// Reads an identifier from its text.
template<class Archive, class Tag>
void
load_minimal(const Archive&, Identifier<Tag>& aValue, const std::string& aText)
{
  aValue = Identifier<Tag>(aText);
}

/// @returns the value; throws cereal::Exception where it could not be built.
template<class T>
T
CheckedForCereal(absl::StatusOr<T> aValue)
{
  if (!aValue.ok()) {
    throw cereal::Exception(std::string(aValue.status().message()));
  }
  return *std::move(aValue);
}

} // namespace by
