#include "Generate.h"

#include <algorithm>
#include <array>

namespace by {

namespace {

constexpr std::int64_t kRackSize = 6;
constexpr std::int64_t kZones = 4;
constexpr std::int64_t kPartners = 4;

Resources
Size(std::int64_t aCpuMillis, std::int64_t aMemoryMb)
{
  return Resources::Create({ .mCpuMillis = aCpuMillis, .mMemoryMb = aMemoryMb, .mSlots = 1 })
    .value();
}

const KindProfile&
FormulationRun()
{
  static const KindProfile kKind{ .mKind = "formulation-run",
                                  .mClass = WorkClass::Batch,
                                  .mTaken = Size(4000, 6144),
                                  .mMean = Time::FromSeconds(20),
                                  .mPart = 0.5,
                                  .mStragglerEvery = 50,
                                  .mStragglerFactor = 10 };
  return kKind;
}

const KindProfile&
ReleaseCheck()
{
  static const KindProfile kKind{ .mKind = "release-check",
                                  .mTaken = Size(1000, 1024),
                                  .mMean = Time::FromMilliseconds(500),
                                  .mMaxWait = Time::FromSeconds(10),
                                  .mPart = 0.2 };
  return kKind;
}

const KindProfile&
ProofRender()
{
  static const KindProfile kKind{ .mKind = "proof-render",
                                  .mClass = WorkClass::Batch,
                                  .mTaken = Size(2000, 4096),
                                  .mMean = Time::FromSeconds(4),
                                  .mMaxWait = Time::FromSeconds(120),
                                  .mPart = 0.3 };
  return kKind;
}

const KindProfile&
SeasonGang()
{
  static const KindProfile kKind{ .mKind = "season-gang",
                                  .mClass = WorkClass::Gang,
                                  .mTaken = Size(2000, 4096),
                                  .mMean = Time::FromSeconds(15) };
  return kKind;
}

void
AddPartners(ArrivalList& aList, std::int64_t aTeams, bool aEqual)
{
  for (std::int64_t i = 0; i < aTeams; ++i) {
    aList.mTeams.push_back(TeamConfig::Create({ .mTeam = TeamId("partner-" + std::to_string(i)),
                                                .mShare = aEqual ? 1 : 1 + i % kPartners })
                             .value());
  }
}

/// Adds the tasks of one gang; they all run equally long.
void
AddGang(ArrivalList& aList, DrawSource& aSource, const TeamId& aTeam, std::int64_t aTasks, Time aAt)
{
  const auto name = "g" + std::to_string(aList.mArrivals.size());
  const auto runs = DrawLength(aSource, SeasonGang().mMean);
  for (std::int64_t i = 0; i < aTasks; ++i) {
    AddTask(aList, aSource, SeasonGang(), aTeam, aAt);
    aList.mArrivals.back().mRuns = runs;
    aList.mArrivals.back().mGang = name;
  }
}

const TeamId&
TeamAt(const ArrivalList& aList, std::int64_t aIndex)
{
  return aList.mTeams.at(static_cast<std::size_t>(aIndex) % aList.mTeams.size()).Team();
}

} // namespace

ArrivalList
GenerateLakfaelles(bool aFullSize, bool aEqual, std::uint64_t aSeed)
{
  constexpr double kLoad = 1.2;
  constexpr double kRoomOfToday = 50;
  constexpr double kRoomOfFullSize = 200;
  constexpr std::int64_t kGangs = 12;
  constexpr std::int64_t kSwingSeconds = 60;
  DrawSource source(aSeed);
  ArrivalList list{ .mName = aFullSize ? "lakfaelles-full" : "lakfaelles-today", .mSeed = aSeed };
  list.mFleet = aFullSize ? FleetOfFullSize(7) : FleetOfToday(kRackSize, kZones);
  AddPartners(list, kPartners, aEqual);
  if (aFullSize) {
    FillWithLongRunningWork(list, source);
  }
  for (const auto* kind : { &FormulationRun(), &ReleaseCheck(), &ProofRender() }) {
    AddSwing(list, source, *kind, kLoad, aFullSize ? kRoomOfFullSize : kRoomOfToday);
  }
  for (std::int64_t i = 0; i < kGangs; ++i) {
    AddGang(list,
            source,
            TeamAt(list, i),
            DrawWhole(source, 2, 64),
            Time::FromSeconds(DrawWhole(source, 1, kSwingSeconds)));
  }
  SortArrivals(list);
  return list;
}

ArrivalList
GenerateBacklog(std::uint64_t aSeed)
{
  constexpr std::int64_t kPieces = 1600;
  constexpr std::int64_t kGangEvery = 40;
  constexpr std::int64_t kArriveOverSeconds = 30;
  DrawSource source(aSeed);
  ArrivalList list{ .mName = "lakfaelles-backlog", .mSeed = aSeed };
  list.mFleet = FleetOfToday(kRackSize, kZones);
  AddPartners(list, kPartners, true);
  const std::array<Resources, 5> sizes{
    Size(1000, 2048), Size(2000, 6144), Size(4000, 4096), Size(4000, 8192), Size(8000, 12'288)
  };
  for (std::int64_t i = 0; i < kPieces; ++i) {
    const auto at = Time::FromMilliseconds(DrawWhole(source, 0, kArriveOverSeconds * 1000));
    if (i % kGangEvery == 0) {
      AddGang(list, source, TeamAt(list, i / kGangEvery), DrawWhole(source, 2, 64), at);
      continue;
    }
    auto kind = FormulationRun();
    const auto size = static_cast<std::size_t>(DrawWhole(source, 0, sizes.size() - 1));
    kind.mKind = "batch-" + std::to_string(size);
    kind.mTaken = sizes.at(size);
    kind.mStragglerEvery = 0;
    AddTask(list, source, kind, TeamAt(list, i), at);
  }
  SortArrivals(list);
  return list;
}

ArrivalList
GenerateStandingDemand(std::int64_t aTeams, bool aEqual, std::uint64_t aSeed)
{
  constexpr std::int64_t kTasks = 40'000;
  constexpr std::int64_t kLateSeconds = 30;
  DrawSource source(aSeed);
  ArrivalList list{ .mName = "standing-demand", .mSeed = aSeed };
  list.mFleet = FleetOfToday(kRackSize, kZones);
  AddPartners(list, aTeams, aEqual);
  KindProfile kind{ .mKind = "batch",
                    .mClass = WorkClass::Batch,
                    .mTaken = Size(2000, 4096),
                    .mMean = Time::FromSeconds(4) };
  for (std::int64_t i = 0; i < kTasks; ++i) {
    const bool late = i % aTeams == 0;
    kind.mPriority = late ? Priority::Normal : Priority::Deferrable;
    AddTask(list,
            source,
            kind,
            TeamAt(list, i % aTeams),
            late ? Time::FromSeconds(kLateSeconds) : Time());
  }
  SortArrivals(list);
  return list;
}

} // namespace by
