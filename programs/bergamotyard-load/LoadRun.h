#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "Tally.h"
#include "by_client/HttpClient.h"
#include "by_schema/LoadSettings.h"

namespace by::load {

/// Many callers that submit requests to all entry nodes.
class LoadRun
{
public:
  /// @param aRun sets the labels of this run apart from those of others.
  LoadRun(const LoadSettings& aSettings, std::string aRun);

  /// Submits everything and waits for every end.
  Tally Run();

private:
  /// One submission under way.
  struct Submission
  {
    LoadRequest mRequest;
    std::size_t mNode;
    Time mStartedAt;
    int mCalls{ 0 };
    bool mCallLost{ false };
    bool mIsTwin{ false };
  };

  void NextOfCaller();
  void After(Time aDelay, std::function<void()> aThen);
  void Call(const std::shared_ptr<Submission>& aSubmission);
  void OnResult(const std::shared_ptr<Submission>& aSubmission, const HttpResult& aResult);
  bool IsInWindow(Time aStartedAt) const;
  bool IsOver() const;

  LoadSettings mSettings;
  std::string mRun;
  Time mStart;
  boost::asio::io_context mContext;
  std::unique_ptr<HttpClient> mClient;
  std::uint64_t mNext{ 0 };
  Tally mTally;
};

} // namespace by::load
