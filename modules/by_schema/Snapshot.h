#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <utility>

#include "absl/status/status.h"
#include "absl/status/statusor.h"

#include "by_schema/LogStateImage.h"

namespace by {

/// A piece of the folded state, written before the records that it was folded from expire.
class Snapshot
{
public:
  /// All fields by name, as input of Create().
  struct Fields
  {
    /// Offset from which readers of the snapshot continue to read the log.
    std::uint64_t mNextOffset{ 0 };
    /// Index of the piece, from 0.
    std::uint32_t mPiece{ 0 };
    /// Number of pieces of the whole snapshot.
    std::uint32_t mPieces{ 0 };
    /// Rows of this piece.
    LogStateImage mImage{};

    friend bool operator==(const Fields&, const Fields&) = default;
    friend auto operator<=>(const Fields&, const Fields&) = default;
  };

  /// Creates a value whose fields have their defaults.
  Snapshot() = default;

  /// Creates a value from its fields.
  /// @returns the value, or InvalidArgument with the name of a field that is out of bounds.
  static absl::StatusOr<Snapshot> Create(Fields aFields) { return Snapshot(std::move(aFields)); }

  /// Returns a copy of the fields, from which a changed value can be created.
  Fields ToFields() const { return mFields; }

  /// Offset from which readers of the snapshot continue to read the log.
  std::uint64_t NextOffset() const { return mFields.mNextOffset; }
  /// @returns a copy of this value with another NextOffset.
  [[nodiscard]] Snapshot WithNextOffset(std::uint64_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mNextOffset = std::move(aValue);
    return copy;
  }

  /// Index of the piece, from 0.
  std::uint32_t Piece() const { return mFields.mPiece; }
  /// @returns a copy of this value with another Piece.
  [[nodiscard]] Snapshot WithPiece(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPiece = std::move(aValue);
    return copy;
  }

  /// Number of pieces of the whole snapshot.
  std::uint32_t Pieces() const { return mFields.mPieces; }
  /// @returns a copy of this value with another Pieces.
  [[nodiscard]] Snapshot WithPieces(std::uint32_t aValue) const
  {
    auto copy = *this;
    copy.mFields.mPieces = std::move(aValue);
    return copy;
  }

  /// Rows of this piece.
  const LogStateImage& Image() const { return mFields.mImage; }
  /// @returns a copy of this value with another Image.
  [[nodiscard]] Snapshot WithImage(LogStateImage aValue) const
  {
    auto copy = *this;
    copy.mFields.mImage = std::move(aValue);
    return copy;
  }

  friend bool operator==(const Snapshot&, const Snapshot&) = default;
  friend auto operator<=>(const Snapshot&, const Snapshot&) = default;

private:
  explicit Snapshot(Fields aFields)
    : mFields(std::move(aFields))
  {
  }

  Fields mFields;
};

} // namespace by
