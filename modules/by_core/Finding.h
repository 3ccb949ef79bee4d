#pragma once

#include <compare>
#include <string>

namespace by {

/// One fault in what was read, with its place.
class Finding
{
public:
  /// @param aPlace a line, or the path of a key such as "teams[2].quota.cpu_millis".
  /// @param aProblem one short sentence.
  Finding(std::string aPlace, std::string aProblem)
    : mPlace(std::move(aPlace))
    , mProblem(std::move(aProblem))
  {
  }

  /// Where the fault stands.
  const std::string& Place() const { return mPlace; }
  /// What is wrong.
  const std::string& Problem() const { return mProblem; }

  friend bool operator==(const Finding&, const Finding&) = default;
  friend auto operator<=>(const Finding&, const Finding&) = default;

private:
  std::string mPlace;
  std::string mProblem;
};

} // namespace by
