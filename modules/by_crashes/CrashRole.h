#pragma once

#include <cstdint>
#include <string_view>

namespace by {

/// The part that a run had in the crash of its worker.
enum class CrashRole : std::uint8_t
{
  /// It had run without harm before, and a newer run stood beside it.
  Bystander,
  /// It may have caused the crash, as may runs of other jobs.
  Suspect,
  /// Only runs of its job can have caused the crash, but they had run without harm for a time or
  /// may have ended before.
  DoubtfulSuspect,
  /// Only runs of its job can have caused the crash, but the worker has not confirmed its start and
  /// may have crashed before.
  UnconfirmedSuspect,
  /// Only runs of its job can have caused the crash.
  SoleSuspect,
};

/// @returns the role as a word for log lines.
constexpr std::string_view
ToString(CrashRole aRole)
{
  switch (aRole) {
    case CrashRole::Bystander:
      return "bystander";
    case CrashRole::Suspect:
      return "suspect";
    case CrashRole::DoubtfulSuspect:
      return "doubtful_suspect";
    case CrashRole::UnconfirmedSuspect:
      return "unconfirmed_suspect";
    case CrashRole::SoleSuspect:
      return "sole_suspect";
  }
  return "unknown";
}

} // namespace by
