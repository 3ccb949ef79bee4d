#include "ArrivalListText.h"

#include <istream>
#include <ostream>
#include <sstream>

#include "by_core/Findings.h"

namespace by {

namespace {

constexpr const char* kNone = "-";

std::string
OrNone(const std::string& aText)
{
  return aText.empty() ? kNone : aText;
}

std::string
FromNone(std::string aText)
{
  return aText == kNone ? std::string() : std::move(aText);
}

void
WriteArrival(const Arrival& aArrival, std::ostream& aOut)
{
  const auto& item = aArrival.mItem;
  const auto& taken = item.Resources();
  const auto patience = item.StartBy() == Time() ? Time() : item.StartBy() - item.Arrived();
  const auto cancelled = aArrival.mCancelled == Time::Never() ? Time() : aArrival.mCancelled;
  aOut << "task " << item.Arrived().Milliseconds() << ' ' << item.Task().Text() << ' '
       << item.Team().Text() << ' ' << item.Kind() << ' ' << static_cast<int>(item.WorkClass())
       << ' ' << static_cast<int>(item.Priority()) << ' ' << taken.CpuMillis() << ' '
       << taken.MemoryMb() << ' ' << taken.Accelerators() << ' ' << taken.Slots() << ' '
       << patience.Milliseconds() << ' ' << item.DeclaredLength().Milliseconds() << ' '
       << aArrival.mRuns.Milliseconds() << ' ' << cancelled.Milliseconds() << ' '
       << OrNone(item.SpreadGroup()) << ' ' << OrNone(aArrival.mGang) << '\n';
}

/// The columns of one task as they stand in the text.
struct TaskLine
{
  std::int64_t mArrived{ 0 };
  std::string mTask;
  std::string mTeam;
  std::string mKind;
  int mClass{ 0 };
  int mPriority{ 0 };
  Resources::Fields mTaken;
  std::int64_t mMaxWait{ 0 };
  std::int64_t mDeclared{ 0 };
  std::int64_t mRuns{ 0 };
  std::int64_t mCancelled{ 0 };
  std::string mSpread;
  std::string mGang;
};

Arrival
ArrivalFrom(const TaskLine& aLine)
{
  const auto arrived = Time::FromMilliseconds(aLine.mArrived);
  const auto startBy =
    aLine.mMaxWait == 0 ? Time() : arrived + Time::FromMilliseconds(aLine.mMaxWait);
  return { .mItem = WorkItem::Create({ .mTask = TaskId(aLine.mTask),
                                       .mTeam = TeamId(aLine.mTeam),
                                       .mKind = aLine.mKind,
                                       .mWorkClass = static_cast<WorkClass>(aLine.mClass),
                                       .mPriority = static_cast<Priority>(aLine.mPriority),
                                       .mResources = Resources::Create(aLine.mTaken).value(),
                                       .mArrived = arrived,
                                       .mStartBy = startBy,
                                       .mDeclaredLength = Time::FromMilliseconds(aLine.mDeclared),
                                       .mSpreadGroup = FromNone(aLine.mSpread) })
                      .value(),
           .mRuns = Time::FromMilliseconds(aLine.mRuns),
           .mCancelled =
             aLine.mCancelled == 0 ? Time::Never() : Time::FromMilliseconds(aLine.mCancelled),
           .mGang = FromNone(aLine.mGang) };
}

bool
ReadTask(std::istream& aIn, ArrivalList& aList)
{
  TaskLine line;
  aIn >> line.mArrived >> line.mTask >> line.mTeam >> line.mKind >> line.mClass >> line.mPriority >>
    line.mTaken.mCpuMillis >> line.mTaken.mMemoryMb >> line.mTaken.mAccelerators >>
    line.mTaken.mSlots >> line.mMaxWait >> line.mDeclared >> line.mRuns >> line.mCancelled >>
    line.mSpread >> line.mGang;
  const bool valid = !aIn.fail() && line.mClass >= 0 && line.mClass <= 3 && line.mPriority >= 0 &&
                     line.mPriority <= 2;
  if (valid) {
    aList.mArrivals.push_back(ArrivalFrom(line));
  }
  return valid;
}

bool
ReadFleet(std::istream& aIn, ArrivalList& aList)
{
  Resources::Fields capacity;
  auto& fleet = aList.mFleet;
  aIn >> fleet.mVms >> capacity.mCpuMillis >> capacity.mMemoryMb >> capacity.mSlots >>
    fleet.mAccelerators >> fleet.mRackSize >> fleet.mZones;
  fleet.mCapacity = Resources::Create(capacity).value();
  return !aIn.fail() && fleet.mRackSize > 0 && fleet.mZones > 0;
}

bool
ReadTeam(std::istream& aIn, ArrivalList& aList)
{
  std::string name;
  std::int64_t share = 0;
  Resources::Fields quota;
  aIn >> name >> share >> quota.mCpuMillis >> quota.mMemoryMb >> quota.mSlots;
  const auto team = TeamConfig::Create(
    { .mTeam = TeamId(name), .mShare = share, .mRequestQuota = Resources::Create(quota).value() });
  if (aIn.fail() || !team.ok()) {
    return false;
  }
  aList.mTeams.push_back(*team);
  return true;
}

bool
ReadLine(const std::string& aLine, ArrivalList& aList)
{
  std::istringstream in(aLine);
  std::string word;
  in >> word;
  if (word == "task") {
    return ReadTask(in, aList);
  }
  if (word == "team") {
    return ReadTeam(in, aList);
  }
  if (word == "vms") {
    return ReadFleet(in, aList);
  }
  if (word == "name") {
    return static_cast<bool>(in >> aList.mName);
  }
  return word == "seed" && in >> aList.mSeed;
}

} // namespace

void
WriteArrivalList(const ArrivalList& aList, std::ostream& aOut)
{
  const auto& fleet = aList.mFleet;
  aOut << "# bergamotyard arrival list, version 1; see docs/BENCH.md\n"
       << "name " << aList.mName << "\nseed " << aList.mSeed << "\nvms " << fleet.mVms << ' '
       << fleet.mCapacity.CpuMillis() << ' ' << fleet.mCapacity.MemoryMb() << ' '
       << fleet.mCapacity.Slots() << ' ' << fleet.mAccelerators << ' ' << fleet.mRackSize << ' '
       << fleet.mZones << '\n';
  for (const auto& team : aList.mTeams) {
    const auto& quota = team.RequestQuota();
    aOut << "team " << team.Team().Text() << ' ' << team.Share() << ' ' << quota.CpuMillis() << ' '
         << quota.MemoryMb() << ' ' << quota.Slots() << '\n';
  }
  for (const auto& arrival : aList.mArrivals) {
    WriteArrival(arrival, aOut);
  }
}

absl::StatusOr<ArrivalList>
ReadArrivalList(std::istream& aIn)
{
  ArrivalList list;
  Findings findings;
  std::string line;
  for (int n = 1; std::getline(aIn, line); ++n) {
    if (!line.empty() && line.front() != '#' && !ReadLine(line, list)) {
      findings.Add("line " + std::to_string(n), "can't be read: " + line);
    }
  }
  if (!findings.IsEmpty()) {
    return findings.ToStatus();
  }
  return list;
}

} // namespace by
