#include "LoadRequest.h"

#include <array>
#include <random>

#include "absl/strings/str_cat.h"

namespace by::load {

namespace {

/// One kind of work in the mix.
struct KindOfWork
{
  const char* mName;
  int mWeight;
  bool mIdempotent;
  Priority mPriority;
  std::int64_t mRunMs;
  std::int64_t mCpuMillis;
};

constexpr std::array kMix = {
  KindOfWork{ "fare-quote", 45, true, Priority::Urgent, 15, 500 },
  KindOfWork{ "permit-check", 20, true, Priority::Normal, 30, 1000 },
  KindOfWork{ "booking", 20, false, Priority::Normal, 20, 500 },
  KindOfWork{ "proof-render", 10, false, Priority::Normal, 60, 2000 },
  KindOfWork{ "route-plan", 5, true, Priority::Deferrable, 300, 4000 },
};
constexpr int kTwinPercent = 10;
constexpr int kHundred = 100;

const KindOfWork&
DrawKind(std::mt19937_64& aRandom)
{
  auto left = static_cast<int>(aRandom() % kHundred);
  for (const auto& kind : kMix) {
    left -= kind.mWeight;
    if (left < 0) {
      return kind;
    }
  }
  return kMix.front();
}

} // namespace

LoadRequest
MakeRequest(std::uint64_t aSeed, const std::string& aRun, std::uint64_t aNumber, std::size_t aTeams)
{
  std::mt19937_64 random(aSeed * 1000003 + aNumber);
  const auto& kind = DrawKind(random);
  const auto label = absl::StrCat(aRun, "-", aNumber);
  const auto room = Resources::Create(
    { .mCpuMillis = kind.mCpuMillis, .mMemoryMb = 256, .mAccelerators = 0, .mSlots = 1 });
  auto body = SubmitBody::Create(
    { .mLabel = label,
      .mKind = kind.mName,
      .mIdempotent = kind.mIdempotent,
      .mPriority = kind.mPriority,
      .mResources = *room,
      .mDeclaredLength = Time::FromMilliseconds(kind.mRunMs),
      .mPayload = absl::StrCat("run_ms=", kind.mRunMs, ";", label, "/", random()) });
  const bool hasTwin = !kind.mIdempotent && random() % kHundred < kTwinPercent;
  return {
    .mNumber = aNumber, .mTeam = random() % aTeams, .mBody = *std::move(body), .mHasTwin = hasTwin
  };
}

} // namespace by::load
