#include <array>
#include <chrono>
#include <future>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include "by_web/by_web.h"

using namespace by;

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

const std::string kQuestion = "GET /batch/ HTTP/1.1\r\nHost: node\r\nContent-Length: 0\r\n\r\n";
/// What callers are given to reach a state; no state takes longer.
constexpr std::chrono::seconds kPatience{ 20 };

/// The room of the server.
constexpr std::int64_t kConnections = 6;
constexpr std::int64_t kCallBytes = 20000;
/// A timeout that callers exceed at once, and one that none exceeds.
constexpr Time kShort = Time::FromMilliseconds(20);
constexpr Time kLong = Time::FromMilliseconds(600000);

/// A caller that blocks; its requests wait in the kernel until the server's io_context runs.
class Caller
{
public:
  explicit Caller(const Endpoint& aServer)
    : mSocket(mContext)
  {
    mSocket.connect({ boost::asio::ip::make_address(aServer.Address()),
                      static_cast<boost::asio::ip::port_type>(aServer.Port()) });
  }

  void Send(const std::string& aText)
  {
    boost::asio::write(mSocket, boost::asio::buffer(aText), mError);
  }
  void ShutDownSending() { mSocket.shutdown(tcp::socket::shutdown_send, mError); }
  void Close() { mSocket.close(mError); }
  void Reset()
  {
    mSocket.set_option(tcp::socket::linger(true, 0), mError);
    mSocket.close(mError);
  }

  /// Reads until the server closes the connection.
  std::string ReadToEnd()
  {
    std::string text;
    boost::asio::read(mSocket, boost::asio::dynamic_buffer(text), mError);
    return text;
  }
  /// How the last read ended.
  const error_code& Error() const { return mError; }

  /// Reads one answer without a body.
  std::string ReadAnswer()
  {
    std::string text;
    std::array<char, 1> next{};
    while (!text.ends_with("\r\n\r\n") &&
           boost::asio::read(mSocket, boost::asio::buffer(next), mError) == 1) {
      text += next.front();
    }
    return text;
  }

private:
  boost::asio::io_context mContext;
  tcp::socket mSocket;
  error_code mError;
};

/// Whether a text holds an answer with a status.
bool
HasStatus(const std::string& aText, unsigned aStatus)
{
  return aText.starts_with("HTTP/1.1 " + std::to_string(aStatus));
}

} // namespace

TEST_GROUP(WebServer)
{
  void setup() override
  {
    auto server = WebServer::Create(
      mContext,
      Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 0 }).value(),
      { .mConnections = kConnections, .mRefusals = 1, .mCallBytes = kCallBytes },
      [this](const WebRequest&, const std::shared_ptr<WebSession>& aSession) {
        mCalls.push_back(aSession);
      },
      {},
      [this](const UnansweredCall& aCall) { mUnanswered.push_back(aCall); },
      [this](Refusal aReason) { ++mRefusals[aReason]; });
    CHECK(server.ok());
    mServer = *std::move(server);
  }

  void teardown() override
  {
    mServer->Close();
    Settle();
  }

  /// Runs everything that is ready on the server's side.
  void Settle()
  {
    mContext.restart();
    mContext.poll();
  }

  /// Runs the server until something holds.
  template<class Predicate>
  void RunUntil(Predicate aHolds)
  {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!aHolds() && std::chrono::steady_clock::now() < end) {
      mContext.restart();
      mContext.run_one_for(std::chrono::milliseconds(10));
    }
    CHECK(aHolds());
  }

  std::unique_ptr<Caller> Connect()
  {
    const auto before = mServer->OpenConnections();
    auto caller = std::make_unique<Caller>(mServer->Listening());
    RunUntil([&] { return mServer->OpenConnections() > before; });
    return caller;
  }

  /// Answers the calls that were taken.
  void AnswerAll()
  {
    for (const auto& call : std::exchange(mCalls, {})) {
      call->Answer(200, "");
    }
  }

  /// Runs the server, and answers each call, until the last connection is closed.
  void RunToEnd(bool& aFinished)
  {
    RunUntil([&] {
      AnswerAll();
      return aFinished;
    });
  }

  boost::asio::io_context mContext;
  std::shared_ptr<WebServer> mServer;
  std::vector<std::shared_ptr<WebSession>> mCalls;
  std::vector<UnansweredCall> mUnanswered;
  std::map<Refusal, int> mRefusals;
};

/// A planned stop closed connections whose requests the busy process had not read yet.
TEST(WebServer, StopAnswersRequestsThatTheKernelHolds)
{
  auto caller = Connect();
  caller->Send(kQuestion);
  mServer->CloseAfterAnswers();
  bool finished = false;
  mServer->Finish([&] { finished = true; });
  RunUntil([&] { return !mCalls.empty(); });
  AnswerAll();
  auto text = std::async(std::launch::async, [&] { return caller->ReadToEnd(); });
  // The caller closes its side once it has read to the end.
  RunUntil([&] { return text.wait_for(std::chrono::seconds(0)) == std::future_status::ready; });
  CHECK(HasStatus(text.get(), 200));
  caller->Close();
  RunToEnd(finished);
}

