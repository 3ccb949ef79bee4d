#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <CppUTest/TestHarness.h>

#include "by_web/by_web.h"

using namespace by;

namespace {

using boost::asio::ip::tcp;

constexpr const char* kName = "Authorization";

/// @returns the value of the kept field of a call that a server receives.
std::string
ReceivedValue(const std::string& aFields)
{
  boost::asio::io_context context;
  std::map<std::string, std::string> headers;
  bool isReceived = false;
  auto server = WebServer::Create(
                  context,
                  Endpoint::Create({ .mAddress = "127.0.0.1", .mPort = 0 }).value(),
                  { .mConnections = 1, .mRefusals = 1, .mCallBytes = std::int64_t{ 1024 } * 1024 },
                  [&](const WebRequest& aRequest, const std::shared_ptr<WebSession>& aSession) {
                    headers = aRequest.mHeaders;
                    isReceived = true;
                    aSession->Answer(200, "");
                  },
                  { kName })
                  .value();
  tcp::socket caller(context);
  caller.connect({ boost::asio::ip::make_address(server->Listening().Address()),
                   static_cast<boost::asio::ip::port_type>(server->Listening().Port()) });
  boost::asio::write(caller,
                     boost::asio::buffer("GET /q/ HTTP/1.1\r\nHost: h\r\n" + aFields + "\r\n"));
  while (!isReceived && context.run_one_for(std::chrono::seconds(20)) > 0) {
  }
  server->Close();
  CHECK(isReceived);
  return headers[kName];
}

} // namespace

TEST_GROUP(RepeatedFields){};

/// Fails if one of several fields counts as the only one: an empty first field hid that the key
/// stands in a repeated one.
TEST(RepeatedFields, AreOneListOfValues)
{
  STRCMP_EQUAL("Bearer a", ReceivedValue("authorization: Bearer a\r\n").c_str());
  STRCMP_EQUAL("Bearer a, Bearer b",
               ReceivedValue("Authorization: Bearer a\r\nAuthorization: Bearer b\r\n").c_str());
  STRCMP_EQUAL(", Bearer a",
               ReceivedValue("Authorization:\r\nAuthorization: Bearer a\r\n").c_str());
}
