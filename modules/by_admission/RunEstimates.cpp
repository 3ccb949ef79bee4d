#include "by_admission/RunEstimates.h"

#include <algorithm>

#include "by_placement/ResourceMath.h"

namespace by {

namespace {

constexpr std::int64_t kMicrosPerMilli = 1000;
constexpr std::int64_t kWholePermille = 1000;
/// A new sample has a weight of one over this in the moving averages.
constexpr std::int64_t kAverageWindow = 16;
/// Number of runs after which the learned mean is used instead of the declared run time.
constexpr std::int64_t kMinSamples = 3;
/// A task is a straggler when it runs for this many times the 90th percentile of its kind.
constexpr std::int64_t kStragglerFactor = 4;
/// Steps by which the percentile estimate moves up for a sample above it; it moves down by one step
/// otherwise.
constexpr std::int64_t kPercentileStepsUp = 9;
/// The step size is the percentile estimate divided by this.
constexpr std::int64_t kPercentileStepDivisor = 100;
/// Failure rate above which a kind of work is taken to fail on every VM, in thousandths.
constexpr std::int64_t kFailsEverywherePermille = 500;
/// Maximum ratio of used to declared resources, in thousandths.
constexpr std::int64_t kMaxUsePermille = 4000;

LengthEstimate
EstimateOf(const RunEstimateTable& aTable, const KindKey& aKind)
{
  const auto it = aTable.mRows.find(aKind);
  return it == aTable.mRows.end()
           ? LengthEstimate::Create({ .mUsePermille = kWholePermille }).value()
           : it->second;
}

void
Store(RunEstimateTable& aTable, const KindKey& aKind, LengthEstimate::Fields aFields)
{
  if (aTable.mRows.size() >= kMaxKinds && !aTable.mRows.contains(aKind)) {
    return;
  }
  aTable.mRows.insert_or_assign(aKind, LengthEstimate::Create(aFields).value());
}

std::int64_t
MovingAverage(std::int64_t aOld, std::int64_t aNew, std::int64_t aSamples)
{
  const auto window = std::min(aSamples + 1, kAverageWindow);
  return aOld + (aNew - aOld) / window;
}

/// Moves the percentile estimate by small steps. Nine steps up for each step down make it converge
/// to the 90th percentile.
std::int64_t
UpdatePercentile(std::int64_t aPercentile, std::int64_t aSample)
{
  const auto step = std::max<std::int64_t>(
    std::max(aPercentile, aSample / kAverageWindow) / kPercentileStepDivisor, 1);
  return aSample > aPercentile ? aPercentile + step * kPercentileStepsUp
                               : std::max<std::int64_t>(aPercentile - step, 1);
}

} // namespace

Time
LearnedRunTime(const RunEstimateTable& aTable, const WorkItem& aItem)
{
  const auto estimate = EstimateOf(aTable, { aItem.Team(), aItem.Kind() });
  if (estimate.Samples() < kMinSamples) {
    return aItem.DeclaredLength();
  }
  return Time::FromMilliseconds(estimate.MeanMicros() / kMicrosPerMilli);
}

Time
DeclaredLength(const RunEstimateTable&, const WorkItem& aItem)
{
  return aItem.DeclaredLength();
}

Time
StragglerAfter(const RunEstimateTable& aTable, const WorkItem& aItem, Time aShortLimit)
{
  const auto estimate = EstimateOf(aTable, { aItem.Team(), aItem.Kind() });
  const auto percentile = Time::FromMilliseconds(estimate.HighMicros() / kMicrosPerMilli);
  return std::max(aShortLimit, percentile * kStragglerFactor);
}

void
UpdateRunTime(RunEstimateTable& aTable, const KindKey& aKind, Time aRan)
{
  auto fields = EstimateOf(aTable, aKind).ToFields();
  const auto ran = aRan.Milliseconds() * kMicrosPerMilli;
  fields.mMeanMicros = MovingAverage(fields.mMeanMicros, ran, fields.mSamples);
  fields.mHighMicros = fields.mSamples == 0 ? ran : UpdatePercentile(fields.mHighMicros, ran);
  ++fields.mSamples;
  Store(aTable, aKind, fields);
}

void
UpdateFailureRate(RunEstimateTable& aTable, const KindKey& aKind, bool aFailed)
{
  auto fields = EstimateOf(aTable, aKind).ToFields();
  const auto sample = aFailed ? kWholePermille : 0;
  fields.mFailedPermille += (sample - fields.mFailedPermille) / kAverageWindow;
  Store(aTable, aKind, fields);
}

bool
FailsEverywhere(const RunEstimateTable& aTable, const KindKey& aKind)
{
  return EstimateOf(aTable, aKind).FailedPermille() > kFailsEverywherePermille;
}

void
UpdateUsage(RunEstimateTable& aTable,
            const KindKey& aKind,
            const Resources& aDeclared,
            const Resources& aUsed)
{
  const auto declared = AmountsOf(aDeclared);
  const auto used = AmountsOf(aUsed);
  std::int64_t ratio = kWholePermille;
  for (std::size_t i = 0; i < 2; ++i) {
    if (declared[i] > 0) {
      ratio = std::max(ratio, used[i] * kWholePermille / declared[i]);
    }
  }
  auto fields = EstimateOf(aTable, aKind).ToFields();
  fields.mUsePermille +=
    (std::min(ratio, kMaxUsePermille) - fields.mUsePermille) / (kAverageWindow / 4);
  Store(aTable, aKind, fields);
}

Resources
CorrectedDemand(const RunEstimateTable& aTable, const WorkItem& aItem)
{
  const auto declared = EffectiveDemandOf(aItem.Resources());
  const auto permille = EstimateOf(aTable, { aItem.Team(), aItem.Kind() }).UsePermille();
  if (permille <= kWholePermille) {
    return declared;
  }
  const auto scaled = Permille(declared, permille);
  return declared.WithCpuMillis(scaled.CpuMillis()).WithMemoryMb(scaled.MemoryMb());
}

} // namespace by
