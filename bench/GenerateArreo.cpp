#include "Generate.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace by {

namespace {

constexpr Time kQuiet = Time::FromSeconds(8);
constexpr Time kRise = Time::FromSeconds(5);
constexpr Time kCrest = Time::FromSeconds(30);
constexpr Time kFall = Time::FromSeconds(2);
constexpr Time kAfter = Time::FromSeconds(15);
constexpr Time kEnd = kQuiet + kRise + kCrest + kFall + kAfter;
constexpr double kQuietPart = 0.125;

Resources
Size(std::int64_t aCpuMillis, std::int64_t aMemoryMb)
{
  return Resources::Create({ .mCpuMillis = aCpuMillis, .mMemoryMb = aMemoryMb, .mSlots = 1 })
    .value();
}

const std::array<KindProfile, 4>&
ArreoKinds()
{
  static const std::array<KindProfile, 4> kKinds{ KindProfile{ .mKind = "fare-quote",
                                                               .mPriority = Priority::Urgent,
                                                               .mTaken = Size(1000, 1024),
                                                               .mMean = Time::FromMilliseconds(120),
                                                               .mMaxWait =
                                                                 Time::FromMilliseconds(1500),
                                                               .mPart = 0.35 },
                                                  KindProfile{ .mKind = "permit-check",
                                                               .mTaken = Size(1000, 1024),
                                                               .mMean = Time::FromMilliseconds(400),
                                                               .mMaxWait = Time::FromSeconds(5),
                                                               .mPart = 0.25 },
                                                  KindProfile{ .mKind = "route-plan",
                                                               .mPriority = Priority::Deferrable,
                                                               .mTaken = Size(2000, 4096),
                                                               .mMean = Time::FromSeconds(4),
                                                               .mMaxWait = Time::FromSeconds(600),
                                                               .mPart = 0.25,
                                                               .mStragglerEvery = 50,
                                                               .mStragglerFactor = 20 },
                                                  KindProfile{ .mKind = "convoy-plan",
                                                               .mPriority = Priority::Deferrable,
                                                               .mTaken = Size(4000, 8192),
                                                               .mMean = Time::FromSeconds(60),
                                                               .mMaxWait = Time::FromSeconds(3600),
                                                               .mPart = 0.15 } };
  return kKinds;
}

/// @returns the demand at a point in time against the crest's.
double
SwingAt(Time aAt)
{
  const auto rising =
    static_cast<double>((aAt - kQuiet).Milliseconds()) / static_cast<double>(kRise.Milliseconds());
  const auto falling = static_cast<double>((aAt - kQuiet - kRise - kCrest).Milliseconds()) /
                       static_cast<double>(kFall.Milliseconds());
  const auto up = std::clamp(rising, 0.0, 1.0);
  const auto down = std::clamp(falling, 0.0, 1.0);
  return kQuietPart + (1 - kQuietPart) * (up - down);
}

/// @returns the part of one of today's VMs that a task takes.
double
PartOfVm(const Resources& aTaken)
{
  constexpr double kCpu = 16'000;
  constexpr double kMemory = 32'768;
  constexpr double kSlots = 8;
  return std::max({ static_cast<double>(aTaken.CpuMillis()) / kCpu,
                    static_cast<double>(aTaken.MemoryMb()) / kMemory,
                    static_cast<double>(aTaken.Slots()) / kSlots });
}

/// @returns the mean run time in milliseconds, stragglers included.
double
MeanLength(const KindProfile& aKind)
{
  const auto stragglers = aKind.mStragglerEvery == 0
                            ? 1.0
                            : 1.0 + static_cast<double>(aKind.mStragglerFactor - 1) /
                                      static_cast<double>(aKind.mStragglerEvery);
  return static_cast<double>(aKind.mMean.Milliseconds()) * stragglers;
}

/// @returns the mean distance between two arrivals at the crest, in milliseconds.
double
GapOf(const KindProfile& aKind, double aLoad, double aRoom)
{
  return PartOfVm(aKind.mTaken) * MeanLength(aKind) / (aLoad * aKind.mPart * aRoom);
}

const TeamId&
DrawTeam(const ArrivalList& aList, DrawSource& aSource)
{
  const auto last = static_cast<std::int64_t>(aList.mTeams.size()) - 1;
  return aList.mTeams.at(static_cast<std::size_t>(DrawWhole(aSource, 0, last))).Team();
}

void
AddTeams(ArrivalList& aList, std::int64_t aTeams)
{
  for (std::int64_t i = 0; i < aTeams; ++i) {
    aList.mTeams.push_back(
      TeamConfig::Create({ .mTeam = TeamId("team-" + std::to_string(i)), .mShare = 1 }).value());
  }
}

} // namespace

