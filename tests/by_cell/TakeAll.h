#pragma once

#include <utility>
#include <variant>
#include <vector>

#include "by_cell/Effects.h"

namespace by {

/// Removes the effects of one kind from a list and returns them.
template<class Body>
std::vector<Body>
TakeAll(Effects& aOut)
{
  std::vector<Body> found;
  Effects rest;
  for (auto& effect : aOut) {
    if (const auto* body = std::get_if<Body>(&effect.Body())) {
      found.push_back(*body);
    } else {
      rest.push_back(std::move(effect));
    }
  }
  aOut = std::move(rest);
  return found;
}

} // namespace by
