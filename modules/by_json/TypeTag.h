#pragma once

namespace by {

/// Chooses the reader of a type by overload.
template<class T>
struct TypeTag
{
};

} // namespace by