VmFleet
FleetOfToday(std::int64_t aRackSize, std::int64_t aZones)
{
  return { .mVms = 50,
           .mCapacity =
             Resources::Create({ .mCpuMillis = 16'000, .mMemoryMb = 32'768, .mSlots = 8 }).value(),
           .mRackSize = aRackSize,
           .mZones = aZones };
}

VmFleet
FleetOfFullSize(std::int64_t aZones)
{
  return {
    .mVms = 4'300,
    .mCapacity =
      Resources::Create({ .mCpuMillis = 64'000, .mMemoryMb = 131'072, .mSlots = 24 }).value(),
    .mAccelerators = 5'200,
    .mRackSize = 8,
    .mZones = aZones
  };
}

void
FillWithLongRunningWork(ArrivalList& aList, DrawSource& aSource)
{
  constexpr std::int64_t kTasks = 79'000;
  constexpr std::int64_t kServiceEvery = 5;
  constexpr std::int64_t kReplicas = 20;
  const auto forever = Time::FromSeconds(86'400);
  KindProfile kind{ .mKind = "long-running",
                    .mClass = WorkClass::Batch,
                    .mTaken = Size(3400, 7000),
                    .mMean = forever };
  for (std::int64_t i = 0; i < kTasks; ++i) {
    const bool service = i % kServiceEvery == 0;
    kind.mClass = service ? WorkClass::Service : WorkClass::Batch;
    const auto& team = aList.mTeams.at(static_cast<std::size_t>(i) % aList.mTeams.size()).Team();
    AddTask(aList, aSource, kind, team, Time());
    if (service) {
      auto& item = aList.mArrivals.back().mItem;
      item = item.WithSpreadGroup("service-" + std::to_string(i / kServiceEvery / kReplicas));
    }
  }
}

void
AddTask(ArrivalList& aList,
        DrawSource& aSource,
        const KindProfile& aKind,
        const TeamId& aTeam,
        Time aAt)
{
  auto runs = DrawLength(aSource, aKind.mMean);
  if (aKind.mStragglerEvery > 0 && DrawWhole(aSource, 1, aKind.mStragglerEvery) == 1) {
    runs = runs * aKind.mStragglerFactor;
  }
  const auto startBy = aKind.mMaxWait == Time() ? Time() : aAt + aKind.mMaxWait;
  aList.mArrivals.push_back(
    { .mItem = WorkItem::Create({ .mTeam = aTeam,
                                  .mKind = aKind.mKind,
                                  .mWorkClass = aKind.mClass,
                                  .mPriority = aKind.mPriority,
                                  .mResources = aKind.mTaken,
                                  .mArrived = aAt,
                                  .mStartBy = startBy,
                                  .mDeclaredLength = DrawDeclared(aSource, runs) })
                 .value(),
      .mRuns = runs,
      .mGang = {} });
}

void
AddSwing(ArrivalList& aList,
         DrawSource& aSource,
         const KindProfile& aKind,
         double aLoad,
         double aRoom)
{
  const auto gap = GapOf(aKind, aLoad, aRoom);
  double at = 0;
  while (true) {
    at += DrawExponential(aSource, gap);
    const auto now = Time::FromMilliseconds(static_cast<std::int64_t>(at));
    if (now >= kEnd) {
      return;
    }
    const auto& team = DrawTeam(aList, aSource);
    if (DrawUnit(aSource) < SwingAt(now)) {
      AddTask(aList, aSource, aKind, team, now);
    }
  }
}

void
AddSteady(ArrivalList& aList,
          DrawSource& aSource,
          const KindProfile& aKind,
          double aLoad,
          double aRoom)
{
  const auto gap = GapOf(aKind, aLoad, aRoom);
  const auto present = MeanLength(aKind) / gap;
  for (double n = 0; n < present; ++n) {
    AddTask(aList, aSource, aKind, DrawTeam(aList, aSource), Time());
  }
  for (double at = DrawExponential(aSource, gap);
       Time::FromMilliseconds(static_cast<std::int64_t>(at)) < kEnd;
       at += DrawExponential(aSource, gap)) {
    AddTask(aList,
            aSource,
            aKind,
            DrawTeam(aList, aSource),
            Time::FromMilliseconds(static_cast<std::int64_t>(at)));
  }
}

void
SortArrivals(ArrivalList& aList)
{
  std::stable_sort(aList.mArrivals.begin(),
                   aList.mArrivals.end(),
                   [](const Arrival& aLeft, const Arrival& aRight) {
                     return aLeft.mItem.Arrived() < aRight.mItem.Arrived();
                   });
  std::int64_t n = 0;
  for (auto& arrival : aList.mArrivals) {
    arrival.mItem = arrival.mItem.WithTask(TaskId("t" + std::to_string(n++)));
  }
}

ArrivalList
GenerateArreo(bool aFullSize, double aLoad, std::uint64_t aSeed)
{
  constexpr std::int64_t kZones = 3;
  constexpr std::int64_t kRackSize = 8;
  constexpr std::int64_t kTeamsOfToday = 6;
  constexpr std::int64_t kTeamsOfFullSize = 150;
  constexpr double kRoomOfToday = 50;
  constexpr double kRoomOfFullSize = 200;
  DrawSource source(aSeed);
  ArrivalList list{ .mName = aFullSize ? "arreo-full" : "arreo-today", .mSeed = aSeed };
  list.mFleet = aFullSize ? FleetOfFullSize(7) : FleetOfToday(kRackSize, kZones);
  AddTeams(list, aFullSize ? kTeamsOfFullSize : kTeamsOfToday);
  if (aFullSize) {
    FillWithLongRunningWork(list, source);
  }
  const auto room = aFullSize ? kRoomOfFullSize : kRoomOfToday;
  for (const auto& kind : ArreoKinds()) {
    const auto add = kind.mPriority == Priority::Deferrable ? AddSteady : AddSwing;
    add(list, source, kind, aLoad, room);
  }
  SortArrivals(list);
  return list;
}

ArrivalList
GenerateShortAndLong(double aLoad, bool aWithLong, std::uint64_t aSeed)
{
  constexpr double kVms = 50;
  constexpr std::int64_t kLongEvery = 50;
  constexpr std::int64_t kLongFactor = 100;
  constexpr std::int64_t kTeams = 6;
  const auto end = Time::FromSeconds(40);
  const KindProfile shortKind{ .mKind = "short",
                               .mTaken = Size(2000, 2048),
                               .mMean = Time::FromMilliseconds(200),
                               .mMaxWait = Time::FromSeconds(30) };
  auto longKind = shortKind;
  longKind.mKind = "long";
  longKind.mPriority = Priority::Deferrable;
  longKind.mMean = shortKind.mMean * kLongFactor;
  longKind.mMaxWait = Time::FromSeconds(3600);
  DrawSource source(aSeed);
  DrawSource longSource(aSeed + 1);
  ArrivalList list{ .mName = aWithLong ? "short-and-long" : "short-only", .mSeed = aSeed };
  list.mFleet = FleetOfToday(8, 3);
  AddTeams(list, kTeams);
  const auto gap = PartOfVm(shortKind.mTaken) *
                   static_cast<double>(shortKind.mMean.Milliseconds()) / (aLoad * kVms);
  double at = 0;
  for (std::int64_t n = 1; at < static_cast<double>(end.Milliseconds()); ++n) {
    at += DrawExponential(source, gap);
    const auto now = Time::FromMilliseconds(static_cast<std::int64_t>(at));
    const auto& team =
      list.mTeams.at(static_cast<std::size_t>(DrawWhole(source, 0, kTeams - 1))).Team();
    AddTask(list, source, shortKind, team, now);
    if (aWithLong && n % kLongEvery == 0) {
      AddTask(list, longSource, longKind, team, now);
    }
  }
  SortArrivals(list);
  return list;
}

} // namespace by
