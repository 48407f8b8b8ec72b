// Operators: racing edits, bad input, garbage on every port.

#include <criterion/criterion.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "scenario.h"

using namespace gooseberry::test;

namespace {

auto
SendGarbage(int aPort, const std::string& aBytes) -> void
{
  const auto socket = ::socket(AF_INET, SOCK_STREAM, 0);
  auto address = sockaddr_in{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(aPort));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(
        socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0) {
    const auto sent =
      ::send(socket, aBytes.data(), aBytes.size(), MSG_NOSIGNAL);
    cr_expect_geq(sent, 0);
  }
  ::close(socket);
}

} // namespace

Test(operators, edits_of_different_sections_land_and_of_one_conflict)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 2, false);
  auto statuses = std::vector<int>(6);
  auto threads = std::vector<std::thread>{};
  for (auto index = std::size_t{ 0 }; index < 6; ++index) {
    threads.emplace_back([&, index] {
      const auto& node =
        fleet.instances.at(index % 2 == 0 ? "entry-0" : "entry-1");
      // Four sections of their own, and two edits of one from the same base.
      const auto section = index < 4 ? "team-" + std::to_string(index)
                                     : std::string{ "contended" };
      statuses[index] =
        Call("PUT",
             node.adminPort,
             "/v1/sections/" + section + "?base=0",
             "quota: {cpu_millis: " + std::to_string(1000 + index) + "}\n")
          .status;
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  for (auto index = std::size_t{ 0 }; index < 4; ++index) {
    cr_expect_eq(statuses[index], 200);
  }
  cr_expect_eq(std::min(statuses[4], statuses[5]), 200);
  cr_expect_eq(std::max(statuses[4], statuses[5]), 409);
  const auto everywhere = Eventually(std::chrono::seconds{ 6 }, [&] {
    for (auto& [id, node] : fleet.instances) {
      const auto document = Call("GET", node.adminPort, "/v1/document").Json();
      if (document.at("number") != 7) {
        return false;
      }
    }
    return true;
  });
  cr_expect(everywhere, "version 7 is not in force everywhere within 6 s");
}

Test(operators, a_restarted_instance_never_shows_an_older_version)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 1, false);
  cr_expect_eq(fleet.StopInstance("entry-0"), 0);
  fleet.AddInstance({ "entry-new", "north", false });
  const auto back = Eventually(std::chrono::seconds{ 10 }, [&] {
    const auto reply =
      Call("GET", fleet.AnyInstance().adminPort, "/v1/document").Json();
    return reply.at("number") == 2;
  });
  cr_expect(back);
}

Test(operators, bad_input_gets_a_clear_error_and_breaks_nothing)
{
  auto fleet = Fleet{};
  StartSmallFleet(fleet, 1, false);
  const auto& node = fleet.AnyInstance();
  const auto put = [&](const std::string& aText) {
    return Call("PUT", node.adminPort, "/v1/sections/bad?base=0", aText);
  };
  struct Case
  {
    std::string text;
    const char* expected;
  };
  const std::vector<Case> cases{
    { "services: [{name: a", "section 'bad'" },
    { "servces: []\n", "is not a known key" },
    { "batch:\n  - {name: a, cpu_millis: -5}\n", "from 0" },
    { "batch:\n  - {name: a, cpu_millis: 5}\n  - {name: a, cpu_millis: 5}\n",
      "declared twice" },
    { "a: &a [1]\nb: *a\n", "aliases are not allowed" },
    { "batch:\n  - {name: a, cpu_millis: 5, domains: [nowhere]}\n", "nowhere" },
    { "domains: [{name: x}]\n", "only the section 'site'" },
  };
  for (const auto& item : cases) {
    const auto reply = put(item.text);
    cr_expect_eq(reply.status, 422, "%s: %d", item.text.c_str(), reply.status);
    cr_expect_neq(reply.body.find(item.expected),
                  std::string::npos,
                  "%s -> %s",
                  item.text.c_str(),
                  reply.body.c_str());
  }
  const auto large = put("x: " + std::string(10U << 20U, 'a'));
  cr_expect(large.status == 413 || large.status == 0);
  for (const auto port : { node.port, node.adminPort }) {
    SendGarbage(port, std::string(3000, '\xff'));
    SendGarbage(port, "GET / HTTP/1.1\r\nX: " + std::string(100000, 'h'));
    SendGarbage(port, "POST /charge HTTP/1.1\r\nContent-Length: 500\r\n\r\nab");
  }
  cr_expect_eq(Call("GET", node.adminPort, "/healthz").status, 200);
  cr_expect_eq(Call("GET", node.adminPort, "/v1/document").Json().at("number"),
               2);
}