/// A request whose bytes arrived in parts around a planned stop ended without an answer.
TEST(WebServer, StopAnswersARequestThatHasBegunToArrive)
{
  auto caller = Connect();
  caller->Send(kQuestion.substr(0, 10));
  Settle();
  bool finished = false;
  mServer->Finish([&] { finished = true; });
  Settle();
  caller->Send(kQuestion.substr(10));
  RunUntil([&] { return !mCalls.empty(); });
  AnswerAll();
  Settle();
  CHECK(HasStatus(caller->ReadAnswer(), 200));
  caller->Close();
  RunToEnd(finished);
}

/// Connections that waited to be accepted were reset by the end of a planned stop.
TEST(WebServer, StopAnswersRequestsOnConnectionsThatWereNotAccepted)
{
  Caller caller(mServer->Listening());
  caller.Send(kQuestion);
  bool finished = false;
  mServer->Finish([&] { finished = true; });
  RunUntil([&] { return !mCalls.empty(); });
  AnswerAll();
  Settle();
  CHECK(HasStatus(caller.ReadAnswer(), 200));
  caller.Close();
  RunToEnd(finished);
}

/// A process that stopped gave calls that its decisions still held no answer.
TEST(WebServer, StopWaitsForTheAnswersToOpenCalls)
{
  auto caller = Connect();
  caller->Send(kQuestion);
  RunUntil([&] { return !mCalls.empty(); });
  bool finished = false;
  mServer->Finish([&] { finished = true; });
  Settle();
  CHECK_FALSE(finished);
  AnswerAll();
  Settle();
  CHECK(HasStatus(caller->ReadAnswer(), 200));
  caller->Close();
  RunToEnd(finished);
}

TEST(WebServer, StopClosesConnectionsWithoutACallAtOnce)
{
  auto caller = Connect();
  Settle();
  bool finished = false;
  mServer->Finish([&] { finished = true; });
  RunUntil([&] { return finished; });
  STRCMP_EQUAL("", caller->ReadToEnd().c_str());
  CHECK(caller->Error() == boost::asio::error::eof);
}

TEST(WebServer, StopWithoutConnectionsIsFinishedAtOnce)
{
  bool finished = false;
  mServer->Finish([&] { finished = true; });
  RunUntil([&] { return finished; });
}

/// A connection that was accepted just before the listener closed was dropped with its request.
TEST(WebServer, StopAnswersRequestsOnAConnectionThatIsBeingAccepted)
{
  Caller first(mServer->Listening());
  first.Send(kQuestion);
  Caller second(mServer->Listening());
  second.Send(kQuestion);
  bool finished = false;
  // The second connection is accepted in the handler of the first, and its own handler then stands
  // behind the stop.
  boost::asio::post(mContext, [&] {
    boost::asio::post(mContext, [&] { mServer->Finish([&] { finished = true; }); });
  });
  RunUntil([&] { return mCalls.size() == 2; });
  AnswerAll();
  Settle();
  CHECK(HasStatus(first.ReadAnswer(), 200));
  CHECK(HasStatus(second.ReadAnswer(), 200));
  first.Close();
  second.Close();
  RunToEnd(finished);
}

/// A draining node closed idle connections under requests that were on their way.
TEST(WebServer, DrainingServerAnswersTheNextRequestAndCloses)
{
  auto caller = Connect();
  mServer->CloseAfterAnswers();
  Settle();
  caller->Send(kQuestion);
  RunUntil([&] { return !mCalls.empty(); });
  AnswerAll();
  Settle();
  const auto answer = caller->ReadAnswer();
  CHECK(HasStatus(answer, 200));
  STRCMP_CONTAINS("Connection: close", answer.c_str());
  auto later = Connect();
  later->Send(kQuestion);
  RunUntil([&] { return !mCalls.empty(); });
  AnswerAll();
  Settle();
  STRCMP_CONTAINS("Connection: close", later->ReadAnswer().c_str());
}

/// A caller that shut down its sending side after its request got no answer.
TEST(WebServer, CallerThatHasShutDownItsSendingSideIsAnswered)
{
  auto caller = Connect();
  caller->Send(kQuestion);
  caller->ShutDownSending();
  RunUntil([&] { return !mCalls.empty(); });
  Settle();
  CHECK_EQUAL(1, mServer->OpenConnections());
  AnswerAll();
  RunUntil([&] { return mServer->OpenConnections() == 0; });
  CHECK(HasStatus(caller->ReadToEnd(), 200));
  CHECK(caller->Error() == boost::asio::error::eof);
  CHECK(mUnanswered.empty());
}

