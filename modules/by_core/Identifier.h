#pragma once

#include <compare>
#include <string>
#include <string_view>
#include <utility>

namespace by {

/// A name that can't be mixed up with a name of another kind.
/// @tparam Tag an incomplete type that sets this kind apart.
template<class Tag>
class Identifier
{
public:
  Identifier() = default;

  /// @param aText the name as it stands in messages.
  explicit Identifier(std::string aText)
    : mText(std::move(aText))
  {
  }

  /// @returns the name as it stands in messages.
  const std::string& Text() const { return mText; }

  /// @returns whether no name was given.
  bool IsEmpty() const { return mText.empty(); }

  friend bool operator==(const Identifier&, const Identifier&) = default;
  friend auto operator<=>(const Identifier&, const Identifier&) = default;

  /// Lets absl's tables hash it.
  template<class H>
  friend H AbslHashValue(H aState, const Identifier& aValue)
  {
    return H::combine(std::move(aState), aValue.mText);
  }

private:
  std::string mText;
};

/// A backend server's VM.
using VmId = Identifier<struct VmTag>;
/// A rack of VMs.
using RackId = Identifier<struct RackTag>;
/// An availability zone.
using ZoneId = Identifier<struct ZoneTag>;
/// A team: one buyer of capacity.
using TeamId = Identifier<struct TeamTag>;
/// An entry node.
using NodeId = Identifier<struct NodeTag>;
/// A caller's request: 32 hexadecimal digits.
using RequestId = Identifier<struct RequestTag>;
/// An operator's intent.
using IntentId = Identifier<struct IntentTag>;
/// One task of an intent or of a request.
using TaskId = Identifier<struct TaskTag>;
/// One record of the platform's log.
using RecordId = Identifier<struct RecordTag>;

} // namespace by
