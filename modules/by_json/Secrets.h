#pragma once

namespace by {

/// Whether secret fields, such as bearer tokens, are written.
enum class Secrets
{
  Hidden,
  Shown,
};

} // namespace by
