#include "load.h"

#include <chrono>
#include <memory>
#include <random>

#include <httplib.h>

namespace gooseberry::test {

namespace {

constexpr int kOk = 200;
constexpr int kPercent = 100;

// One request as it was sent.
struct Sending
{
  std::string request;
  std::string body;
  bool marked = false;
  bool chunked = false;
};

auto
Judge(const httplib::Result& aResult, const Sending& aSending) -> CallerView
{
  auto view = CallerView{ aSending.request, aSending.marked, false, false, "" };
  if (!aResult) {
    view.verdict = "no-answer";
    return view;
  }
  view.verdict = aResult->get_header_value("Gooseberry-Verdict");
  if (aResult->status != kOk) {
    return view;
  }
  const auto expected = aSending.request + "\n" + aSending.body;
  const auto& body = aResult->body;
  const auto own = body.starts_with(expected);
  const auto filled =
    body.find_first_not_of('x', std::min(expected.size(), body.size())) ==
    std::string::npos;
  view.whole = own && filled && body.size() > expected.size();
  view.foreign = !view.whole;
  return view;
}

} // namespace

Load::Load(LoadOptions aOptions)
  : options(std::move(aOptions))
{
  for (auto index = std::size_t{ 0 }; index < this->options.entries.size();
       ++index) {
    this->usable.push_back(std::make_unique<std::atomic<bool>>(true));
  }
  for (auto index = 0; index < this->options.callers; ++index) {
    this->callers.emplace_back([this, index] { this->RunCaller(index); });
  }
}

Load::~Load()
{
  this->Finish();
}

auto
Load::Finish() -> std::vector<CallerView>
{
  this->ending = true;
  for (auto& caller : this->callers) {
    if (caller.joinable()) {
      caller.join();
    }
  }
  return this->views;
}

auto
Load::Sent() const -> int
{
  return this->sent;
}

auto
Load::TakeOut(int aEntry) -> void
{
  *this->usable.at(static_cast<std::size_t>(aEntry)) = false;
}

auto
Load::PutBack(int aEntry) -> void
{
  *this->usable.at(static_cast<std::size_t>(aEntry)) = true;
}

auto
Load::RunCaller(int aIndex) -> void
{
  auto random = std::mt19937_64{ this->options.seed * 1000 +
                                 static_cast<std::uint64_t>(aIndex) };
  auto entry = static_cast<std::size_t>(aIndex) % this->options.entries.size();
  auto client = std::unique_ptr<httplib::Client>{};
  auto number = 0;
  while (!this->ending) {
    if (!*this->usable[entry]) {
      entry = (entry + 1) % this->options.entries.size();
      client.reset();
    }
    if (!client) {
      client = std::make_unique<httplib::Client>("127.0.0.1",
                                                 this->options.entries[entry]);
      client->set_keep_alive(true);
      client->set_read_timeout(20);
    }
    auto sending = Sending{};
    sending.request = "r" + std::to_string(this->options.seed) + "-" +
                      std::to_string(aIndex) + "-" + std::to_string(number++);
    sending.body = std::string(random() % 64, 'b');
    sending.marked =
      static_cast<int>(random() % kPercent) < this->options.markedPercent;
    sending.chunked =
      static_cast<int>(random() % kPercent) < this->options.chunkedPercent;
    auto request = httplib::Request{};
    request.method = sending.marked ? "POST" : "PUT";
    request.path = sending.chunked ? "/work?chunked=1" : "/work";
    request.body = sending.body;
    request.headers = { { "X-Request-Id", sending.request },
                        { "Gooseberry-Service", "kiosk" } };
    const auto result = client->send(request);
    auto view = Judge(result, sending);
    ++this->sent;
    const auto failed = !result;
    {
      const auto lock = std::lock_guard{ this->mutex };
      this->views.push_back(std::move(view));
    }
    if (failed) {
      client.reset();
      entry = (entry + 1) % this->options.entries.size();
    }
    std::this_thread::sleep_for(
      std::chrono::milliseconds{ this->options.pauseMs });
  }
}

} // namespace gooseberry::test
