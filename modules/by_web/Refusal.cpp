#include "by_web/Refusal.h"

namespace by {

const char*
ToString(Refusal aReason)
{
  switch (aReason) {
    case Refusal::Malformed:
      return "malformed";
    case Refusal::HeaderTooLarge:
      return "header_too_large";
    case Refusal::BodyTooLarge:
      return "body_too_large";
    case Refusal::FramingTooLarge:
      return "framing_too_large";
    case Refusal::OutOfMemory:
      return "out_of_memory";
    case Refusal::TooManyConnections:
      return "too_many_connections";
    case Refusal::HeaderTimeout:
      return "header_timeout";
    case Refusal::BodyTimeout:
      return "body_timeout";
    case Refusal::AnswerTimeout:
      return "answer_timeout";
    case Refusal::IdleTimeout:
      return "idle_timeout";
    case Refusal::GaveWay:
      return "gave_way";
  }
  return "unknown";
}

} // namespace by
