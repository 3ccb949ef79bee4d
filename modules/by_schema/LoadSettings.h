#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_core/Time.h"
#include "by_schema/Endpoint.h"
#include "by_schema/TeamConfig.h"

namespace by {

/// Settings of the load tool.
class LoadSettings
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// HTTP endpoints of the entry nodes.
    std::vector<Endpoint> mNodes{};
    /// Teams that send requests, with their tokens.
    std::vector<TeamConfig> mTeams{};
    /// Endpoint of the counters of the backend server stand-in.
    Endpoint mBackendControl{};
    /// Number of requests to submit.
    std::int64_t mRequests{ 2000 };
    /// Number of concurrent callers; each has one open request.
    std::int64_t mCallers{ 64 };
    /// Seed of the random mix of requests.
    std::uint64_t mSeed{ 0 };
    /// How long requests are submitted, instead of a fixed number; zero to submit a fixed number.
    Time mDuration{};
    /// Start of the period whose requests are also counted separately, counted from the start of
    /// the run.
    Time mWindowFrom{};
    /// End of this period, counted from the start of the run.
    Time mWindowTo{};
    /// Timeout of a call.
    Time mCallTimeout{ Time::FromMilliseconds(60000) };
    /// Delay of a caller between an answer and its next request.
    Time mThinkTime{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  LoadSettings() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<LoadSettings> Create(Fields aFields);

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// HTTP endpoints of the entry nodes.
  const std::vector<Endpoint>& Nodes() const { return mFields.mNodes; }
  /// @returns a copy of this value with another Nodes.
  [[nodiscard]] LoadSettings WithNodes(std::vector<Endpoint> aValue) const
  {
    auto copy = *this;
    copy.mFields.mNodes = std::move(aValue);
    return copy;
  }

  /// Teams that send requests, with their tokens.
  const std::vector<TeamConfig>& Teams() const { return mFields.mTeams; }
  /// @returns a copy of this value with another Teams.
  [[nodiscard]] LoadSettings WithTeams(std::vector<TeamConfig> aValue) const
  {
    auto copy = *this;
    copy.mFields.mTeams = std::move(aValue);
    return copy;
  }

  /// Endpoint of the counters of the backend server stand-in.
  const Endpoint& BackendControl() const { return mFields.mBackendControl; }
  /// @returns a copy of this value with another BackendControl.
  [[nodiscard]] LoadSettings WithBackendControl(Endpoint aValue) const
  {
    auto copy = *this;
    copy.mFields.mBackendControl = std::move(aValue);
    return copy;
  }

  /// Number of requests to submit.
  std::int64_t Requests() const { return mFields.mRequests; }

  /// Number of concurrent callers; each has one open request.
  std::int64_t Callers() const { return mFields.mCallers; }

  /// Seed of the random mix of requests.
  std::uint64_t Seed() const { return mFields.mSeed; }
  /// @returns a copy of this value with another Seed.
  [[nodiscard]] LoadSettings WithSeed(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mSeed = std::move(aValue);
    return copy;
  }

  /// How long requests are submitted, instead of a fixed number; zero to submit a fixed number.
  Time Duration() const { return mFields.mDuration; }

  /// Start of the period whose requests are also counted separately, counted from the start of the
  /// run.
  Time WindowFrom() const { return mFields.mWindowFrom; }
  /// @returns a copy of this value with another WindowFrom.
  [[nodiscard]] LoadSettings WithWindowFrom(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWindowFrom = std::move(aValue);
    return copy;
  }

  /// End of this period, counted from the start of the run.
  Time WindowTo() const { return mFields.mWindowTo; }
  /// @returns a copy of this value with another WindowTo.
  [[nodiscard]] LoadSettings WithWindowTo(Time aValue) const
  {
    auto copy = *this;
    copy.mFields.mWindowTo = std::move(aValue);
    return copy;
  }

  /// Timeout of a call.
  Time CallTimeout() const { return mFields.mCallTimeout; }

  /// Delay of a caller between an answer and its next request.
  Time ThinkTime() const { return mFields.mThinkTime; }

  friend bool operator==(const LoadSettings&, const LoadSettings&) = default;
  friend auto operator<=>(const LoadSettings&, const LoadSettings&) = default;

private:
  explicit LoadSettings(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
