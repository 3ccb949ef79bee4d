#pragma once

#include <compare>
#include <optional>

#include "by_core/Time.h"

namespace by::detail {

/// The decision about a submission with respect to the rate of its team.
struct SubmissionCheck
{
  /// Whether it is accepted although it exceeds the rate.
  bool mIsExcess{ false };
  /// When the caller of a refused submission should retry, as a delay; empty if it is accepted.
  std::optional<Time> mRetryAfter;

  friend bool operator==(const SubmissionCheck&, const SubmissionCheck&) = default;
  friend auto operator<=>(const SubmissionCheck&, const SubmissionCheck&) = default;
};

} // namespace by::detail