/// A reset behind the last answer destroyed it, as bytes of the caller were still unread.
TEST(WebServer, LastAnswerSurvivesBytesThatFollowTheRequest)
{
  auto caller = Connect();
  caller->Send(kQuestion);
  RunUntil([&] { return !mCalls.empty(); });
  mServer->CloseAfterAnswers();
  caller->Send(kQuestion);
  AnswerAll();
  Settle();
  CHECK(HasStatus(caller->ReadToEnd(), 200));
  CHECK(caller->Error() == boost::asio::error::eof);
}

/// The refusal of a large body was lost with the reset that followed it.
TEST(WebServer, RefusalOfALargeBodySurvivesTheBody)
{
  auto caller = Connect();
  caller->Send("POST /batch/a HTTP/1.1\r\nHost: node\r\nContent-Length: 99999999\r\n\r\n");
  caller->Send(std::string(65536, 'x'));
  RunUntil([&] {
    Settle();
    return true;
  });
  CHECK(HasStatus(caller->ReadToEnd(), 413));
  CHECK(caller->Error() == boost::asio::error::eof);
}

TEST(WebServer, BytesThatAreNotHttpAreRefused)
{
  auto caller = Connect();
  caller->Send("hello\r\n\r\n");
  auto text = std::async(std::launch::async, [&] { return caller->ReadToEnd(); });
  RunUntil([&] { return text.wait_for(std::chrono::seconds(0)) == std::future_status::ready; });
  CHECK(HasStatus(text.get(), 400));
}

TEST(WebServer, CallerThatResetsItsConnectionIsReported)
{
  auto caller = Connect();
  caller->Send(kQuestion);
  RunUntil([&] { return !mCalls.empty(); });
  caller->Reset();
  RunUntil([&] { return mServer->OpenConnections() == 0; });
  CHECK_EQUAL(1, mUnanswered.size());
  STRCMP_EQUAL("/batch/", mUnanswered.front().mPath.c_str());
  STRCMP_EQUAL("reset by the caller", mUnanswered.front().mReason.c_str());
}

TEST(WebServer, CallsThatAreOpenWhenConnectionsAreClosedAreReported)
{
  auto caller = Connect();
  caller->Send(kQuestion);
  RunUntil([&] { return !mCalls.empty(); });
  mServer->Close();
  CHECK_EQUAL(0, mServer->OpenConnections());
  CHECK_EQUAL(1, mUnanswered.size());
  STRCMP_EQUAL("connections closed", mUnanswered.front().mReason.c_str());
}

/// A connection whose header did not arrive was kept for ever, and so were idle ones.
TEST(WebServer, SlowHeadersAreClosedAndIdleConnectionsAreNot)
{
  mServer->SetLimits(
    ConnectionLimits::Create({ .mHeaderTimeout = kShort, .mIdleTimeout = kLong }).value());
  auto idle = Connect();
  auto slow = Connect();
  slow->Send("GET /batch/");
  RunUntil([&] { return mServer->OpenConnections() == 1; });
  CHECK_EQUAL(1, mRefusals[Refusal::HeaderTimeout]);
  idle->Send(kQuestion);
  RunUntil([&] { return mCalls.size() == 1; });
}

/// A connection whose body did not arrive was kept for ever; nothing of its call was handed on.
TEST(WebServer, SlowBodiesAreClosed)
{
  mServer->SetLimits(
    ConnectionLimits::Create({ .mHeaderTimeout = kLong, .mIdleTimeout = kShort }).value());
  auto slow = Connect();
  slow->Send("POST /batch/a HTTP/1.1\r\nHost: node\r\nContent-Length: 10\r\n\r\nabc");
  RunUntil([&] { return mServer->OpenConnections() == 0; });
  CHECK_EQUAL(1, mRefusals[Refusal::BodyTimeout]);
  CHECK(mCalls.empty());
}

/// New limits applied to later connections only.
TEST(WebServer, ChangedTimeoutAppliesToOpenConnections)
{
  auto idle = Connect();
  Settle();
  CHECK_EQUAL(1, mServer->OpenConnections());
  mServer->SetLimits(ConnectionLimits::Create({ .mIdleTimeout = kShort }).value());
  RunUntil([&] { return mServer->OpenConnections() == 0; });
  CHECK_EQUAL(1, mRefusals[Refusal::IdleTimeout]);
}

/// A call that waits for its answer was taken for an idle connection.
TEST(WebServer, CallThatWaitsForItsAnswerIsNotClosed)
{
  mServer->SetLimits(
    ConnectionLimits::Create({ .mHeaderTimeout = kShort, .mIdleTimeout = kShort }).value());
  auto caller = Connect();
  caller->Send(kQuestion);
  RunUntil([&] { return !mCalls.empty(); });
  const auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(100);
  RunUntil([&] { return std::chrono::steady_clock::now() > end; });
  AnswerAll();
  Settle();
  CHECK(HasStatus(caller->ReadAnswer(), 200));
}

/// A caller that does not read its answers held its connection for ever.
TEST(WebServer, AnswerThatIsNotReadClosesTheConnection)
{
  mServer->SetLimits(ConnectionLimits::Create({ .mIdleTimeout = kShort }).value());
  auto caller = Connect();
  caller->Send(kQuestion);
  RunUntil([&] { return !mCalls.empty(); });
  // More than the buffers of both sides take.
  mCalls.front()->Answer(200, std::string(std::size_t{ 64 } << 20, 'x'));
  mCalls.clear();
  RunUntil([&] { return mServer->OpenConnections() == 0; });
  CHECK_EQUAL(1, mRefusals[Refusal::AnswerTimeout]);
  CHECK_EQUAL(1, mUnanswered.size());
}

/// A crowd of idle connections kept a caller out; a connection with a call does not give way.
TEST(WebServer, ConnectionIdleLongestGivesWay)
{
  auto busy = Connect();
  busy->Send(kQuestion);
  RunUntil([&] { return mCalls.size() == 1; });
  std::vector<std::unique_ptr<Caller>> idle;
  for (int i = 1; i < kConnections; ++i) {
    idle.push_back(Connect());
  }
  auto late = std::make_unique<Caller>(mServer->Listening());
  late->Send(kQuestion);
  RunUntil([&] { return mCalls.size() == 2; });
  CHECK_EQUAL(kConnections, mServer->OpenConnections());
  CHECK_EQUAL(1, mRefusals[Refusal::GaveWay]);
  STRCMP_EQUAL("", idle.front()->ReadToEnd().c_str());
  AnswerAll();
  Settle();
  CHECK(HasStatus(busy->ReadAnswer(), 200));
  CHECK(HasStatus(late->ReadAnswer(), 200));
}

/// Connections beyond the room were served without a bound on their number.
TEST(WebServer, ConnectionsWithoutRoomAreRefusedUpToABound)
{
  std::vector<std::unique_ptr<Caller>> busy;
  for (int i = 0; i < kConnections; ++i) {
    busy.push_back(Connect());
    busy.back()->Send(kQuestion);
  }
  RunUntil([&] { return mCalls.size() == kConnections; });
  auto refused = std::make_unique<Caller>(mServer->Listening());
  auto closed = std::make_unique<Caller>(mServer->Listening());
  RunUntil([&] { return mRefusals[Refusal::TooManyConnections] == 2; });
  CHECK_EQUAL(kConnections + 1, mServer->OpenConnections());
  RunUntil([&] { return mServer->OpenConnections() == kConnections; });
  CHECK(HasStatus(refused->ReadToEnd(), 503));
  STRCMP_EQUAL("", closed->ReadToEnd().c_str());
  CHECK_EQUAL(kConnections, mCalls.size());
}

/// Calls that arrive at many connections added up to more memory than the process has.
TEST(WebServer, LargestCallIsRefusedWhenCallsHoldTooMuch)
{
  const auto begin = [](int aLength) {
    return "POST /batch/a HTTP/1.1\r\nHost: node\r\nContent-Length: " + std::to_string(aLength) +
           "\r\n\r\n";
  };
  auto small = Connect();
  small->Send(begin(5000) + std::string(4000, 'x'));
  auto large = Connect();
  large->Send(begin(30000) + std::string(18000, 'x'));
  RunUntil([&] { return mRefusals[Refusal::OutOfMemory] == 1; });
  CHECK(mServer->CallBytes() <= kCallBytes);
  Settle();
  const auto text = large->ReadAnswer();
  CHECK(HasStatus(text, 503));
  STRCMP_CONTAINS("Retry-After: 1", text.c_str());
  small->Send(std::string(1000, 'x'));
  RunUntil([&] { return mCalls.size() == 1; });
  CHECK_EQUAL(0, mServer->CallBytes());
}

/// Calls of one connection that follow each other without a pause were lost.
TEST(WebServer, PipelinedCallsAreAnsweredInTurn)
{
  auto caller = Connect();
  caller->Send(kQuestion + kQuestion + kQuestion);
  for (int i = 0; i < 3; ++i) {
    RunUntil([&] { return !mCalls.empty(); });
    CHECK_EQUAL(1, mCalls.size());
    AnswerAll();
    Settle();
    CHECK(HasStatus(caller->ReadAnswer(), 200));
  }
  CHECK_EQUAL(0, mServer->CallBytes());
}
